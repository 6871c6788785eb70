#include <errno.h>
#include <ne_request.h>
#include <ne_session.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <unistd.h>

#include "backend.h"
#include "base/clock.h"

#define CONNECT_TIMEOUT_SEC 1
#define READ_BYTES 16384

/*
 * An exiting process closes its sockets one after another in no particular
 * order, so an open connection can be lost before new ones are refused.
 */
#define REFUSAL_WAIT_MS 50
#define REFUSAL_ATTEMPT_MS 2

/*
 * neon fixes its read timeout, in whole seconds, when it connects. Timeouts are
 * rounded up to a multiple of this, so that requests with different deadlines
 * share a connection.
 */
#define TIMEOUT_STEP_SEC 10

/*
 * A kept connection that was idle for longer is not reused. If the backend
 * server exited in the meantime, it then refuses the connection of the next
 * request, which would otherwise count as the cause of a crash.
 */
#define KEEP_ALIVE_IDLE_NS (1 * NS_PER_SEC)

struct backend_session {
	struct net_address address;
	ne_session *neon;
	int read_timeout_sec;
	bool kept;	    /* neon may hold an open connection */
	uint64_t life;	    /* backend_call.life of the last request */
	int64_t idle_since; /* end of the last request */
};

struct backend_session *backend_session_new(const struct net_address *address)
{
	struct backend_session *session = g_new0(struct backend_session, 1);

	session->address = *address;
	return session;
}

static void close_neon(struct backend_session *session)
{
	if (session->neon)
		ne_session_destroy(session->neon);
	session->neon = NULL;
	session->kept = false;
}

void backend_session_free(struct backend_session *session)
{
	close_neon(session);
	g_free(session);
}

static ne_session *open_neon(struct backend_session *session,
			     const struct backend_call *call)
{
	int64_t now = clock_monotonic_ns();
	int64_t left = call->deadline - now;
	int steps = (int)(MAX(left, 0) / (TIMEOUT_STEP_SEC * NS_PER_SEC)) + 1;
	int seconds = steps * TIMEOUT_STEP_SEC;

	if (session->kept && (session->life != call->life ||
			      now - session->idle_since > KEEP_ALIVE_IDLE_NS))
		close_neon(session);
	if (session->neon && session->read_timeout_sec == seconds)
		return session->neon;
	close_neon(session);
	session->read_timeout_sec = seconds;
	session->neon = ne_session_create("http", session->address.host,
					  session->address.port);
	ne_set_connect_timeout(session->neon, CONNECT_TIMEOUT_SEC);
	ne_set_read_timeout(session->neon, seconds);
	return session->neon;
}

bool header_is_hop_by_hop(const char *name)
{
	static const char *const names[] = {
		"connection",
		"content-length",
		"expect",
		"host",
		"keep-alive",
		"proxy-authenticate",
		"proxy-authorization",
		"proxy-connection",
		"te",
		"trailer",
		"transfer-encoding",
		"upgrade",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(names); i++)
		if (!strcasecmp(names[i], name))
			return true;
	return false;
}

void answer_add_header(struct traffic_answer *answer, const char *name,
		       const char *value)
{
	u_int n = answer->headers.headers_len;
	struct traffic_header *headers;

	if (n == PEER_HEADERS_MAX || strlen(name) > PEER_HEADER_NAME_MAX ||
	    strlen(value) > PEER_HEADER_VALUE_MAX)
		return;
	/* XDR frees with free(), so the memory comes from malloc(). */
	headers = realloc(answer->headers.headers_val,
			  (n + 1) * sizeof(*headers));
	if (!headers)
		abort();
	headers[n].name = strdup(name);
	headers[n].value = strdup(value);
	answer->headers.headers_val = headers;
	answer->headers.headers_len = n + 1;
}

static void add_request_headers(ne_request *neon,
				const struct backend_call *call)
{
	const struct traffic_request *request = call->request;
	int64_t left = call->deadline - clock_monotonic_ns();
	char context[CONTEXT_TEXT_MAX];

	for (u_int i = 0; i < request->headers.headers_len; i++) {
		struct traffic_header *h = &request->headers.headers_val[i];

		if (!header_is_hop_by_hop(h->name))
			ne_add_request_header(neon, h->name, h->value);
	}
	request_context_format(&call->context, context);
	ne_add_request_header(neon, CONTEXT_HEADER, context);
	ne_print_request_header(neon, "Deadline-Ms", "%lld",
				(long long)(MAX(left, 0) / NS_PER_MS));
	ne_add_request_header(neon, "Request-Id", call->request_id);
	if (*request->ticket)
		ne_add_request_header(neon, "Idempotency-Key", request->ticket);
}

/* Headers that only the daemon may set. */
static bool is_reserved_name(const char *name)
{
	return !g_ascii_strncasecmp(name, "Godwitspur-", strlen("Godwitspur-"));
}

static void copy_response_headers(ne_request *neon,
				  struct traffic_answer *answer)
{
	const char *name, *value;
	void *cursor = NULL;

	while ((cursor = ne_response_header_iterate(neon, cursor, &name,
						    &value)))
		if (!header_is_hop_by_hop(name) && !is_reserved_name(name))
			answer_add_header(answer, name, value);
}

/* Reads the whole body. Returns false when it is truncated or too long. */
static bool read_body(ne_request *neon, int64_t body_max,
		      struct traffic_answer *answer)
{
	g_autoptr(GByteArray) body = g_byte_array_new();
	char buffer[READ_BYTES];
	ssize_t n;

	while ((n = ne_read_response_block(neon, buffer, sizeof(buffer))) > 0) {
		if (body->len + n > body_max)
			return false;
		g_byte_array_append(body, (guint8 *)buffer, (guint)n);
	}
	if (n < 0)
		return false;
	answer->body.body_len = body->len;
	answer->body.body_val = malloc(body->len ? body->len : 1);
	if (!answer->body.body_val)
		abort();
	if (body->len) /* the data of an empty array are NULL */
		memcpy(answer->body.body_val, body->data, body->len);
	return true;
}

/*
 * The failure reason when ne_begin_request() failed. A request that neon may
 * have sent on a kept connection before the new one was refused may have run.
 */
static enum failure_reason begin_failure(int code, int64_t deadline,
					 bool may_be_sent)
{
	if (code == NE_CONNECT || code == NE_LOOKUP)
		return may_be_sent ? FAILURE_BACKEND_LOST
				   : FAILURE_BACKEND_REFUSED;
	if (clock_monotonic_ns() >= deadline)
		return FAILURE_DEADLINE;
	return FAILURE_BACKEND_LOST;
}

static bool has_flag(ne_request *neon, const char *name)
{
	const char *value = ne_get_response_header(neon, name);

	return value && !strcmp(value, "1");
}

static enum failure_reason exchange(ne_request *neon,
				    const struct backend_call *call,
				    bool is_kept, struct traffic_answer *answer,
				    bool *draining)
{
	int code = ne_begin_request(neon);

	if (code != NE_OK)
		return begin_failure(code, call->deadline,
				     is_kept && call->may_resend);
	answer->status = ne_get_status(neon)->code;
	if (!read_body(neon, call->body_max, answer) ||
	    ne_end_request(neon) != NE_OK)
		return FAILURE_TRUNCATED;
	*draining = has_flag(neon, "Backend-Draining");
	if (answer->status == 503 && has_flag(neon, "Backend-Shed"))
		return FAILURE_BACKEND_SHED;
	copy_response_headers(neon, answer);
	return FAILURE_NONE;
}

enum failure_reason backend_run(struct backend_session *session,
				const struct backend_call *call,
				struct traffic_answer *answer, bool *draining)
{
	const struct traffic_request *request = call->request;
	ne_session *neon_session = open_neon(session, call);
	ne_request *neon =
		ne_request_create(neon_session, request->method, request->path);
	enum failure_reason reason;

	/*
	 * With this flag neon reuses a kept connection and resends the request
	 * if that turns out to be closed; without it neon opens a new one. neon
	 * does not report whether the connection was closed before or after
	 * the first send, so such a request counts as sent.
	 */
	ne_set_request_flag(neon, NE_REQFLAG_IDEMPOTENT, call->may_resend);
	/* neon doesn't accept NULL, which XDR decodes an empty body to. */
	ne_set_request_body_buffer(neon,
				   request->body.body_len
					   ? request->body.body_val
					   : "",
				   request->body.body_len);
	add_request_headers(neon, call);
	*draining = false;
	reason = exchange(neon, call, session->kept, answer, draining);
	ne_request_destroy(neon);
	if (reason != FAILURE_NONE && reason != FAILURE_BACKEND_SHED) {
		close_neon(session);
		return reason;
	}
	session->kept = true;
	session->life = call->life;
	session->idle_since = clock_monotonic_ns();
	return reason;
}

static bool refuses_now(const struct net_address *address)
{
	struct pollfd pollfd = { .events = POLLOUT };
	socklen_t len = sizeof(int);
	int error = 0;

	pollfd.fd = net_connect(address, NULL);
	if (pollfd.fd < 0)
		return true;
	/* While the server exits, the kernel may also drop the SYN. */
	if (poll(&pollfd, 1, REFUSAL_ATTEMPT_MS) > 0)
		getsockopt(pollfd.fd, SOL_SOCKET, SO_ERROR, &error, &len);
	close(pollfd.fd);
	return error == ECONNREFUSED;
}

bool backend_refuses(const struct net_address *address)
{
	int wait_ms = 1;

	/* Exponential back-off, so that a live server gets few connections. */
	while (!refuses_now(address)) {
		if (wait_ms > REFUSAL_WAIT_MS)
			return false;
		poll(NULL, 0, wait_ms);
		wait_ms *= 2;
	}
	return true;
}

bool backend_wait_end(const struct net_address *address)
{
	struct pollfd pollfd = { .events = POLLIN | POLLRDHUP };

	pollfd.fd = net_connect(address, NULL);
	if (pollfd.fd < 0)
		return true;
	while (poll(&pollfd, 1, -1) < 0 && errno == EINTR)
		;
	close(pollfd.fd);
	return backend_refuses(address);
}

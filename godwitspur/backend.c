#include <errno.h>
#include <inttypes.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <unistd.h>

#include "backend.h"
#include "base/clock.h"
#include "http/session.h"

#define CONNECT_WAIT_NS (1 * NS_PER_SEC)

/* Bytes of the fields of a response. */
#define HEAD_MAX_BYTES 65536

/*
 * An exiting process closes its sockets one after another in no particular
 * order, so an open connection can be lost before new ones are refused.
 */
#define REFUSAL_WAIT_MS 50
#define REFUSAL_ATTEMPT_MS 2

/*
 * The time for a response is rounded up to a multiple of this: the answer to a
 * request with a ticket is recorded also when its deadline has passed.
 */
#define WAIT_STEP_NS (10 * NS_PER_SEC)

/*
 * A kept connection that was idle for longer is not reused. If the backend
 * server exited in the meantime, it then refuses the connection of the next
 * request, which would otherwise count as the cause of a crash.
 */
#define KEEP_ALIVE_IDLE_NS (1 * NS_PER_SEC)

struct backend_session {
	struct net_address address;
	struct http_session *http;
	uint64_t life;	    /* backend_call.life of the last request */
	int64_t idle_since; /* end of the last request */
};

static enum http_field_role find_role(const char *name)
{
	return header_is_hop_by_hop(name) ? HTTP_ROLE_HOP_BY_HOP
					  : HTTP_ROLE_NONE;
}

static bool is_forwarded(enum http_field_role role)
{
	return role == HTTP_ROLE_NONE;
}

static const struct http_field_roles roles = {
	.find = find_role,
	.is_forwarded = is_forwarded,
};

struct backend_session *backend_session_new(const struct net_address *address)
{
	struct backend_session *session = g_new0(struct backend_session, 1);
	struct http_session_options options = {
		.address = *address,
		.roles = &roles,
		.head_max = HEAD_MAX_BYTES,
		.connect_wait_ns = CONNECT_WAIT_NS,
	};

	session->address = *address;
	session->http = http_session_new(&options);
	return session;
}

void backend_session_free(struct backend_session *session)
{
	http_session_free(session->http);
	g_free(session);
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

/* Appends the fields of the request, also those of the caller. */
static void add_request_fields(GString *fields, const struct backend_call *call)
{
	const struct traffic_request *request = call->request;
	int64_t left = call->deadline - clock_monotonic_ns();
	char context[CONTEXT_TEXT_MAX];

	for (u_int i = 0; i < request->headers.headers_len; i++) {
		struct traffic_header *h = &request->headers.headers_val[i];

		if (!header_is_hop_by_hop(h->name))
			http_field_append(fields, h->name, h->value);
	}
	request_context_format(&call->context, context);
	http_field_append(fields, CONTEXT_HEADER, context);
	g_string_append_printf(fields, "Deadline-Ms: %" PRId64 "\r\n",
			       MAX(left, 0) / NS_PER_MS);
	http_field_append(fields, "Request-Id", call->request_id);
	if (*request->ticket)
		http_field_append(fields, "Idempotency-Key", request->ticket);
}

/*
 * Returns the head of the request, or NULL when the lines that another daemon
 * sent are not valid: a line end in one of them would add a field or a request.
 */
static GString *build_head(const struct backend_session *session,
			   const struct backend_call *call)
{
	const struct traffic_request *request = call->request;
	g_autoptr(GString) fields = g_string_new(NULL);
	GString *head;

	add_request_fields(fields, call);
	if (!http_request_line_is_valid(request->method, request->path) ||
	    !http_fields_are_valid(fields->str)) {
		http_defect_count(true, HTTP_DEFECT_FORWARDED);
		return NULL;
	}
	head = g_string_new(NULL);
	g_string_printf(head, "%s %s HTTP/1.1\r\n", request->method,
			request->path);
	http_host_append(head, &session->address);
	g_string_append(head, fields->str);
	if (request->body.body_len || strcmp(request->method, "GET") != 0)
		g_string_append_printf(head, "Content-Length: %u\r\n",
				       request->body.body_len);
	g_string_append(head, "\r\n");
	return head;
}

/* Headers that only the daemon may set. */
static bool is_reserved_name(const char *name)
{
	return !g_ascii_strncasecmp(name, "Godwitspur-", strlen("Godwitspur-"));
}

static void copy_response_headers(const struct http_message *response,
				  struct traffic_answer *answer)
{
	const char *line = response->fields->str;
	const char *end;

	for (; (end = strstr(line, "\r\n")); line = end + 2) {
		const char *colon = strchr(line, ':');
		g_autofree char *name =
			g_ascii_strdown(line, (gssize)(colon - line));
		g_autofree char *value =
			g_strndup(colon + 2, (gsize)(end - colon - 2));

		if (!is_reserved_name(name))
			answer_add_header(answer, name, value);
	}
}

static void copy_body(const struct http_message *response,
		      struct traffic_answer *answer)
{
	const GByteArray *body = response->body;

	answer->body.body_len = body->len;
	answer->body.body_val = malloc(body->len ? body->len : 1);
	if (!answer->body.body_val)
		abort();
	if (body->len) /* the data of an empty array are NULL */
		memcpy(answer->body.body_val, body->data, body->len);
}

static bool has_flag(const struct http_message *response, const char *name)
{
	g_autofree char *value = http_message_field(response, name);

	return value && !strcmp(value, "1");
}

static enum failure_reason failure_of(enum http_end end, int64_t deadline)
{
	if (end == HTTP_END_NOT_SENT)
		return FAILURE_BACKEND_REFUSED;
	if (end == HTTP_END_LOST && clock_monotonic_ns() >= deadline)
		return FAILURE_DEADLINE;
	return FAILURE_BACKEND_LOST;
}

/* Sends the request, on the kept connection if that is fresh. */
static enum http_end exchange(struct backend_session *session,
			      const struct backend_call *call,
			      const GString *head,
			      struct http_message **response)
{
	const struct traffic_request *request = call->request;
	int64_t now = clock_monotonic_ns();
	int64_t left = MAX(call->deadline - now, 0);
	struct http_session_call http_call = {
		.head = head,
		.body = request->body.body_val,
		.body_len = request->body.body_len,
		.body_max = (size_t)call->body_max,
		.deadline = now + (left / WAIT_STEP_NS + 1) * WAIT_STEP_NS,
		.may_resend = call->may_resend,
	};
	enum http_end end;

	if (session->life != call->life ||
	    now - session->idle_since > KEEP_ALIVE_IDLE_NS)
		http_session_close(session->http);
	end = http_session_run(session->http, &http_call, response);
	session->life = call->life;
	session->idle_since = clock_monotonic_ns();
	return end;
}

enum failure_reason backend_run(struct backend_session *session,
				const struct backend_call *call,
				struct traffic_answer *answer, bool *draining)
{
	CLEANUP(http_message_freep) struct http_message *response = NULL;
	g_autoptr(GString) head = build_head(session, call);
	enum http_end end;

	*draining = false;
	if (!head)
		return FAILURE_BAD_REQUEST;
	end = exchange(session, call, head, &response);
	if (end != HTTP_END_ANSWERED)
		return failure_of(end, call->deadline);
	answer->status = response->status;
	*draining = has_flag(response, "Backend-Draining");
	if (answer->status == 503 && has_flag(response, "Backend-Shed"))
		return FAILURE_BACKEND_SHED;
	copy_body(response, answer);
	copy_response_headers(response, answer);
	return FAILURE_NONE;
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

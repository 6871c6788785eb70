#include <string.h>

#include "base/clock.h"
#include "http/session.h"

struct http_session {
	struct http_session_options options;
	struct net_loop *loop;
	struct http_client *client;
	size_t body_max; /* of client */
	int64_t wake;	 /* when the loop's wait ends */
	/* How the current call has ended. */
	bool done;
	bool has_begun; /* a byte of the response was read */
	enum http_end end;
	struct http_message *response;
};

static int64_t next_deadline(void *ctx)
{
	return ((struct http_session *)ctx)->wake;
}

struct http_session *
http_session_new(const struct http_session_options *options)
{
	struct http_session *session = g_new0(struct http_session, 1);
	struct net_loop_options loop = {
		.next_deadline = next_deadline,
		.ctx = session,
	};

	session->options = *options;
	session->loop = net_loop_new(&loop);
	return session;
}

void http_session_close(struct http_session *session)
{
	if (session->client)
		http_client_free(session->client);
	session->client = NULL;
}

void http_session_free(struct http_session *session)
{
	http_session_close(session);
	if (session->loop)
		net_loop_free(session->loop);
	g_free(session);
}

static void on_done(struct http_client *client, enum http_end end,
		    struct http_message *response, void *ctx)
{
	struct http_session *session = ctx;

	session->done = true;
	session->end = end;
	session->response = response;
	session->has_begun = http_client_has_begun(client);
	if (!http_client_is_idle(client))
		http_session_close(session);
}

static void on_closed(struct http_client *client, void *ctx)
{
	(void)client;
	http_session_close(ctx);
}

static const struct http_client_ops client_ops = {
	.done = on_done,
	.closed = on_closed,
};

static bool open_client(struct http_session *session, size_t body_max)
{
	struct http_client_options options = {
		.loop = session->loop,
		.address = session->options.address,
		.roles = session->options.roles,
		.limits = { .head_max = session->options.head_max,
			    .body_max = body_max },
		.ops = &client_ops,
		.ctx = session,
	};

	/* Without a loop the process has no descriptors left. */
	if (!session->client && session->loop)
		session->client = http_client_new(&options);
	session->body_max = body_max;
	return session->client != NULL;
}

/* Waits for events until a time, at most one iteration of the loop. */
static void step(struct http_session *session, int64_t until)
{
	session->wake = until;
	net_loop_step(session->loop);
}

void http_host_append(GString *head, const struct net_address *address)
{
	bool is_ipv6 = strchr(address->host, ':') != NULL;

	g_string_append_printf(head, "Host: %s%s%s:%u\r\n", is_ipv6 ? "[" : "",
			       address->host, is_ipv6 ? "]" : "",
			       address->port);
}

static enum http_end run_once(struct http_session *session,
			      const struct http_session_call *call)
{
	int64_t connect_deadline =
		clock_monotonic_ns() + session->options.connect_wait_ns;

	session->done = false;
	session->has_begun = false;
	session->response = NULL;
	if (!open_client(session, call->body_max))
		return HTTP_END_NOT_SENT;
	http_client_send(session->client, call->head, call->body,
			 call->body_len, NULL);
	while (!session->done) {
		bool connected = http_client_is_connected(session->client);
		int64_t limit = connected
					? call->deadline
					: MIN(call->deadline, connect_deadline);

		if (clock_monotonic_ns() >= limit) {
			http_session_close(session);
			return connected ? HTTP_END_LOST : HTTP_END_NOT_SENT;
		}
		step(session, limit);
	}
	return session->end;
}

enum http_end http_session_run(struct http_session *session,
			       const struct http_session_call *call,
			       struct http_message **response)
{
	enum http_end first, end;
	bool reused;

	/* Notices that the server has closed the idle connection. */
	if (session->client)
		step(session, 0);
	if (!call->may_resend || session->body_max != call->body_max)
		http_session_close(session);
	reused = session->client != NULL;
	first = end = run_once(session, call);
	if (reused && !session->has_begun &&
	    (end == HTTP_END_LOST || end == HTTP_END_NOT_SENT) &&
	    clock_monotonic_ns() < call->deadline) {
		end = run_once(session, call);
		/* What was sent on the first connection may have run. */
		if (end == HTTP_END_NOT_SENT)
			end = first;
	}
	*response = session->response;
	session->response = NULL;
	return end;
}

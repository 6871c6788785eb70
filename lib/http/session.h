#ifndef HTTP_SESSION_H
#define HTTP_SESSION_H

#include "http/client.h"

/*
 * Blocking calls to one HTTP server, for threads without an event loop. The
 * connection is a struct http_client on a loop of its own, so responses are
 * read by the same rules. One thread at a time uses a session.
 */

struct http_session;

struct http_session_options {
	struct net_address address;
	const struct http_field_roles *roles;
	size_t head_max;	 /* bytes of the response's fields */
	int64_t connect_wait_ns; /* time limit of a connection attempt */
};

struct http_session_call {
	const GString *head;
	const void *body;
	size_t body_len;
	size_t body_max;  /* of the response; a longer one is malformed */
	int64_t deadline; /* monotonic ns */
	/*
	 * The call may use the connection of the one before, and is sent once
	 * more on a new connection when that one turns out to be closed.
	 */
	bool may_resend;
};

struct http_session *
http_session_new(const struct http_session_options *options);
void http_session_free(struct http_session *session);

/* Closes the connection, if there is one. */
void http_session_close(struct http_session *session);

/* Appends the field Host for a server. */
void http_host_append(GString *head, const struct net_address *address);

/*
 * Sends a request and waits for the response. The caller owns *response, which
 * is NULL unless the request was answered. A call that is not answered by its
 * deadline is lost, or not sent when it has no connection.
 */
enum http_end http_session_run(struct http_session *session,
			       const struct http_session_call *call,
			       struct http_message **response);

#endif

#ifndef HTTP_CLIENT_H
#define HTTP_CLIENT_H

#include "base/timer.h"
#include "http/message.h"
#include "http/reader.h"
#include "net/address.h"
#include "net/loop.h"

/*
 * One HTTP/1.1 client connection on an event loop: one request at a time, the
 * connection is kept in between. All calls and callbacks are on the loop's
 * thread. The owner decides about time: it closes a connection that is late.
 */

struct http_client;

enum http_end {
	HTTP_END_ANSWERED, /* a whole response */
	HTTP_END_REFUSED,  /* no byte of the request was sent */
	HTTP_END_LOST,	   /* the server may have run the request */
	HTTP_END_MALFORMED /* as lost; what came was no response to it */
};

struct http_client_ops {
	/*
	 * The request ended; the response, unless NULL, is the callee's. The
	 * connection may be used again when http_client_is_idle() says so.
	 */
	void (*done)(struct http_client *client, enum http_end end,
		     struct http_message *response, void *ctx);
	/* The connection ended while it was idle. */
	void (*closed)(struct http_client *client, void *ctx);
};

struct http_client_options {
	struct net_loop *loop;
	struct net_address address;
	const struct http_roles *roles;
	struct http_limits limits;
	const struct http_client_ops *ops;
	void *ctx;
};

/* Starts to connect; NULL when that fails at once. */
struct http_client *http_client_new(const struct http_client_options *options);

/*
 * Closes the connection without a callback and frees it; a server drops the
 * request that it runs.
 */
void http_client_free(struct http_client *client);

/*
 * Sends a request; its bytes are copied. request_id, unless NULL, is the id
 * that the response must bear; responses with another one are dropped and the
 * connection is not used again.
 */
void http_client_send(struct http_client *client, const GString *head,
		      const void *body, size_t body_len,
		      const char *request_id);

/* Connected, without a request, and free of stray bytes. */
bool http_client_is_idle(const struct http_client *client);

/* Until when an idle connection may be used. */
int64_t http_client_idle_deadline(const struct http_client *client);

/* When the connection became idle. */
int64_t http_client_idle_since(const struct http_client *client);

#endif

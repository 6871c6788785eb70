#ifndef HTTP_CLIENT_H
#define HTTP_CLIENT_H

#include "base/timer.h"
#include "http/message.h"
#include "http/reader.h"
#include "net/address.h"
#include "net/loop.h"

/*
 * One persistent HTTP/1.1 client connection on an event loop, with one request
 * at a time. All calls and callbacks are on the loop's thread. There are no
 * timeouts here: the owner closes a connection whose response is late.
 */

struct http_client;

/* How a request ended. */
enum http_end {
	HTTP_END_ANSWERED, /* a whole response arrived */
	HTTP_END_NOT_SENT, /* no byte of the request was sent */
	HTTP_END_LOST,	   /* no response; the server may have run it */
	HTTP_END_MALFORMED /* invalid response; the server may have run it */
};

struct http_client_ops {
	/*
	 * Called when the request has ended. The callee owns the response,
	 * which is NULL unless the request was answered. The connection can be
	 * reused when http_client_is_idle() returns true.
	 */
	void (*done)(struct http_client *client, enum http_end end,
		     struct http_message *response, void *ctx);
	/* Called when the connection has closed without a request. */
	void (*closed)(struct http_client *client, void *ctx);
};

struct http_client_options {
	struct net_loop *loop;
	struct net_address address;
	const struct http_field_roles *roles;
	struct http_limits limits;
	const struct http_client_ops *ops;
	void *ctx;
};

/* Starts to connect. Returns NULL when that fails at once. */
struct http_client *http_client_new(const struct http_client_options *options);

/*
 * Closes the connection without a callback and frees it. This cancels a running
 * request, which a server drops when its connection closes.
 */
void http_client_free(struct http_client *client);

/*
 * Sends a request. The body is borrowed until the request has ended or the
 * client is freed; everything else is copied. A response whose request id
 * differs from request_id is dropped, and the connection is not reused after
 * it. A response without an id is accepted, but a second copy of it would fit
 * any request, so the connection is not reused after it either. Any response is
 * accepted when request_id is NULL.
 * The request ends as malformed when many responses do not belong to it.
 */
void http_client_send(struct http_client *client, const GString *head,
		      const void *body, size_t body_len,
		      const char *request_id);

/* Returns whether the server has accepted the connection. */
bool http_client_is_connected(const struct http_client *client);

/* Returns whether a part of the response to the latest request was read. */
bool http_client_has_begun(const struct http_client *client);

/* Returns whether the connection is open, reusable and without a request. */
bool http_client_is_idle(const struct http_client *client);

/*
 * Returns whether one of the recent requests on the connection had this id. A
 * second copy of its response could not be told from that to a new request.
 */
bool http_client_has_carried(const struct http_client *client,
			     const char *request_id);

/* Returns until when the idle connection may be reused (monotonic ns). */
int64_t http_client_idle_deadline(const struct http_client *client);

/* Returns when the connection became idle (monotonic ns). */
int64_t http_client_idle_since(const struct http_client *client);

#endif

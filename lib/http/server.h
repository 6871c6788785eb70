#ifndef HTTP_SERVER_H
#define HTTP_SERVER_H

#include "base/timer.h"
#include "http/message.h"
#include "http/reader.h"
#include "net/address.h"
#include "net/loop.h"

/*
 * An HTTP/1.1 server on an event loop. A connection has at most one request at
 * a time; it is handed over whole and answered once. All calls and callbacks
 * are on the loop's thread.
 */

struct http_server;
struct http_server_conn;

/* Limits of a connection; they may change while connections are open. */
struct http_server_limits {
	struct http_limits message;
	int64_t head_wait_ns; /* from the first byte to the whole request */
	int64_t idle_wait_ns; /* between requests */
};

struct http_server_ops {
	/*
	 * A request, owned by the callee, which answers it now or later with
	 * http_server_reply().
	 */
	void (*request)(struct http_server_conn *conn,
			struct http_message *message, void *ctx);
	/* The caller closed the connection before its request was answered. */
	void (*gone)(struct http_server_conn *conn, void *ctx);
};

struct http_server_options {
	struct net_loop *loop;
	struct timers *timers;
	struct net_address listen;
	const struct http_roles *roles;
	struct http_server_limits limits;
	const struct http_server_ops *ops;
	void *ctx;
};

struct http_reply {
	int status;
	const char *fields; /* lines with their ends; NULL: none */
	const void *body;
	size_t body_len;
	bool close; /* end the connection afterwards */
};

struct http_server *http_server_new(const struct http_server_options *options,
				    GError **error);

/* Closes the listening socket and the connections without a request. */
void http_server_stop(struct http_server *server);

void http_server_set_limits(struct http_server *server,
			    const struct http_server_limits *limits);

/* From now on every answer ends its connection. */
void http_server_drain(struct http_server *server);

/* Connections that are open. */
unsigned http_server_nr_conns(const struct http_server *server);

/* Answers the request of a connection. */
void http_server_reply(struct http_server_conn *conn,
		       const struct http_reply *reply);

/* Closes a connection without an answer to its request. */
void http_server_abort(struct http_server_conn *conn);

/* The IP number from which the connection came; "" when it is not known. */
const char *http_server_peer_ip(const struct http_server_conn *conn);

/* What the owner of the request keeps with its connection. */
void http_server_set_data(struct http_server_conn *conn, void *data);
void *http_server_data(const struct http_server_conn *conn);

#endif

#ifndef HTTP_SERVER_H
#define HTTP_SERVER_H

#include "base/memory_account.h"
#include "base/timer.h"
#include "http/message.h"
#include "http/reader.h"
#include "net/address.h"
#include "net/loop.h"

/*
 * An HTTP/1.1 server on an event loop. A connection has at most one request at
 * a time, which the owner of the server receives whole and answers once. All
 * calls and callbacks are on the loop's thread.
 */

struct http_server;
struct http_server_conn;

/* Limits of a connection; they may change while connections are open. */
struct http_server_limits {
	struct http_limits message;
	/* Longest time from the first byte of a request to its last. */
	int64_t request_read_max_ns;
	int64_t idle_max_ns; /* longest idle time before a request */
};

struct http_server_ops {
	/*
	 * Receives a request. The callee owns the message and answers it now or
	 * later with http_server_reply().
	 */
	void (*request)(struct http_server_conn *conn,
			struct http_message *message, void *ctx);
	/* Called when the caller closes before its request was answered. */
	void (*disconnected)(struct http_server_conn *conn, void *ctx);
};

/* What a server refused or closed to stay within its limits. */
struct http_server_counters {
	struct counter no_room; /* requests refused with 503 */
	struct counter stalled; /* bodies refused with 408 */
	struct counter closed;	/* connections closed for new ones */
};

struct http_server_options {
	struct net_loop *loop;
	struct timers *timers;
	struct net_address listen;
	const struct http_field_roles *roles;
	struct http_server_limits limits;
	/*
	 * Bounds what connections hold; borrowed. NULL: only the limits above
	 * do. With an account the time limit of reading holds for the head,
	 * and a body has a progress deadline instead.
	 */
	struct memory_account *account;
	/*
	 * Most open connections; 0: any number. With an account they have
	 * at most a share of it, by what each takes at the least. The one that
	 * has been idle or without progress for longest is closed for a new
	 * one.
	 */
	unsigned conns_max;
	struct http_server_counters *counters; /* borrowed; NULL: none */
	const struct http_server_ops *ops;
	void *ctx;
};

struct http_reply {
	int status;
	const char *fields; /* field lines, each with its CRLF; NULL: none */
	const void *body;
	size_t body_len;
	bool close; /* close the connection after the response */
};

struct http_server *http_server_new(const struct http_server_options *options,
				    GError **error);

/*
 * Closes the listening socket and all connections without a request, after
 * accepting and reading what has already arrived. That may begin requests, so
 * afterwards the owner asks whether any is in progress.
 */
void http_server_stop(struct http_server *server);

/*
 * Returns whether a request has arrived in part, a response was not passed to
 * its socket whole, or the caller of a refused request may still send.
 */
bool http_server_is_transferring(const struct http_server *server);

void http_server_set_limits(struct http_server *server,
			    const struct http_server_limits *limits);

/* Makes every further response close its connection. */
void http_server_drain(struct http_server *server);

/* Returns the number of open connections. */
unsigned http_server_nr_conns(const struct http_server *server);

/* Sends the response to the request of a connection; the reply is copied. */
void http_server_reply(struct http_server_conn *conn,
		       const struct http_reply *reply);

/* Closes a connection without a response to its request. */
void http_server_abort(struct http_server_conn *conn);

/* Returns the caller's IP address, or "" when it is not known. */
const char *http_server_peer_ip(const struct http_server_conn *conn);

/*
 * Takes bytes of the request out of the account, because its owner accounts for
 * them from now on.
 */
void http_server_disown(struct http_server_conn *conn, size_t bytes);

/* Attaches data of the request's owner; a reply or an abort clears it. */
void http_server_set_data(struct http_server_conn *conn, void *data);
void *http_server_data(const struct http_server_conn *conn);

#endif

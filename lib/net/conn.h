#ifndef NET_CONN_H
#define NET_CONN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/counters.h"
#include "net/address.h"
#include "net/loop.h"
#include "net/pacer.h"

/*
 * A TCP connection that carries records. Reading happens on the loop's thread;
 * any thread may send. Objects are reference counted: the loop holds one
 * reference until the connection is closed.
 */

struct net_conn;

struct net_conn_ops {
	/* A whole record without its mark; valid during the call. */
	void (*on_record)(struct net_conn *conn, const unsigned char *data,
			  size_t len);
	/* Called once, on the loop's thread, with the reason. */
	void (*on_closed)(struct net_conn *conn, const char *reason);
};

/* Traffic of many connections together. Bytes include the record marks. */
struct net_traffic {
	struct counter bytes_sent;
	struct counter bytes_received;
	struct counter records_sent;
	struct counter records_received;
};

struct net_conn_options {
	struct net_loop *loop;
	int fd; /* connected or connecting; owned by the connection */
	bool connecting;
	size_t record_max; /* longer records close the connection */
	/* Sends beyond so many waiting bytes fail, unless none wait. */
	size_t output_max;
	struct net_traffic *traffic; /* borrowed; NULL: not counted */
	/*
	 * Paces long output; borrowed, NULL: written at once. Only the loop's
	 * thread may send on such a connection.
	 */
	struct net_pacer *pacer;
	const struct net_conn_ops *ops;
	void *ctx;
	void (*free_ctx)(void *ctx); /* called with the last reference */
};

/* Creates a connection with one reference for the caller. */
struct net_conn *net_conn_new(const struct net_conn_options *options);
struct net_conn *net_conn_ref(struct net_conn *conn);
void net_conn_unref(struct net_conn *conn);

void *net_conn_ctx(const struct net_conn *conn);

/*
 * Sends a record with its mark; the bytes are copied only when the socket does
 * not take them at once. Returns false when nothing of it was or will be
 * written because the connection is closed or its output is full.
 */
bool net_conn_send(struct net_conn *conn, const void *data, size_t len);

/*
 * Whether the connection was established at any time. When it was not, nothing
 * of what was sent reached the other side.
 */
bool net_conn_established(struct net_conn *conn);

/* When bytes last came from the other side (monotonic ns); 0: never. */
int64_t net_conn_last_read(const struct net_conn *conn);

/* Asks the loop to close the connection; any thread. */
void net_conn_close(struct net_conn *conn);

/* Writes the address of the other side as IP:PORT. */
void net_conn_peer(const struct net_conn *conn, char *text, size_t size);

#endif

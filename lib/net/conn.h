#ifndef NET_CONN_H
#define NET_CONN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/counters.h"
#include "base/memory_account.h"
#include "net/address.h"
#include "net/loop.h"
#include "net/output.h"
#include "net/pacer.h"

/*
 * A TCP connection that carries records with record marking (RFC 5531). Input
 * is read on the thread of the event loop; any thread may send. Connections are
 * reference counted: the loop holds one reference until the connection is
 * closed.
 */

struct net_conn;

/*
 * A record of at least this length has a buffer of its own, which its receiver
 * can keep.
 */
#define NET_LONG_RECORD_BYTES 65536

/* At this length of the unsent output, a record of any length is accepted. */
#define NET_OUTPUT_SHORT_BYTES 4096

/* Bytes of a dropped record that on_dropped() gets. */
#define NET_DROPPED_HEAD_BYTES 64

struct net_conn_ops {
	/* Receives a whole record without its mark, valid during the call. */
	void (*on_record)(struct net_conn *conn, const unsigned char *data,
			  size_t len);
	/*
	 * Receives the first bytes of a record that was dropped unread, because
	 * the account had no room for it. NULL: none is dropped.
	 */
	void (*on_dropped)(struct net_conn *conn, const unsigned char *head,
			   size_t len);
	/* Called once, on the loop's thread, with the reason. */
	void (*on_closed)(struct net_conn *conn, const char *reason);
};

/* Totals over a group of connections. Bytes include the record marks. */
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
	/*
	 * A record is refused when it would raise the unsent output above this
	 * number of bytes. With at most NET_OUTPUT_SHORT_BYTES of unsent output
	 * any record is accepted.
	 */
	size_t output_max;
	struct net_traffic *traffic; /* borrowed; NULL: not counted */
	/*
	 * Paces long output; borrowed. NULL: all output is written at once.
	 * Only the loop's thread may send on a connection with a pacer.
	 */
	struct net_pacer *pacer;
	/*
	 * Accounts for long records and unsent output; borrowed. NULL: they are
	 * not accounted for. Only the loop's thread may send on a connection
	 * with an account.
	 */
	struct memory_account *account;
	const struct net_conn_ops *ops;
	void *ctx;
	void (*free_ctx)(void *ctx); /* called when the last reference ends */
};

/* Creates a connection. The caller owns one reference. */
struct net_conn *net_conn_new(const struct net_conn_options *options);
struct net_conn *net_conn_ref(struct net_conn *conn);
void net_conn_unref(struct net_conn *conn);

void *net_conn_ctx(const struct net_conn *conn);

/*
 * Sends a record that includes its mark. Only bytes that the socket does not
 * accept at once are copied. Returns false when no byte of the record was or
 * will be written because the connection is closed or its output is full.
 */
bool net_conn_send(struct net_conn *conn, const void *data, size_t len);

/* The same for a record whose body is referred to until it is sent. */
bool net_conn_send_record(struct net_conn *conn,
			  const struct net_record *record);

/*
 * Returns the record that on_record() has received, which stays in the account
 * until the last reference ends; NULL unless it is long. Called once for each
 * record, from on_record().
 */
GBytes *net_conn_take_record(struct net_conn *conn);

/*
 * Returns whether the connection has ever been established. Until then no byte
 * that was sent on it has reached the peer.
 */
bool net_conn_established(struct net_conn *conn);

/*
 * Returns whether a record has arrived in part, or output was not passed to the
 * socket; on the loop's thread.
 */
bool net_conn_is_transferring(struct net_conn *conn);

/* Delivers the records that have arrived already; on the loop's thread. */
void net_conn_read_pending(struct net_conn *conn);

/* Returns when the peer's last bytes were read (monotonic ns); 0: never. */
int64_t net_conn_last_read(const struct net_conn *conn);

/* Closes the connection from the loop's thread; any thread may call this. */
void net_conn_close(struct net_conn *conn);

/* Formats the peer's address as IP:PORT. */
void net_conn_peer(const struct net_conn *conn, char *text, size_t size);

#endif

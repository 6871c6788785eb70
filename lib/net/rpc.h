#ifndef NET_RPC_H
#define NET_RPC_H

#include "net/conn.h"
#include "wire/wire.h"

/*
 * ONC RPC (RFC 5531) over a record connection with many outstanding calls.
 * Replies are matched to calls by transaction id. A transaction id is never
 * used twice on a connection, so a late or duplicate reply matches no call and
 * is dropped.
 */

enum rpc_status {
	RPC_DONE,      /* a reply with a result arrived */
	RPC_NOT_SENT,  /* no byte of the call reached the peer */
	RPC_LOST,      /* the connection broke; the call may have run */
	RPC_REFUSED,   /* the peer refused the call without running it */
	RPC_TIMED_OUT, /* the deadline passed; the call may have run */
};

/* An outstanding call; embedded in the caller's object. */
struct rpc_call {
	struct cds_list_head node;
	uint32_t xid;
	int64_t deadline; /* monotonic ns; DEADLINE_NEVER: no expiry */
	/*
	 * Called once, without locks held, on the loop's thread, or on the
	 * sending thread for RPC_NOT_SENT. With RPC_DONE xdr is positioned at
	 * the result and valid during the call; otherwise it is NULL.
	 */
	void (*done)(struct rpc_call *call, enum rpc_status status, XDR *xdr);
};

struct rpc_conn;

/* The procedures that one side of a connection serves. */
struct rpc_service {
	uint32_t program;
	uint32_t version;
	/*
	 * Handles a call on the loop's thread and replies now or later with
	 * rpc_reply(). Returns false, with *error set, when the arguments
	 * cannot be decoded or the procedure is unknown; the call is refused
	 * then.
	 */
	bool (*handle)(struct rpc_conn *rpc, void *ctx, uint32_t xid,
		       uint32_t procedure, XDR *args, enum accept_stat *error);
	/*
	 * Refuses a call whose long arguments were dropped, because the account
	 * had no room for them. NULL: no call is dropped.
	 */
	void (*dropped)(struct rpc_conn *rpc, void *ctx, uint32_t xid,
			uint32_t procedure);
	/* Called when the connection has closed; may be NULL. */
	void (*closed)(struct rpc_conn *rpc, void *ctx, const char *reason);
	void *ctx;
};

struct rpc_options {
	struct net_loop *loop;
	size_t record_max;
	size_t output_max;
	struct net_traffic *traffic;	   /* borrowed; NULL: not counted */
	struct net_pacer *pacer;	   /* see struct net_conn_options */
	struct memory_account *account;	   /* see struct net_conn_options */
	const struct rpc_service *service; /* NULL: calls are refused */
};

/* Wraps an accepted socket. The caller owns the returned reference. */
struct rpc_conn *rpc_accept(const struct rpc_options *options, int fd);

/* Starts a connection. Returns NULL with an error when that fails at once. */
struct rpc_conn *rpc_connect(const struct rpc_options *options,
			     const struct net_address *address, GError **error);

struct rpc_conn *rpc_conn_ref(struct rpc_conn *rpc);
void rpc_conn_unref(struct rpc_conn *rpc);
void rpc_conn_close(struct rpc_conn *rpc);
bool rpc_conn_closed(struct rpc_conn *rpc);
/*
 * Returns whether the connection has ever been established. Until then no byte
 * that was sent on it has reached the peer.
 */
bool rpc_conn_established(struct rpc_conn *rpc);

/*
 * Returns whether a message has arrived in part, or one was not passed to the
 * socket whole; on the loop's thread.
 */
bool rpc_conn_is_transferring(const struct rpc_conn *rpc);

/* Handles the messages that have arrived already; on the loop's thread. */
void rpc_conn_read_pending(struct rpc_conn *rpc);
void rpc_conn_peer(const struct rpc_conn *rpc, char *text, size_t size);

/*
 * Returns when the peer's last bytes were read (monotonic ns); 0: never. A long
 * record counts as activity before all of it has arrived.
 */
int64_t rpc_conn_last_read(const struct rpc_conn *rpc);

/* Attaches the service's own data, such as the caller's identity. */
void rpc_conn_set_data(struct rpc_conn *rpc, void *data,
		       void (*free_data)(void *));
void *rpc_conn_data(const struct rpc_conn *rpc);

/*
 * Sends a call. call->done runs exactly once, unless rpc_abandon() returns true
 * for the call.
 */
void rpc_call_start(struct rpc_conn *rpc, struct rpc_call *call,
		    uint32_t program, uint32_t version, uint32_t procedure,
		    xdrproc_t xdr_args, void *args);

/*
 * The same for arguments that contain the bytes of body, which are referred to
 * until they are sent.
 */
void rpc_call_start_body(struct rpc_conn *rpc, struct rpc_call *call,
			 uint32_t program, uint32_t version, uint32_t procedure,
			 xdrproc_t xdr_args, void *args, GBytes *body);

/*
 * Abandons an outstanding call without notifying the peer. Returns true when
 * call->done will never run, and false when it has run or is running.
 */
bool rpc_abandon(struct rpc_conn *rpc, struct rpc_call *call);

/* Ends the calls whose deadline has passed with RPC_TIMED_OUT. */
void rpc_conn_expire(struct rpc_conn *rpc, int64_t now);

/*
 * Sends a reply; any thread. Returns false when the result cannot be encoded or
 * the connection is closed or its output is full.
 */
bool rpc_reply(struct rpc_conn *rpc, uint32_t xid, xdrproc_t xdr_result,
	       void *result);

/* As net_conn_take_record(), while a call is handled. */
GBytes *rpc_conn_take_record(struct rpc_conn *rpc);

/* Accepts connections on a listening socket and serves them. */
struct rpc_listener;
struct rpc_listener *rpc_listen(const struct rpc_options *options,
				const struct net_address *address,
				GError **error);

/* Stops accepting; on the loop's thread or after the loop has ended. */
void rpc_listener_free(struct rpc_listener *listener);

#endif

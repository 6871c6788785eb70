#ifndef RELAY_PEERS_H
#define RELAY_PEERS_H

#include <jansson.h>

#include "net/rpc.h"
#include "relay/backend_side.h"
#include "relay/relay.h"

/*
 * Requests between daemons: up to two connections to each other daemon that is
 * used, with many requests at once, and the connections of the others to this
 * one.
 */

/*
 * Requests with long answers go on a connection of their own, since all answers
 * on a connection come one after the other.
 */
enum peer_lane {
	PEER_LANE_SHORT,
	PEER_LANE_LONG,
	PEER_NR_LANES
};

struct peers;

/* A request sent to another daemon; embedded by the side that sends it. */
struct peer_call {
	/*
	 * Called once unless cancelled. The answer, which the callee frees
	 * with xdr_free(), is NULL unless the status is RPC_DONE. May be
	 * called before peers_send() returns.
	 */
	void (*done)(struct peer_call *call, enum rpc_status status,
		     struct relay_answer *answer);

	/* Private to peers.c. */
	struct rpc_call rpc;
	struct peer_link *link;
	struct rpc_conn *conn;
	bool ended;
};

struct peers *peers_new(const struct relay_context *context,
			struct backend_side *backend_side, GError **error);

/* Sends a request to the daemon at an address; the request is not kept. */
void peers_send(struct peers *peers, const char *address, enum peer_lane lane,
		struct relay_request *request, struct peer_call *call);

/* Withdraws a request, here and at the other daemon; done is not called. */
void peers_cancel(struct peers *peers, struct peer_call *call);

/* Starts what has arrived; called after each turn of the loop. */
void peers_turn(struct peers *peers);

json_t *peers_dump(const struct peers *peers);

#endif

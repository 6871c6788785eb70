#ifndef RELAY_PEER_LINKS_H
#define RELAY_PEER_LINKS_H

#include <jansson.h>

#include "net/rpc.h"
#include "relay/backend_side.h"
#include "relay/relay.h"

/*
 * Requests of this daemon to others: up to two connections to each daemon that
 * is used, with many requests at once. A request that runs at most once leaves
 * only while the other daemon is known to be alive, so that a host which stands
 * still or is cut off holds none of them.
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

struct peer_links;

/* A request sent to another daemon; embedded by the side that sends it. */
struct peer_call {
	/*
	 * Called once unless cancelled. The answer, which the callee frees
	 * with xdr_free(), is NULL unless the status is RPC_DONE. May be
	 * called before peer_links_send() returns.
	 */
	void (*done)(struct peer_call *call, enum rpc_status status,
		     struct relay_answer *answer);
	/*
	 * Called at most once, when the other daemon gives no sign of life;
	 * the request stays under way.
	 */
	void (*silent)(struct peer_call *call);

	/* Private to peer_links.c. */
	struct cds_list_head node; /* in the link's calls or held */
	struct rpc_call rpc;
	struct peer_link *link;
	struct rpc_conn *conn;
	struct relay_request *request; /* borrowed; while it is held */
	int64_t held_at;
	bool ended;
	bool told_silent;
};

struct peer_links *peer_links_new(const struct relay_context *context,
				  struct backend_side *backend_side);

/*
 * Sends a request to the daemon at an address. The request and what it points
 * at are borrowed until the call is done or cancelled.
 */
void peer_links_send(struct peer_links *links, const char *address,
		     enum peer_lane lane, struct relay_request *request,
		     struct peer_call *call);

/* Withdraws a request, here and at the other daemon; done is not called. */
void peer_links_cancel(struct peer_call *call);

json_t *peer_links_dump(const struct peer_links *links);

#endif

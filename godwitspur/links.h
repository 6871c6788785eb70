#ifndef GODWITSPUR_LINKS_H
#define GODWITSPUR_LINKS_H

#include "net/rpc.h"
#include "target.h"

/*
 * Connections between daemons that carry requests: one outgoing link to each
 * daemon that this ingress sends to, and the connections accepted from other
 * daemons. One thread runs the event loop; calls block and are made from any
 * other thread.
 */

struct links;

struct links_options {
	const char *host;
	uint64_t incarnation;
	struct net_address listen;
	struct target *target;
};

struct links *links_new(const struct links_options *options,
			struct net_loop *loop, GError **error);

/* Ends calls past their deadline; called in each event-loop iteration. */
void links_tick(struct links *links, int64_t now);

/* Reports to peers from now on that the daemon is draining. */
void links_drain(struct links *links);

/*
 * Refuses the requests of other daemons that have arrived meanwhile, and
 * returns whether a message of or to one of them is not transferred whole. For
 * a daemon that drains, before its process ends.
 */
bool links_is_transferring(struct links *links);

/*
 * Sends a request to the daemon at a traffic address and waits for its answer
 * until the deadline. Returns RPC_DONE with the answer, which the caller frees
 * with xdr_free().
 */
enum rpc_status links_request(struct links *links, const char *address,
			      struct traffic_request *request, int64_t deadline,
			      struct traffic_answer *answer);

/*
 * Gets the incarnation of the daemon at an address, with one request for each
 * connection. Returns false when the daemon is unreachable or has another host
 * name.
 */
bool links_incarnation(struct links *links, const char *address,
		       const char *host, int64_t deadline,
		       uint64_t *incarnation);

json_t *links_dump(struct links *links);

#endif

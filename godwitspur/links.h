#ifndef GODWITSPUR_LINKS_H
#define GODWITSPUR_LINKS_H

#include "net/rpc.h"
#include "target.h"

/*
 * Connections between daemons for requests: one link to each daemon that this
 * ingress sends to, and the links that other daemons opened to this one. One
 * thread runs the loop; calls are made from any thread and block.
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

/* Ends the calls whose deadline passed; called by the loop's turn. */
void links_tick(struct links *links, int64_t now);

/* The daemon tells peers that it takes no new work. */
void links_drain(struct links *links);

/*
 * Sends a request to the daemon at a traffic address and waits for its answer
 * until the deadline. Returns RPC_DONE with the answer, which the caller frees
 * with xdr_free().
 */
enum rpc_status links_request(struct links *links, const char *address,
			      struct traffic_request *request, int64_t deadline,
			      struct traffic_answer *answer);

/*
 * The incarnation of the daemon at an address, asked once for each connection.
 * Returns false when it cannot be reached or is another host.
 */
bool links_incarnation(struct links *links, const char *address,
		       const char *host, int64_t deadline,
		       uint64_t *incarnation);

json_t *links_dump(struct links *links);

#endif

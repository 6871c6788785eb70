#ifndef RELAY_PEER_LINKS_H
#define RELAY_PEER_LINKS_H

#include <jansson.h>

#include "net/rpc.h"
#include "relay/backend_side.h"
#include "relay/relay.h"

/*
 * Sends requests of this daemon to others, over up to two connections to each
 * daemon, which carry many requests at once. A request that runs at most once
 * is sent only while the other daemon is known to be alive: once sent to a host
 * that is suspended or cut off, its outcome would be unknown.
 */

/*
 * Requests with long answers have a connection of their own: the answers on a
 * connection are sent one after the other, so a long one delays all behind it.
 */
enum peer_lane {
	PEER_LANE_SHORT,
	PEER_LANE_LONG,
	PEER_NR_LANES
};

struct peer_links;

/* A request to another daemon; embedded in a struct of the sending code. */
struct peer_call {
	/*
	 * Called once, unless the request is cancelled first, and possibly
	 * before peer_links_send() returns. The answer is NULL unless the
	 * status is RPC_DONE; the callee frees it with xdr_free().
	 */
	void (*done)(struct peer_call *call, enum rpc_status status,
		     struct relay_answer *answer);
	/*
	 * Called at most once, when the other daemon is suspected to hang.
	 * The request stays in progress.
	 */
	void (*silent)(struct peer_call *call);
	/*
	 * Called at most once, when the link was given up, for a request that
	 * may run more than once. It stays in progress, since the other daemon
	 * may have passed it on and answer it yet. One that it has not begun is
	 * recalled. done follows at the latest when the connection is lost.
	 */
	void (*unanswered)(struct peer_call *call);
	/*
	 * The body of the request, which is referred to until it is sent.
	 * NULL: the body is copied.
	 */
	GBytes *body;

	/* Private to peer_links.c. */
	struct cds_list_head node; /* in one of the link's lists */
	struct rpc_call rpc;
	struct peer_link *link;
	struct rpc_conn *conn;
	struct relay_request *request; /* borrowed; NULL unless held */
	int64_t held_at;	       /* when it was held (monotonic ns) */
	bool at_most_once;
	bool detached; /* waits on a connection that the link gave up */
	bool ended;
	bool silence_reported; /* silent was called */
	bool loss_reported;    /* unanswered was called */
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

/* Cancels a request, here and at the other daemon; done is not called. */
void peer_links_cancel(struct peer_call *call);

/*
 * A reference to the connection for short messages to a daemon, made if needed;
 * NULL if the daemon cannot be reached now.
 */
struct rpc_conn *peer_links_conn(struct peer_links *links, const char *address);

/*
 * Pings a daemon that did not answer in time, so that a connection that is dead
 * is noticed and replaced.
 */
void peer_links_check(struct peer_links *links, const char *address);

/*
 * Asks the other daemon to refuse the request unless it runs already; the
 * answer comes as that of the request. Returns false if it was not sent yet.
 */
bool peer_links_recall(struct peer_call *call);

json_t *peer_links_dump(const struct peer_links *links);

#endif

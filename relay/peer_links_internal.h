#ifndef RELAY_PEER_LINKS_INTERNAL_H
#define RELAY_PEER_LINKS_INTERNAL_H

#include "mesh/liveness.h"
#include "relay/peer_links.h"

/* Shared by peer_links.c and the dump of its state. */

enum link_state {
	LINK_USABLE,
	LINK_SUSPECT, /* no requests are sent until a ping is answered */
	LINK_SILENT   /* the same, and the connection was given up */
};

/* The connection to another daemon for one lane. */
struct peer_link {
	char *address;
	enum peer_lane lane;
	struct peer_links *links;
	struct rpc_conn *conn; /* NULL: none */
	int64_t retry_deadline;
	struct liveness liveness;   /* of the present connection */
	struct cds_list_head calls; /* sent, without an answer yet */
	/* Not sent until the ping that is outstanding has been answered. */
	struct cds_list_head held;
	/* Sent on earlier connections, which stay open for their answers. */
	struct cds_list_head detached;
	int64_t busy_since; /* when calls last became non-empty */
	struct timer timer; /* the next ping, or a timeout of the present one */
	struct rpc_call ping;
	enum link_state state;
	int64_t last_request; /* when peer_links_send() was last called */
	struct timer recovery_timer;
};

struct peer_links {
	const struct relay_context *context;
	struct backend_side *backend_side;
	GHashTable *lanes[PEER_NR_LANES]; /* address -> struct peer_link */
};

/* The number of requests in progress on a link. */
int peer_link_count_calls(const struct peer_link *link);

#endif

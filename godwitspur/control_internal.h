#ifndef GODWITSPUR_CONTROL_INTERNAL_H
#define GODWITSPUR_CONTROL_INTERNAL_H

#include "control.h"
#include "fetch.h"
#include "net/rpc.h"

/*
 * The state of the control thread, shared by the files that run on it:
 * control.c has the loop and dist's actions, control_accept.c acceptance,
 * control_source.c reads of the source and the host list, control_peers.c
 * calls of peers and by peers, control_ask.c questions of operators.
 */

struct control {
	struct control_options options;
	struct net_traffic traffic;  /* of the control connections */
	struct counter source_bytes; /* bodies read from the source */
	struct counter hosts_bytes;  /* bodies of the host list */
	struct counter source_calls;
	struct net_loop *loop;
	struct rng rng;
	struct member *member;
	struct dist *dist;
	struct fetch_pool *fetches;
	struct rpc_service service;
	struct rpc_listener *listener;
	GHashTable *peers; /* address -> struct peer */
	int64_t host_list_deadline;
	bool host_list_pending;
	int64_t sweep_deadline;
	int64_t crashes_deadline;
	int64_t manifest_revision; /* of the source, of the last read */
	struct table *validated;   /* by the last acceptance */
};

/* Decides about a version for dist; see struct dist_validator. */
extern const struct dist_validator control_validator;

/* Hands an accepted version to the traffic side. */
void control_apply(struct control *control, struct dist_version *version);

/* Assembles the tree of an accepted version; the caller frees it. */
struct tree *control_assemble(const struct dist_version *version);

/* Starts a read of the source for dist. */
void control_read_source(struct control *control,
			 const struct dist_source_call *call);

/* Reads the host list when it is time to. */
void control_read_host_list(struct control *control, int64_t now);

/* Performs a call of a peer for dist. */
void control_call_peer(struct control *control,
		       const struct dist_peer_call *action);

/* Ends late calls of peers and closes idle connections. */
void control_sweep_peers(struct control *control, int64_t now);

/* The options of connections between control addresses. */
struct rpc_options control_rpc_options(struct control *control);

/* Serves calls by peers; see struct rpc_service. */
bool control_handle(struct rpc_conn *conn, void *ctx, uint32_t xid,
		    uint32_t procedure, XDR *args, enum accept_stat *error);

/* Frees a struct peer of control->peers. */
void control_peer_free(gpointer data);

#endif

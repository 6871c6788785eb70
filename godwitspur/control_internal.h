#ifndef GODWITSPUR_CONTROL_INTERNAL_H
#define GODWITSPUR_CONTROL_INTERNAL_H

#include "control.h"
#include "fetch.h"
#include "net/rpc.h"

/*
 * The state of the control thread, shared by its source files:
 *   control.c         event loop, and the actions that dist requests
 *   control_accept.c  validation and application of versions
 *   control_source.c  reads of the configuration source and the host list
 *   control_peers.c   RPCs to and from peers
 *   control_query.c   queries of operators
 */

struct control {
	struct control_options options;
	struct net_traffic traffic;  /* of the control connections */
	struct counter source_bytes; /* bodies read from the source */
	struct counter hosts_bytes;  /* host list bodies */
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
	int64_t manifest_revision; /* revision of the manifest last read */
	struct table *validated;   /* table of the version last validated */
};

/* Validates versions for dist; see struct dist_validator. */
extern const struct dist_validator control_validator;

/* Passes an accepted version to the threads that handle requests. */
void control_apply(struct control *control, struct dist_version *version);

/* Assembles the tree of an accepted version; the caller frees it. */
struct tree *control_assemble(const struct dist_version *version);

/* Starts a read of the configuration source that dist requested. */
void control_read_source(struct control *control,
			 const struct dist_source_call *call);

/* Starts a read of the host list when its deadline has passed. */
void control_read_host_list(struct control *control, int64_t now);

/* Sends an RPC to a peer that dist requested. */
void control_call_peer(struct control *control,
		       const struct dist_peer_call *action);

/* Fails RPCs to peers past their deadlines and closes idle connections. */
void control_sweep_peers(struct control *control, int64_t now);

/* Returns the options of RPC connections between control addresses. */
struct rpc_options control_rpc_options(struct control *control);

/* Handles an RPC from a peer; see struct rpc_service. */
bool control_handle(struct rpc_conn *conn, void *ctx, uint32_t xid,
		    uint32_t procedure, XDR *args, enum accept_stat *error);

/* Frees a value (struct peer) of control->peers. */
void control_peer_free(gpointer data);

#endif

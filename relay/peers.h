#ifndef RELAY_PEERS_H
#define RELAY_PEERS_H

#include "net/rpc.h"
#include "relay/backend_side.h"
#include "relay/quota_side.h"
#include "relay/relay.h"

/*
 * Receives other daemons' requests for the backend server of this host.
 * peer_links.h sends requests of this host to other daemons.
 */

/*
 * Most bytes that wait to be sent on a connection between daemons. A single
 * record may be longer. Beyond that the connection is closed, so that memory
 * stays bounded when the other daemon does not read.
 */
#define PEERS_OUTPUT_MAX (4 * 1024 * 1024)

struct peers;

struct peers *peers_new(const struct relay_context *context,
			struct backend_side *backend_side,
			struct quota_side *quota, GError **error);

/*
 * Whether a request of another daemon is not answered, a message not read
 * completely, or an answer not passed completely to its socket.
 */
bool peers_is_busy(const struct peers *peers);

/*
 * Reads what has arrived from other daemons and submits their requests, before
 * the end of the process closes the connections.
 */
void peers_read_pending(struct peers *peers);

/* Starts the requests received; called after each event-loop iteration. */
void peers_start_arrivals(struct peers *peers);

#endif

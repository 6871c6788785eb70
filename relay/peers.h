#ifndef RELAY_PEERS_H
#define RELAY_PEERS_H

#include "net/rpc.h"
#include "relay/backend_side.h"
#include "relay/relay.h"

/*
 * Requests of other daemons to the backend server of this host. The way in the
 * other direction is in peer_links.h.
 */

/*
 * Bytes that wait for a daemon which does not read them. One record may be
 * longer; beyond it the connection is closed, so that memory stays bounded.
 */
#define PEERS_OUTPUT_MAX (4 * 1024 * 1024)

struct peers;

struct peers *peers_new(const struct relay_context *context,
			struct backend_side *backend_side, GError **error);

/* Starts what has arrived; called after each turn of the loop. */
void peers_turn(struct peers *peers);

#endif

#ifndef RELAY_FEED_PEERS_H
#define RELAY_FEED_PEERS_H

#include <jansson.h>

#include "base/timer.h"
#include "mesh/feed.h"
#include "mesh/host.h"
#include "mesh/view.h"
#include "net/loop.h"
#include "quarantine/quarantine.h"
#include "wire/wire.h"

/*
 * Passes what is published on between the daemons: the readers of the store
 * push changes to all others, each from the revision that it has confirmed. On
 * the control thread.
 */

struct feed_peers;

struct feed_peers_ops {
	/* An item that another daemon told. */
	void (*entry)(void *ctx, const struct feed_entry *entry);
	void (*crashes)(void *ctx, const struct quarantine_entry *entries,
			size_t nr);
	/* Whether this daemon reads the store from now on. */
	void (*role)(void *ctx, bool reads);
};

struct feed_peers_options {
	const struct mesh_host *host;
	struct net_loop *loop;
	struct timers *timers;
	struct feed *feed; /* borrowed */
	const struct feed_peers_ops *ops;
	void *ctx;
};

struct feed_peers *feed_peers_new(const struct feed_peers_options *options,
				  GError **error);

/* On the control thread, before the loop runs. */
void feed_peers_start(struct feed_peers *peers);

/* The daemons are those beside the registered backend servers. */
void feed_peers_set_view(struct feed_peers *peers,
			 const struct mesh_view *view);

/* All that was published before confirmed is known; tells the others. */
void feed_peers_confirmed(struct feed_peers *peers, int64_t confirmed);

/* The store does not answer this daemon: the next ones take over. */
void feed_peers_store_lost(struct feed_peers *peers);

/* Tells all daemons at once. */
void feed_peers_tell_crashes(struct feed_peers *peers,
			     const struct quarantine_entry *entries, size_t nr);

json_t *feed_peers_dump(const struct feed_peers *peers);

#endif

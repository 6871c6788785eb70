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
 * Distributes published items between the daemons: those that read the store
 * push changes down a tree to all others, which each get what was published
 * after the revision that they have confirmed. Runs on the control thread.
 */

struct feed_peers;

struct feed_peers_ops {
	/* Another daemon pushed an item. */
	void (*entry)(void *ctx, const struct feed_entry *entry);
	/*
	 * Another daemon pushed all items up to a revision. If that is in a
	 * higher era, the sender knew all items up to the revision before when
	 * the era of this daemon ended; 0: it knew none of that era.
	 */
	void (*advanced)(void *ctx, int64_t revision, int64_t before);
	/* Another daemon pushed crashes of backend servers. */
	void (*crashes)(void *ctx, const struct quarantine_entry *entries,
			size_t nr);
	/* This daemon shall read the store from now on, or stop doing so. */
	void (*role)(void *ctx, bool reads);
	/*
	 * Another daemon read the store at a time (monotonic ns); 0: it cannot
	 * read it.
	 */
	void (*store_state)(void *ctx, int64_t read_at);
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

/* Called on the control thread before its event loop runs. */
void feed_peers_start(struct feed_peers *peers);

/* Takes the daemons from the view: one on each registered server's host. */
void feed_peers_set_view(struct feed_peers *peers,
			 const struct mesh_view *view);

/*
 * This daemon has read all items of the store. If it has just started, it reads
 * no more until the readers have had the time to announce themselves.
 */
void feed_peers_read_all(struct feed_peers *peers);

/*
 * The store has confirmed that this daemon has all that was published up to a
 * time (monotonic ns). Announces it to the other daemons.
 */
void feed_peers_confirmed(struct feed_peers *peers, int64_t confirmed);

/* The era of a revision has ended, up to which all its items were known. */
void feed_peers_end_era(struct feed_peers *peers, int64_t revision);

/*
 * The store does not answer this daemon. Announces it, so that the daemons next
 * in the ranking read the store instead.
 */
void feed_peers_store_lost(struct feed_peers *peers);

/* Pushes crashes of the local backend server to all daemons at once. */
void feed_peers_push_crashes(struct feed_peers *peers,
			     const struct quarantine_entry *entries, size_t nr);

json_t *feed_peers_dump(const struct feed_peers *peers);

#endif

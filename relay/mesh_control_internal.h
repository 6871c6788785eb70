#ifndef RELAY_MESH_CONTROL_INTERNAL_H
#define RELAY_MESH_CONTROL_INTERNAL_H

#include <pthread.h>

#include "base/clock.h"
#include "base/timer.h"
#include "mesh/entry_judge.h"
#include "mesh/feed.h"
#include "mesh/store_outage.h"
#include "relay/feed_peers.h"
#include "relay/mesh_control.h"
#include "relay/store_reader.h"

/*
 * Internal to the files of the control thread: mesh_control.c runs it and
 * builds views, mesh_items.c applies published items, and mesh_era.c keeps what
 * a restored copy of the store lacks. All revisions are positions
 * (mesh/position.h).
 */

struct mesh_control {
	const struct mesh_host *host;
	const struct mesh_control_ops *ops;
	void *ctx;
	struct net_loop *loop;
	struct timers timers;
	struct feed *feed;
	struct store_reader *reader;
	struct feed_peers *peers;
	struct mesh_config *config;
	GBytes *config_value; /* that config was decoded from */
	GHashTable *targets;  /* key -> struct mesh_target */
	struct entry_judge *judge;
	bool own_registered; /* the local server has, at least once */
	int64_t bootstrap_deadline;
	struct timer build_timer;
	struct timer expiry_timer;
	int64_t built_at;
	/* Server entries are not deleted before the end of either hold. */
	struct store_outage outage;
	int64_t restore_hold_deadline; /* after a restore of the store */
	pthread_mutex_t lock;	       /* guards crashes and dump */
	GArray *crashes;	       /* struct quarantine_entry to report */
	char *dump;
};

/* Builds a view soon; the first change after a quiet period at once. */
void mesh_schedule_build(struct mesh_control *control);

/*
 * Applies an item of the store, unless a newer one is known. One that comes
 * without the changes before it may follow a deletion that only other daemons
 * know of, so it is passed on to them also if it changes nothing here.
 */
void mesh_apply_write(struct mesh_control *control, const char *key,
		      GBytes *value, int64_t revision, bool after_all_changes);

/* Applies a deletion, unless a newer item is known. */
void mesh_apply_delete(struct mesh_control *control, const char *key,
		       int64_t revision, int64_t deadline);

/*
 * Applies an item that another daemon holds; with value NULL, its deletion. The
 * item ends at the deadline.
 */
void mesh_apply_held(struct mesh_control *control, const char *key,
		     GBytes *value, int64_t revision, int64_t held,
		     int64_t deadline);

/* Decodes a configuration; takes it if its version is the highest known. */
bool mesh_apply_config(struct mesh_control *control, GBytes *value);

/* Sets the timer that carries out pending deletions. */
void mesh_set_expiry(struct mesh_control *control);

/*
 * Keeps what was known in an older era and is not among the keys of a full
 * read at a revision: servers and evacuations for a time, the configuration for
 * good. Returns whether there was any.
 */
bool mesh_keep_missing(struct mesh_control *control, GHashTable *keys,
		       int64_t revision);

/*
 * The same for what changed after a revision in an older era, and was not in a
 * push from another daemon that knew nothing beyond that revision.
 */
bool mesh_keep_unknown(struct mesh_control *control, int64_t after,
		       int64_t revision);

/* Adds the keys of held items that the store need not have. */
void mesh_list_held(const struct mesh_control *control, GHashTable *keys);

/* All items up to the revision are known. */
void mesh_advance(struct mesh_control *control, int64_t revision);

#endif

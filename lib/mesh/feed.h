#ifndef MESH_FEED_H
#define MESH_FEED_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/cleanup.h"

/*
 * The published items as one daemon knows them: a replica of the platform's
 * store that only moves forward. Every change has a revision of the store's one
 * counter, so news from the store and from peers merge in any order: an item is
 * replaced only by a later revision. Pure: no I/O, no clock.
 */

struct feed_item {
	char *key;
	GBytes *value; /* NULL: the item was deleted */
	int64_t revision;
	int64_t changed; /* revision of its last change that daemons need */
	/* The deletion counts from here on; until then value holds on. */
	int64_t delete_deadline;
};

struct feed;

struct feed *feed_new(void);
void feed_free(struct feed *feed);
DEFINE_CLEANUP(struct feed, feed_free)

/* All changes up to this revision are known; 0: nothing is. */
int64_t feed_revision(const struct feed *feed);

/* All changes up to the revision have been applied. */
void feed_advance(struct feed *feed, int64_t revision);

/* Whether a change of the key with this revision is not known yet. */
bool feed_is_news(const struct feed *feed, const char *key, int64_t revision);

/* Whether the key has a value, and no deletion of it waits. */
bool feed_holds(const struct feed *feed, const char *key);

/*
 * Applies a written item; returns whether it was news. The value is
 * referenced. A write that changes nothing that daemons need, such as a
 * heartbeat, is not passed on to them.
 */
bool feed_write(struct feed *feed, const char *key, GBytes *value,
		int64_t revision, bool is_change);

/*
 * Applies a deletion that takes effect at the deadline; a deadline that has
 * passed takes effect with the next feed_expire(). Returns whether it was news.
 */
bool feed_delete(struct feed *feed, const char *key, int64_t revision,
		 int64_t deadline);

/*
 * A complete reading as of revision: items with the prefix that are older and
 * not among the keys are deleted at the deadline. Returns whether any is.
 */
bool feed_delete_missing(struct feed *feed, const char *prefix,
			 GHashTable *keys, int64_t revision, int64_t deadline);

/* Carries out the deletions that are due; returns whether there was one. */
bool feed_expire(struct feed *feed, int64_t now);

/* The earliest deletion that waits, or DEADLINE_NEVER. */
int64_t feed_next_expiry(const struct feed *feed);

/* Calls each() for the items changed after a revision, also deleted ones. */
void feed_each_after(const struct feed *feed, int64_t revision,
		     void (*each)(const struct feed_item *item, void *ctx),
		     void *ctx);

/* The item of a key, or NULL; its value is NULL when it was deleted. */
const struct feed_item *feed_find(const struct feed *feed, const char *key);

#endif

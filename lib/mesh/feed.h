#ifndef MESH_FEED_H
#define MESH_FEED_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/cleanup.h"

/*
 * One daemon's replica of the items published in the platform's store. All
 * changes have a position (mesh/position.h), so changes from the store and from
 * peers can be merged in any order: an item is replaced only by one with a
 * higher position. Revisions below are positions.
 *
 * After the store was restored from an older copy, an item of the copy may be
 * overridden by what was known before: it is held. A held item replaces the
 * store's one at the same revision, and a held item of a higher rank replaces
 * one of a lower rank. Pure: no I/O, no clock.
 */

struct feed_item {
	char *key;
	GBytes *value; /* NULL: the item was deleted */
	int64_t revision;
	int64_t changed; /* revision of the last write that daemons need */
	int64_t held;	 /* rank of a held item; 0: as the store has it */
	/* When a pending deletion takes effect; value is kept until then. */
	int64_t delete_deadline;
	/*
	 * When the last deletion takes effect on daemons that have the value;
	 * this one need not have had it.
	 */
	int64_t deletion_deadline;
	/* The value before the item was deleted or emptied, or NULL. */
	GBytes *last;
};

struct feed;

struct feed *feed_new(void);
void feed_free(struct feed *feed);
DEFINE_CLEANUP(struct feed, feed_free)

/* The revision up to which all changes are known; 0: none are. */
int64_t feed_revision(const struct feed *feed);

/* Records that all changes up to the revision have been applied. */
void feed_advance(struct feed *feed, int64_t revision);

/* Whether this revision of the key is higher than the known one. */
bool feed_is_newer(const struct feed *feed, const char *key, int64_t revision);

/* Whether the key has a value and no pending deletion. */
bool feed_has_value(const struct feed *feed, const char *key);

/*
 * Applies a write and takes a reference to the value. Returns false, without
 * effect, when the revision is not higher than the known one. A write that is
 * no change to daemons, such as a heartbeat, is not sent to them.
 */
bool feed_write(struct feed *feed, const char *key, GBytes *value,
		int64_t revision, bool is_change);

/*
 * Applies a deletion that takes effect in the first feed_expire() at or after
 * the deadline. Returns false, without effect, when the revision is not higher
 * than the known one.
 */
bool feed_delete(struct feed *feed, const char *key, int64_t revision,
		 int64_t deadline);

/* How long a deleted item is still used by daemons that have its value. */
int64_t feed_hold_left(const struct feed_item *item, int64_t now);

/*
 * Applies a complete list of the keys with the prefix as of revision: items
 * that are not listed and not newer than revision are deleted at the deadline.
 * Returns whether any deletion was added.
 */
bool feed_delete_missing(struct feed *feed, const char *prefix,
			 GHashTable *keys, int64_t revision, int64_t deadline);

/*
 * Holds what is known of the key, also that it was deleted, at a revision with
 * a rank above 0. The value ends at the deadline. Returns false, without
 * effect, when this is not newer than what is known.
 */
bool feed_hold(struct feed *feed, const char *key, int64_t revision,
	       int64_t rank, int64_t deadline);

/*
 * The same with a value from another daemon, or NULL for a deletion at the
 * deadline.
 */
bool feed_hold_value(struct feed *feed, const char *key, GBytes *value,
		     int64_t revision, int64_t rank, int64_t deadline);

/* Whether a held item would be newer than what is known of the key. */
bool feed_is_newer_held(const struct feed *feed, const char *key,
			int64_t revision, int64_t rank);

/* A hash of all held items and their revisions; 0 when there are none. */
uint64_t feed_held_digest(const struct feed *feed);

/* Carries out the deletions that are due; returns whether there were any. */
bool feed_expire(struct feed *feed, int64_t now);

/* The deadline of the earliest pending deletion, or DEADLINE_NEVER. */
int64_t feed_next_expiry(const struct feed *feed);

/*
 * Calls each() for the items whose last change is after the revision, deleted
 * items included.
 */
void feed_each_after(const struct feed *feed, int64_t revision,
		     void (*each)(const struct feed_item *item, void *ctx),
		     void *ctx);

/* The item of the key, or NULL; its value is NULL when it was deleted. */
const struct feed_item *feed_find(const struct feed *feed, const char *key);

#endif

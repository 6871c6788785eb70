#ifndef MESH_READERS_H
#define MESH_READERS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"

/*
 * Which daemons read the store and tell the others. The daemons rank each
 * other by one hash, so all agree without a word. A daemon reads unless
 * READERS_USUAL others before it in the ranking have told of readings of their
 * own a moment ago; so the store may turn any of them away. Pure.
 */

#define READERS_USUAL 2

struct readers_state {
	int rank; /* daemons before this one in the ranking */
	/*
	 * When READERS_USUAL daemons before this one were last all heard to
	 * read the store; 0: never.
	 */
	int64_t covered;
	int64_t read;  /* the own newest reading; 0: none */
	int64_t heard; /* the last message of another daemon; 0: none */
};

/*
 * A reader that was not heard for this long has gone. Configurations must be in
 * force within 2 s of their publication, and the watch of the next reader comes
 * on top.
 */
#define READERS_STALE_NS (1300 * NS_PER_MS)

/* A daemon whose newest reading is older does not count as reading. */
#define READERS_READ_AGE_MAX_MS 1500

/* How often a reading daemon tells so, though nothing changed. */
#define READERS_TELL_INTERVAL_MS 600

/* The place of a daemon in the ranking; a lower one comes first. */
uint64_t readers_hash(const char *ip);

/* Whether this daemon reads the store. */
bool readers_reads(const struct readers_state *state, int64_t now);

/*
 * Whether this daemon tells the others what it knows. Besides the readers it
 * is those that hear nothing: after a herd of restarts the usual readers may
 * know of nobody.
 */
bool readers_tells(const struct readers_state *state, int64_t now);

/* When one of the answers above may change without news. */
int64_t readers_next(const struct readers_state *state, int64_t now);

#endif

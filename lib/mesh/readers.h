#ifndef MESH_READERS_H
#define MESH_READERS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"

/*
 * Selects the daemons that read the store and publish its items to the others.
 * All daemons rank each other by the same hash and so agree without messages.
 * A daemon reads the store unless READERS_TARGET daemons that rank before it
 * have lately reported a successful read of their own. The store may therefore
 * refuse any of them. Pure: no I/O, no clock.
 */

#define READERS_TARGET 2

struct readers_state {
	int rank; /* number of daemons that rank before this one */
	/*
	 * The last time at which READERS_TARGET daemons before this one had all
	 * reported a recent read of the store; 0: never.
	 */
	int64_t covered_at;
	int64_t read_at;     /* last successful read by this daemon; 0: none */
	int64_t received_at; /* last message received from a daemon; 0: none */
};

/*
 * A reader that sent nothing for this long has failed. A configuration must be
 * in force within 2 s of its publication, and that time includes the watch
 * that the next reader starts.
 */
#define READERS_STALE_NS (1300 * NS_PER_MS)

/* A daemon whose last successful read is older does not count as a reader. */
#define READERS_READ_AGE_MAX_MS 1500

/* Interval at which a reader reports to the others without a change. */
#define READERS_REPORT_INTERVAL_MS 600

/* The sort key of a daemon in the ranking; the lowest ranks first. */
uint64_t readers_hash(const char *ip);

/* Whether this daemon reads the store. */
bool readers_should_read(const struct readers_state *state, int64_t now);

/*
 * Whether this daemon publishes its items to the others. Besides the readers,
 * a daemon that receives nothing does so: after many restarts at once the
 * first-ranking readers may not know of any other daemon.
 */
bool readers_should_publish(const struct readers_state *state, int64_t now);

/* When a result of the functions above may change without a message. */
int64_t readers_next_deadline(const struct readers_state *state, int64_t now);

#endif

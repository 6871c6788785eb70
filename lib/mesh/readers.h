#ifndef MESH_READERS_H
#define MESH_READERS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * Which daemons read the store and tell the others. The daemons rank each
 * other by one hash, so all agree without a word; the first READERS_USUAL read,
 * and the next ones take over in their order when no news come. Pure.
 */

#define READERS_USUAL 2

struct readers_state {
	int rank; /* daemons before this one in the ranking */
	int64_t confirmed; /* start of the newest reading known; 0: none */
	int64_t heard;	   /* the last message of another daemon; 0: none */
};

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

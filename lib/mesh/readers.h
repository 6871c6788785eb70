#ifndef MESH_READERS_H
#define MESH_READERS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

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
	 * The newest reading that READERS_USUAL daemons before this one have
	 * all reached; 0: none.
	 */
	int64_t covered;
	int64_t read;  /* the own newest reading; 0: none */
	int64_t heard; /* the last message of another daemon; 0: none */
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

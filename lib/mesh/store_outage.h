#ifndef MESH_STORE_OUTAGE_H
#define MESH_STORE_OUTAGE_H

#include <stdint.h>

#include "base/clock.h"

/*
 * Judges whether the store was away, from the times at which any daemon read it
 * or failed to. A daemon's own calls do not tell: it may have started, or begun
 * to read, while the store was away already. Entries of servers expire in such
 * an outage, and servers that live write them again after it, so their deletion
 * is held for a time. Pure: no I/O, no clock; times are monotonic ns.
 */

/* Nothing expires in an outage that is shorter than this. */
#define STORE_OUTAGE_MIN_NS (2 * NS_PER_SEC)

/* A server that is still running has registered again by then. */
#define STORE_OUTAGE_HOLD_NS (2 * NS_PER_SEC)

/* Initialised to zero, except for the start. */
struct store_outage {
	int64_t started_at;    /* of this daemon; earlier reads do not count */
	int64_t read_at;       /* last known read by any daemon; 0: none */
	int64_t failed_at;     /* last known failure to read; 0: none */
	int64_t left_at;       /* last known read before the last outage */
	int64_t returned_at;   /* first read after the last outage; 0: none */
	int64_t hold_deadline; /* deletions take effect from then on */
};

/*
 * Notes that a daemon read the store; the times may come out of order. A read
 * from before the start says nothing of the time in between, in which this
 * daemon heard of no failure.
 */
void store_outage_note_read(struct store_outage *outage, int64_t at);

/* Notes that a daemon could not read the store. */
void store_outage_note_failure(struct store_outage *outage, int64_t at);

#endif

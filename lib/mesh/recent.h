#ifndef MESH_RECENT_H
#define MESH_RECENT_H

#include <stdint.h>

/*
 * The base revision for incremental pushes: a revision that this daemon has
 * known for so long that all daemons have received it, barring faults. The
 * distribution tree changes with every daemon that joins or leaves, so most
 * daemons then get their pushes from a different sender. That sender pushes
 * only the changes after the base revision; a receiver that lacks the base
 * reports so in its reply.
 */

/* Initialised to zero. */
struct mesh_recent {
	int64_t revision; /* the base revision */
	int64_t next;	  /* the base revision after this one */
	int64_t next_at;  /* when next was recorded */
};

/* Records the present revision; times are monotonic ns. */
void mesh_recent_note(struct mesh_recent *recent, int64_t revision,
		      int64_t now);

#endif

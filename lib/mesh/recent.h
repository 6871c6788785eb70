#ifndef MESH_RECENT_H
#define MESH_RECENT_H

#include <stdint.h>

/*
 * The revision that this daemon knew a moment ago. The tree down which news go
 * changes with every daemon that comes or leaves, so most daemons get news from
 * a new sender then. It need not send them all that is published: they know
 * what was known a moment ago, and say so if not.
 */

/* All zero at the start. */
struct mesh_recent {
	int64_t revision; /* known at the time noted and since */
	int64_t next;	  /* known at next_at */
	int64_t next_at;
};

/* Notes the present revision; times are monotonic ns. */
void mesh_recent_note(struct mesh_recent *recent, int64_t revision,
		      int64_t now);

#endif

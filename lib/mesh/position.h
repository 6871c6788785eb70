#ifndef MESH_POSITION_H
#define MESH_POSITION_H

#include <stdbool.h>
#include <stdint.h>

/*
 * The place of a write in the order of all writes to the platform's store. The
 * store numbers its changes with one revision counter. When it is restored from
 * a copy, revisions are used again, and its era increases by one. A position
 * packs the era above the revision, so positions compare like numbers. Without
 * an era, the position is the revision.
 */

#define POSITION_REVISION_BITS 40
#define POSITION_REVISION_MAX ((INT64_C(1) << POSITION_REVISION_BITS) - 1)
#define POSITION_ERA_MAX ((INT64_C(1) << (63 - POSITION_REVISION_BITS)) - 1)

/* Whether a number can be the revision of a position. */
static inline bool position_has_room(int64_t revision)
{
	return revision >= 0 && revision <= POSITION_REVISION_MAX;
}

static inline int64_t position_pack(int64_t era, int64_t revision)
{
	return era * (POSITION_REVISION_MAX + 1) + revision;
}

static inline int64_t position_era(int64_t position)
{
	return position >> POSITION_REVISION_BITS;
}

static inline int64_t position_revision(int64_t position)
{
	return position & POSITION_REVISION_MAX;
}

#endif

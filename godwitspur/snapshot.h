#ifndef GODWITSPUR_SNAPSHOT_H
#define GODWITSPUR_SNAPSHOT_H

#include "tree/tree.h"

/*
 * The current configuration, published by the control thread with one pointer
 * exchange and read by traffic threads under RCU. A request holds one snapshot
 * from start to end, so it never sees two configuration versions.
 */

struct snapshot {
	int refs;
	struct table *table;
};

/*
 * Publishes a table and takes ownership of it; called by the control thread
 * only.
 */
void snapshot_publish(struct table *table);

/* Returns a reference to the current snapshot; NULL before the first one. */
struct snapshot *snapshot_get(void);

/* Drops a reference; NULL is allowed. */
void snapshot_put(struct snapshot *snapshot);

static inline void snapshot_putp(struct snapshot **snapshot)
{
	snapshot_put(*snapshot);
}

#endif

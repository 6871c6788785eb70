#ifndef GODWITSPUR_SNAPSHOT_H
#define GODWITSPUR_SNAPSHOT_H

#include "tree/tree.h"

/*
 * The configuration in force, published by the control thread with one pointer
 * exchange and read by traffic threads under RCU. A request takes one snapshot
 * and serves by it from its start to its end, so it never sees two versions.
 */

struct snapshot {
	int refs;
	struct table *table;
};

/* Publishes a table, which the snapshot then owns; control thread only. */
void snapshot_publish(struct table *table);

/* A reference to the snapshot in force; NULL before the first version. */
struct snapshot *snapshot_get(void);

/* Drops a reference; NULL is allowed. */
void snapshot_put(struct snapshot *snapshot);

static inline void snapshot_putp(struct snapshot **snapshot)
{
	snapshot_put(*snapshot);
}

#endif

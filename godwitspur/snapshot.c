#include <glib.h>
#include <urcu-bp.h>

#include "snapshot.h"

static struct snapshot *current;

void snapshot_publish(struct table *table)
{
	struct snapshot *snapshot = g_new0(struct snapshot, 1);
	struct snapshot *old;

	snapshot->refs = 1;
	snapshot->table = table;
	old = rcu_xchg_pointer(&current, snapshot);
	/* After this no reader is between reading the pointer and counting. */
	synchronize_rcu();
	snapshot_put(old);
}

struct snapshot *snapshot_get(void)
{
	struct snapshot *snapshot;

	rcu_read_lock();
	snapshot = rcu_dereference(current);
	if (snapshot)
		g_atomic_int_inc(&snapshot->refs);
	rcu_read_unlock();
	return snapshot;
}

void snapshot_put(struct snapshot *snapshot)
{
	if (!snapshot || !g_atomic_int_dec_and_test(&snapshot->refs))
		return;
	table_free(snapshot->table);
	g_free(snapshot);
}

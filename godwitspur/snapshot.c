#include <glib.h>
#include <urcu-bp.h>

#include "snapshot.h"

/*
 * Accessed with atomic builtins: ThreadSanitizer does not see the inline
 * assembly of rcu_xchg_pointer() and would report a race for every reader.
 */
static struct snapshot *current;

void snapshot_publish(struct table *table)
{
	struct snapshot *snapshot = g_new0(struct snapshot, 1);
	struct snapshot *old;

	snapshot->refs = 1;
	snapshot->table = table;
	old = __atomic_exchange_n(&current, snapshot, __ATOMIC_ACQ_REL);
	/* Waits for readers that loaded the old pointer to take a reference. */
	synchronize_rcu();
	snapshot_put(old);
}

struct snapshot *snapshot_get(void)
{
	struct snapshot *snapshot;

	rcu_read_lock();
	snapshot = __atomic_load_n(&current, __ATOMIC_ACQUIRE);
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

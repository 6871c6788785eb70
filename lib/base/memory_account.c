#include "base/memory_account.h"

void memory_account_init(struct memory_account *account, size_t memory_bytes)
{
	/* On a very small host the process itself gets half. */
	size_t base = MIN(MEMORY_BASE_BYTES, memory_bytes / 2);

	account->limit = memory_bytes - base;
	account->reserve = account->limit / MEMORY_RESERVE_SHARE;
	account->used = 0;
	account->buffers = 0;
	account->evicted = NULL;
	CDS_INIT_LIST_HEAD(&account->holds);
}

size_t memory_account_conns_max(const struct memory_account *account,
				size_t conn_bytes)
{
	return MAX(account->limit / MEMORY_CONNS_SHARE / conn_bytes, 1);
}

bool memory_account_take_buffer(struct memory_account *account, size_t bytes)
{
	if (account->buffers + bytes > account->limit / MEMORY_BUFFERS_SHARE)
		return false;
	account->buffers += bytes;
	return true;
}

void memory_account_give_buffer(struct memory_account *account, size_t bytes)
{
	account->buffers -= bytes;
}

static bool fits_in(const struct memory_account *account, size_t limit,
		    size_t more)
{
	return account->used <= limit && more <= limit - account->used;
}

bool memory_account_fits_reserve(const struct memory_account *account,
				 size_t more)
{
	return !account || fits_in(account, account->limit, more);
}

bool memory_account_fits(const struct memory_account *account, size_t held,
			 size_t more)
{
	if (!account || held + more <= MEMORY_SMALL_BYTES)
		return memory_account_fits_reserve(account, more);
	return fits_in(account, account->limit - account->reserve, more);
}

static struct memory_hold *find_worst(struct memory_account *account,
				      bool only_stalled, int64_t now)
{
	struct memory_hold *hold, *worst = NULL;
	double worst_cost = 0;

	cds_list_for_each_entry (hold, &account->holds, node) {
		int64_t stalled = now - hold->progressed;
		double cost = (double)hold->bytes * (double)stalled;

		if ((only_stalled && stalled < hold->stalled_ns) ||
		    cost <= worst_cost)
			continue;
		worst = hold;
		worst_cost = cost;
	}
	return worst;
}

static void give_way(struct memory_account *account, struct memory_hold *hold,
		     int64_t now)
{
	memory_hold_set_yield(hold, false, now);
	if (account->evicted)
		counter_add(account->evicted, 1);
	hold->yield(hold);
}

bool memory_account_make_room(struct memory_account *account, size_t held,
			      size_t more, int64_t now)
{
	struct memory_hold *hold;

	while (!memory_account_fits(account, held, more)) {
		hold = find_worst(account, true, now);
		if (!hold)
			return false;
		give_way(account, hold, now);
	}
	return true;
}

void memory_account_shrink(struct memory_account *account, int64_t now)
{
	struct memory_hold *hold;

	while (!memory_account_fits_reserve(account, 0)) {
		hold = find_worst(account, true, now);
		if (!hold)
			hold = find_worst(account, false, now);
		if (!hold)
			return;
		give_way(account, hold, now);
	}
}

void memory_hold_init(struct memory_hold *hold, struct memory_account *account,
		      int64_t now)
{
	hold->account = account;
	hold->bytes = 0;
	hold->moved = 0;
	hold->progressed = now;
	hold->stalled_ns = MEMORY_STALLED_NS;
	hold->may_yield = false;
}

void memory_hold_set(struct memory_hold *hold, size_t bytes)
{
	if (hold->account)
		hold->account->used += bytes - hold->bytes;
	hold->bytes = bytes;
}

void memory_hold_moved(struct memory_hold *hold, size_t bytes, int64_t now)
{
	hold->moved += bytes;
	if (hold->moved < MEMORY_PROGRESS_BYTES)
		return;
	hold->moved = 0;
	hold->progressed = now;
}

void memory_hold_set_yield(struct memory_hold *hold, bool may_yield,
			   int64_t now)
{
	if (hold->may_yield == may_yield)
		return;
	hold->may_yield = may_yield;
	hold->moved = 0;
	hold->progressed = now;
	if (!hold->account)
		return;
	if (may_yield)
		cds_list_add_tail(&hold->node, &hold->account->holds);
	else
		cds_list_del(&hold->node);
}

void memory_hold_release(struct memory_hold *hold)
{
	memory_hold_set(hold, 0);
	if (hold->account && hold->may_yield)
		cds_list_del(&hold->node);
	hold->may_yield = false;
	hold->account = NULL;
}

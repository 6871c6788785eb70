#include "mesh/entry_order.h"

/*
 * A rank holds the sequence in its low bits and the start above them: two
 * million writes, and starts until the year 2109.
 */
#define SEQUENCE_BITS 21
#define SEQUENCE_MAX ((INT64_C(1) << SEQUENCE_BITS) - 2)
#define STARTED_MAX ((INT64_C(1) << (63 - SEQUENCE_BITS)) - 1)

/* Writes in their order after which a doubtful start is the present one. */
#define PRESENT_WRITES 3

enum entry_relation entry_order_compare(const struct entry_order *known,
					const struct entry_order *entry)
{
	if (entry->started_ms != known->started_ms)
		return entry->started_ms > known->started_ms ? ENTRY_LATER
							     : ENTRY_DOUBTFUL;
	if (entry->sequence > known->sequence)
		return ENTRY_LATER;
	return entry->started_ms ? ENTRY_FORMER : ENTRY_DOUBTFUL;
}

struct entry_order entry_starts_place(const struct entry_starts *starts,
				      const struct entry_order *entry)
{
	struct entry_order order = *entry;

	if (starts->counted_ms && entry->started_ms == starts->present_ms)
		order.started_ms = starts->counted_ms;
	return order;
}

void entry_starts_take(struct entry_starts *starts, int64_t started_ms,
		       int64_t counted_ms)
{
	starts->present_ms = started_ms;
	starts->counted_ms = counted_ms;
	entry_starts_settle(starts);
}

bool entry_starts_doubt(struct entry_starts *starts,
			const struct entry_order *entry)
{
	if (starts->doubtful.started_ms != entry->started_ms)
		starts->nr_doubtful = 0;
	if (!starts->nr_doubtful ||
	    entry->sequence > starts->doubtful.sequence) {
		starts->nr_doubtful++;
		starts->doubtful = *entry;
	}
	return starts->nr_doubtful >= PRESENT_WRITES;
}

void entry_starts_settle(struct entry_starts *starts)
{
	starts->nr_doubtful = 0;
}

static int64_t clamp(int64_t value, int64_t max)
{
	if (value < 0)
		return 0;
	return value < max ? value : max;
}

int64_t entry_order_rank(const struct entry_order *order)
{
	int64_t started = clamp(order->started_ms, STARTED_MAX);
	int64_t sequence = clamp(order->sequence, SEQUENCE_MAX);

	return 1 + (started << SEQUENCE_BITS) + sequence;
}

int64_t entry_rank_started(int64_t rank)
{
	return (rank - 1) >> SEQUENCE_BITS;
}

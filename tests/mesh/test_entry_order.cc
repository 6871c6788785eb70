#include <gtest/gtest.h>

extern "C" {
#include "mesh/entry_order.h"
}

namespace
{

enum entry_relation compare(struct entry_order known, struct entry_order entry)
{
	return entry_order_compare(&known, &entry);
}

/*
 * Guards against a late write that counts as news, and against a start of a
 * server that is ignored since its sequences begin anew.
 */
TEST(EntryOrder, FollowsTheStartAndThenTheSequence)
{
	EXPECT_EQ(compare({ 5, 7 }, { 5, 8 }), ENTRY_LATER);
	EXPECT_EQ(compare({ 5, 7 }, { 5, 7 }), ENTRY_FORMER);
	EXPECT_EQ(compare({ 5, 7 }, { 5, 6 }), ENTRY_FORMER);
	EXPECT_EQ(compare({ 5, 7 }, { 6, 1 }), ENTRY_LATER);
	/* A late write of the start before, or the clock was set back. */
	EXPECT_EQ(compare({ 5, 1 }, { 4, 9 }), ENTRY_DOUBTFUL);
	/* Without the times of starts, this may be the next one. */
	EXPECT_EQ(compare({ 0, 7 }, { 0, 8 }), ENTRY_LATER);
	EXPECT_EQ(compare({ 0, 7 }, { 0, 1 }), ENTRY_DOUBTFUL);
}

/* Guards against ranks by which daemons that know more yield to others. */
TEST(EntryOrder, RankGrowsWithTheStartAndThenTheSequence)
{
	const struct entry_order orders[] = {
		{ 0, 0 },
		{ 0, 57 },
		{ INT64_C(1796626328167), 1 },
		{ INT64_C(1796626328167), 2 },
		{ INT64_C(1796626328168), 0 },
		{ INT64_C(1796626328169), 1 },
		{ INT64_MAX, INT64_MAX },
	};
	int64_t last = 0;

	for (const struct entry_order &order : orders) {
		EXPECT_GT(entry_order_rank(&order), last) << order.started_ms;
		last = entry_order_rank(&order);
	}
	EXPECT_EQ(entry_rank_started(entry_order_rank(&orders[3])),
		  orders[3].started_ms);
	/* A number that another writer made up. */
	const struct entry_order negative = { -5, -5 };

	EXPECT_GT(entry_order_rank(&negative), 0);
}

/*
 * The time of day of a host is set back, and its server starts again under its
 * id. Guards against a server that is never used again, as its time is earlier.
 */
TEST(EntryStarts, StartThatGoesOnWritingIsThePresentOne)
{
	const struct entry_order present = { 5, 3 }, former = { 9, 7 };
	struct entry_starts starts = {};

	for (int64_t sequence : { 1, 2, 2, 1 }) {
		const struct entry_order order = { 5, sequence };

		EXPECT_FALSE(entry_starts_doubt(&starts, &order));
	}
	EXPECT_TRUE(entry_starts_doubt(&starts, &present));
	entry_starts_take(&starts, 5, 10);
	/* What the former start wrote comes late, though its time is later. */
	EXPECT_EQ(compare(entry_starts_place(&starts, &present),
			  entry_starts_place(&starts, &former)),
		  ENTRY_DOUBTFUL);
}

/* Guards against late writes that take over, as they add up over time. */
TEST(EntryStarts, WriteOfTheKnownStartEndsTheDoubt)
{
	struct entry_starts starts = {};

	for (int64_t sequence = 1; sequence < 20; sequence++) {
		const struct entry_order order = { 5, sequence };

		EXPECT_FALSE(entry_starts_doubt(&starts, &order));
		if (sequence % 2 == 0)
			entry_starts_settle(&starts);
	}
}

} // namespace

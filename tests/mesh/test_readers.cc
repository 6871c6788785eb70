#include <gtest/gtest.h>

extern "C" {
#include "base/clock.h"
#include "mesh/readers.h"
}

namespace
{

const int64_t NOW = 100 * NS_PER_SEC;

struct readers_state at_rank(int rank, int64_t covered_ms_ago)
{
	struct readers_state state = {};

	state.rank = rank;
	state.covered_at = NOW - covered_ms_ago * NS_PER_MS;
	state.received_at = state.covered_at;
	return state;
}

/* Guards against store calls that grow with the fleet. */
TEST(Readers, OnlyFirstRanksReadWhileTheyReport)
{
	for (int rank = 0; rank < 100; rank++) {
		struct readers_state state = at_rank(rank, 1000);

		EXPECT_EQ(readers_should_read(&state, NOW),
			  rank < READERS_TARGET);
		EXPECT_EQ(readers_should_publish(&state, NOW),
			  rank < READERS_TARGET);
	}
}

/* Guards against a daemon without known peers that never reads the store. */
TEST(Readers, DaemonWithoutReportsReads)
{
	struct readers_state state = {};

	state.rank = 50;
	EXPECT_TRUE(readers_should_read(&state, NOW));
}

/*
 * When the first-ranking readers fail, the next daemons take over in the order
 * of their ranks. Guards against a first take-over that leaves too little of
 * the 2 s within which a configuration must be in force.
 */
TEST(Readers, NextRanksTakeOverInOrder)
{
	int64_t previous = 0;

	for (int rank = READERS_TARGET; rank < 10; rank++) {
		struct readers_state state = at_rank(rank, 0);
		int64_t next = readers_next_deadline(&state, NOW);

		EXPECT_FALSE(readers_should_read(&state, next - 1));
		EXPECT_TRUE(readers_should_read(&state, next));
		EXPECT_GT(next, previous);
		previous = next;
	}
	struct readers_state first = at_rank(READERS_TARGET, 0);
	EXPECT_LT(readers_next_deadline(&first, NOW), NOW + 1800 * NS_PER_MS);
}

/*
 * The store is down for all daemons of a large fleet, which hear each other.
 * Guards against calls of the whole fleet all through an outage and at its end.
 */
TEST(Readers, FewDaemonsCallAStoreThatIsDown)
{
	auto count_readers = [](int64_t seconds, bool heard) {
		int64_t now = NOW + seconds * NS_PER_SEC;
		int nr = 0;

		for (int rank = 0; rank < 870; rank++) {
			struct readers_state state = at_rank(rank, 0);

			if (heard)
				state.received_at = now - 600 * NS_PER_MS;
			nr += readers_should_read(&state, now);
		}
		return nr;
	};

	EXPECT_LE(count_readers(4, true), 12);
	EXPECT_LE(count_readers(8, true), 20);
	EXPECT_LE(count_readers(60, true), 110);
	/* More are added, since the store may serve some daemons only. */
	EXPECT_GT(count_readers(8, true), count_readers(4, true));
	/* A daemon that hears nobody cannot leave it to others. */
	EXPECT_EQ(count_readers(4, false), 870);
}

/*
 * After many restarts at once, and while the store is unreachable, the
 * first-ranking readers may not know of any other daemon. Guards against items
 * that then are not published: a daemon that receives nothing publishes its
 * own.
 */
TEST(Readers, DaemonThatReceivesNothingPublishes)
{
	struct readers_state state = at_rank(20, 500);

	EXPECT_FALSE(readers_should_publish(&state, NOW));
	EXPECT_TRUE(readers_should_publish(&state, NOW + 10 * NS_PER_SEC));
}

/*
 * Guards against a replacement reader that publishes before it has read the
 * store successfully.
 */
TEST(Readers, ReplacementPublishesOnlyAfterARead)
{
	struct readers_state state = at_rank(READERS_TARGET, 2000);

	state.received_at = NOW;
	EXPECT_TRUE(readers_should_read(&state, NOW));
	EXPECT_FALSE(readers_should_publish(&state, NOW));
	state.read_at = NOW;
	EXPECT_TRUE(readers_should_publish(&state, NOW));
}

} // namespace

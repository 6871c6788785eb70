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
	state.covered = NOW - covered_ms_ago * NS_PER_MS;
	state.heard = state.covered;
	return state;
}

/* Guards against store calls that grow with the fleet. */
TEST(Readers, OnlyTheUsualOnesReadWhileTheyAreHeard)
{
	for (int rank = 0; rank < 100; rank++) {
		struct readers_state state = at_rank(rank, 1000);

		EXPECT_EQ(readers_reads(&state, NOW), rank < READERS_USUAL);
		EXPECT_EQ(readers_tells(&state, NOW), rank < READERS_USUAL);
	}
}

/* A daemon that knows of nobody has to read the store itself. */
TEST(Readers, WithoutNewsEveryDaemonReads)
{
	struct readers_state state = {};

	state.rank = 50;
	EXPECT_TRUE(readers_reads(&state, NOW));
}

/*
 * The usual readers fell silent: the next ones follow in their order, and the
 * first of them well within the 2 s of a configuration.
 */
TEST(Readers, NextOnesTakeOverInOrder)
{
	int64_t previous = 0;

	for (int rank = READERS_USUAL; rank < 10; rank++) {
		struct readers_state state = at_rank(rank, 0);
		int64_t next = readers_next(&state, NOW);

		EXPECT_FALSE(readers_reads(&state, next - 1));
		EXPECT_TRUE(readers_reads(&state, next));
		EXPECT_GT(next, previous);
		previous = next;
	}
	struct readers_state first = at_rank(READERS_USUAL, 0);
	EXPECT_LT(readers_next(&first, NOW), NOW + 1800 * NS_PER_MS);
}

/*
 * After a herd of restarts the usual readers may know of nobody while the
 * store is away: a daemon that hears nothing tells what it knows.
 */
TEST(Readers, SilenceMakesADaemonTell)
{
	struct readers_state state = at_rank(20, 500);

	EXPECT_FALSE(readers_tells(&state, NOW));
	EXPECT_TRUE(readers_tells(&state, NOW + 10 * NS_PER_SEC));
}

/* A stand-in reader without an answer of the store has nothing to tell. */
TEST(Readers, OnlyWhoHasReadTellsBesidesTheUsual)
{
	struct readers_state state = at_rank(READERS_USUAL, 2000);

	state.heard = NOW;
	EXPECT_TRUE(readers_reads(&state, NOW));
	EXPECT_FALSE(readers_tells(&state, NOW));
	state.read = NOW;
	EXPECT_TRUE(readers_tells(&state, NOW));
}

} // namespace

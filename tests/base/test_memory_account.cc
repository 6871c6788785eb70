#include <gtest/gtest.h>

extern "C" {
#include "base/memory_account.h"
}

namespace
{

const int64_t MS = 1000000;
const size_t MB = 1000000;

/* A holder that releases its bytes when it gives way. */
struct Holder {
	struct memory_hold hold = {};
	int yields = 0;

	static void on_yield(struct memory_hold *hold)
	{
		/* The hold is the first member. */
		((Holder *)hold)->yields++;
		memory_hold_set(hold, 0);
	}

	Holder(struct memory_account *account, size_t bytes, int64_t now)
	{
		memory_hold_init(&hold, account, now);
		hold.yield = on_yield;
		memory_hold_set(&hold, bytes);
		memory_hold_set_yield(&hold, true, now);
	}

	~Holder()
	{
		memory_hold_release(&hold);
	}
};

/* A host of 110 MB must be able to hold one body of 64 MiB. */
TEST(MemoryAccount, FitsTheLargestBodyOnASmallHost)
{
	struct memory_account account;

	memory_account_init(&account, 110 * MB);
	EXPECT_TRUE(memory_account_fits(&account, 0, 64 * 1024 * 1024));
	EXPECT_FALSE(memory_account_fits(&account, 0, 80 * MB));
}

/* Many open connections must not take the memory that requests need. */
TEST(MemoryAccount, BoundsConnectionsByWhatEachHas)
{
	struct memory_account account;

	memory_account_init(&account, 110 * MB);
	size_t nr = memory_account_conns_max(&account, 12288);
	EXPECT_GE(nr, 1300u); /* a third of 4,100 descriptors less 200 */
	EXPECT_LE(nr * 12288, account.limit / MEMORY_CONNS_SHARE);

	/* A host too small for one connection has one nevertheless. */
	memory_account_init(&account, 1000);
	EXPECT_EQ(memory_account_conns_max(&account, 12288), 1u);
}

/* Unread bytes of many connections must not add up to the whole memory. */
TEST(MemoryAccount, GivesLargerBuffersWithinTheirShare)
{
	struct memory_account account;
	size_t nr = 0;

	memory_account_init(&account, 64 * MB);
	while (memory_account_take_buffer(&account, 65536))
		nr++;
	EXPECT_EQ(nr, account.limit / MEMORY_BUFFERS_SHARE / 65536);
	memory_account_give_buffer(&account, 65536);
	EXPECT_TRUE(memory_account_take_buffer(&account, 65536));
	EXPECT_FALSE(memory_account_take_buffer(&account, 65536));
}

/* Large bodies must not take the room of ordinary callers. */
TEST(MemoryAccount, KeepsAReserveForSmallHolders)
{
	struct memory_account account;

	memory_account_init(&account, 64 * MB);
	Holder large(&account, account.limit - account.reserve, 0);

	EXPECT_FALSE(memory_account_fits(&account, 0, 20000));
	EXPECT_TRUE(memory_account_fits(&account, 0, 1000));
	/* What was small must not grow beyond it step by step. */
	EXPECT_FALSE(memory_account_fits(&account, 16000, 1000));
	memory_hold_set(&large.hold, account.limit);
	EXPECT_FALSE(memory_account_fits(&account, 0, 1000));
}

TEST(MemoryAccount, WithoutAccountEverythingFits)
{
	EXPECT_TRUE(memory_account_fits(nullptr, 0, SIZE_MAX / 2));
}

/* The one that holds most for longest gives way, and no more than needed. */
TEST(MemoryAccount, LargestStalledHolderGivesWay)
{
	struct memory_account account;

	memory_account_init(&account, 64 * MB);
	Holder small(&account, 10 * MB, 0), large(&account, 20 * MB, 0);

	EXPECT_TRUE(memory_account_make_room(&account, 0, 10 * MB, 300 * MS));
	EXPECT_EQ(large.yields, 1);
	EXPECT_EQ(small.yields, 0);
}

/* Holders that make progress, and those that run, never give way. */
TEST(MemoryAccount, SparesProgressAndRunningRequests)
{
	struct memory_account account;

	memory_account_init(&account, 64 * MB);
	Holder moving(&account, 15 * MB, 0), running(&account, 15 * MB, 0);

	memory_hold_set_yield(&running.hold, false, 0);
	memory_hold_moved(&moving.hold, MEMORY_PROGRESS_BYTES, 200 * MS);
	EXPECT_FALSE(memory_account_make_room(&account, 0, 10 * MB, 300 * MS));
	EXPECT_EQ(moving.yields + running.yields, 0);
	/* Single bytes are no progress. */
	memory_hold_moved(&moving.hold, 1, 400 * MS);
	EXPECT_TRUE(memory_account_make_room(&account, 0, 10 * MB, 500 * MS));
	EXPECT_EQ(moving.yields, 1);
	EXPECT_EQ(running.yields, 0);
}

/* Responses that nobody reads must not add up beyond the limit. */
TEST(MemoryAccount, ShrinksByHoldersThatAreNotStalled)
{
	struct memory_account account;

	memory_account_init(&account, 64 * MB);
	Holder older(&account, 10 * MB, 0);
	Holder newer(&account, 10 * MB, 50 * MS);
	Holder last(&account, account.limit - 20 * MB, 100 * MS);

	memory_account_shrink(&account, 100 * MS);
	EXPECT_EQ(older.yields, 0);
	memory_hold_set(&last.hold, account.limit - 19 * MB);
	memory_account_shrink(&account, 100 * MS);
	EXPECT_EQ(older.yields, 1);
	EXPECT_EQ(newer.yields, 0);

	/* The one that has just come is not given up for itself. */
	memory_hold_set(&last.hold, 2 * account.limit);
	memory_account_shrink(&account, 100 * MS);
	EXPECT_EQ(newer.yields, 1);
	EXPECT_EQ(last.yields, 0);
}

TEST(MemoryAccount, ReleaseReturnsAllBytes)
{
	struct memory_account account;

	memory_account_init(&account, 64 * MB);

	{
		Holder holder(&account, 5 * MB, 0);

		EXPECT_EQ(account.used, 5 * MB);
	}
	EXPECT_EQ(account.used, 0u);
	EXPECT_TRUE(cds_list_empty(&account.holds));
}

} // namespace

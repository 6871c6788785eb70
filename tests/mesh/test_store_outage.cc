#include <gtest/gtest.h>

extern "C" {
#include "mesh/store_outage.h"
}

namespace
{

const int64_t START = 100 * NS_PER_SEC;

int64_t after(int64_t ms)
{
	return START + ms * NS_PER_MS;
}

/* Guards against an outage that a daemon cannot know from its own calls. */
TEST(StoreOutage, AbsenceCountsFromTheLastReadOfAnyDaemon)
{
	struct store_outage outage = {};

	store_outage_note_read(&outage, START);
	store_outage_note_read(&outage, after(10000));
	/* The failure is known from others, late in the outage. */
	store_outage_note_failure(&outage, after(13900));
	store_outage_note_read(&outage, after(14000));
	EXPECT_EQ(outage.hold_deadline, after(14000) + STORE_OUTAGE_HOLD_NS);
	/* Later readers, and reads that are told late, do not prolong it. */
	store_outage_note_failure(&outage, after(14100));
	store_outage_note_read(&outage, after(14200));
	store_outage_note_read(&outage, after(14050));
	EXPECT_EQ(outage.hold_deadline, after(14000) + STORE_OUTAGE_HOLD_NS);
}

/* Guards against servers that stay in use although the store was there. */
TEST(StoreOutage, NothingIsHeldWithoutAnOutage)
{
	struct store_outage outage = {};

	store_outage_note_read(&outage, START);
	store_outage_note_read(&outage, after(5000));
	int64_t held = outage.hold_deadline;

	/* Both readers ended, and the next one begins late. */
	store_outage_note_read(&outage, after(9000));
	EXPECT_EQ(outage.hold_deadline, held);
	/* The store turns some daemons away, and others read it. */
	for (int i = 0; i < 20; i++) {
		store_outage_note_failure(&outage, after(9100 + 500 * i));
		store_outage_note_read(&outage, after(9200 + 500 * i));
	}
	EXPECT_EQ(outage.hold_deadline, held);
}

/*
 * Guards against a daemon that starts in an outage and takes its first read for
 * the state of a store that was never away.
 */
TEST(StoreOutage, FirstReadMayEndAnOutage)
{
	struct store_outage outage = {};

	store_outage_note_failure(&outage, after(-500));
	store_outage_note_read(&outage, START);
	EXPECT_EQ(outage.hold_deadline, START + STORE_OUTAGE_HOLD_NS);
	/* Others tell of their last read before the outage. */
	store_outage_note_read(&outage, after(-4000));
	EXPECT_EQ(outage.hold_deadline, START + STORE_OUTAGE_HOLD_NS);
}

/*
 * Guards against a read just after the return that is reported late, and counts
 * as one from before it.
 */
TEST(StoreOutage, EarlierReadAfterTheReturnMovesTheHold)
{
	struct store_outage outage = {};

	store_outage_note_read(&outage, START);
	store_outage_note_failure(&outage, after(1000));
	store_outage_note_read(&outage, after(5000));
	store_outage_note_read(&outage, after(4900));
	EXPECT_EQ(outage.hold_deadline, after(4900) + STORE_OUTAGE_HOLD_NS);

	/* The same for a daemon that has just started. */
	outage = {};
	store_outage_note_read(&outage, after(5000));
	store_outage_note_read(&outage, after(4900));
	EXPECT_EQ(outage.hold_deadline, after(4900) + STORE_OUTAGE_HOLD_NS);
}

/* Guards against servers that are held although others read all along. */
TEST(StoreOutage, ReadsThatAreReportedLateShowThatThereWasNone)
{
	struct store_outage outage = {};

	store_outage_note_read(&outage, START);
	store_outage_note_read(&outage, after(5000));
	store_outage_note_failure(&outage, after(5500));
	store_outage_note_read(&outage, after(8000));
	EXPECT_EQ(outage.hold_deadline, after(8000) + STORE_OUTAGE_HOLD_NS);
	store_outage_note_read(&outage, after(6500));
	EXPECT_EQ(outage.hold_deadline, 0);
}

/* Guards against a hold that a read from before the outage would end. */
TEST(StoreOutage, ReadBeforeTheOutageDoesNotEndTheHold)
{
	struct store_outage outage = {};

	store_outage_note_read(&outage, START);
	store_outage_note_read(&outage, after(1000));
	store_outage_note_failure(&outage, after(2000));
	store_outage_note_read(&outage, after(6000));
	store_outage_note_read(&outage, after(500));
	store_outage_note_read(&outage, after(1500));
	EXPECT_EQ(outage.hold_deadline, after(6000) + STORE_OUTAGE_HOLD_NS);
}

/*
 * Guards against a daemon that starts just after an outage, so that it knows of
 * no failure, and is told of a read from before it: that read says nothing of
 * the time in which this daemon did not run.
 */
TEST(StoreOutage, ReadFromBeforeTheStartDoesNotEndTheHold)
{
	struct store_outage outage = {};

	outage.started_at = after(-100);
	store_outage_note_read(&outage, START);
	store_outage_note_read(&outage, after(-5000));
	EXPECT_EQ(outage.hold_deadline, START + STORE_OUTAGE_HOLD_NS);

	/* The same if that read is told first. */
	outage = {};
	outage.started_at = after(-100);
	store_outage_note_read(&outage, after(-5000));
	store_outage_note_read(&outage, START);
	EXPECT_EQ(outage.hold_deadline, START + STORE_OUTAGE_HOLD_NS);
}

} // namespace

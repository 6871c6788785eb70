#include <gtest/gtest.h>

#include <algorithm>

extern "C" {
#include "base/clock.h"
#include "mesh/recent.h"
}

namespace
{

/*
 * Guards against pushes whose base revision other daemons cannot have yet, and
 * against a base so old that each new receiver is sent all items.
 */
TEST(Recent, BaseIsOneToTwoSecondsOld)
{
	struct mesh_recent recent = {};
	int64_t now = 10 * NS_PER_SEC;

	mesh_recent_note(&recent, 5, now);
	EXPECT_EQ(recent.revision, 0);
	/* Ten changes a second: the base is always at least 1 s old. */
	for (int64_t revision = 6; revision <= 40; revision++) {
		now += 100 * NS_PER_MS;
		mesh_recent_note(&recent, revision, now);
		EXPECT_LE(recent.revision, std::max<int64_t>(revision - 10, 0));
		if (revision > 30) {
			EXPECT_GE(recent.revision, revision - 20);
		}
	}
	/* After 60 s without a change, the base includes the earlier ones. */
	now += 60 * NS_PER_SEC;
	mesh_recent_note(&recent, 41, now);
	EXPECT_GE(recent.revision, 25);
	EXPECT_LT(recent.revision, 41);
}

} // namespace

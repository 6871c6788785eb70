#include <gtest/gtest.h>

#include <algorithm>

extern "C" {
#include "base/clock.h"
#include "mesh/recent.h"
}

namespace
{

/*
 * Guards against news that build on what others cannot have yet, and against
 * sending all that is published to each daemon that a new sender tells.
 */
TEST(Recent, IsWhatWasKnownAMomentAgo)
{
	struct mesh_recent recent = {};
	int64_t now = 10 * NS_PER_SEC;

	mesh_recent_note(&recent, 5, now);
	EXPECT_EQ(recent.revision, 0);
	/* A storm of changes: never newer than a second. */
	for (int64_t revision = 6; revision <= 40; revision++) {
		now += 100 * NS_PER_MS;
		mesh_recent_note(&recent, revision, now);
		EXPECT_LE(recent.revision, std::max<int64_t>(revision - 10, 0));
		if (revision > 30) {
			EXPECT_GE(recent.revision, revision - 20);
		}
	}
	/* After calm the change under way builds on all before it. */
	now += 60 * NS_PER_SEC;
	mesh_recent_note(&recent, 41, now);
	EXPECT_GE(recent.revision, 25);
	EXPECT_LT(recent.revision, 41);
}

} // namespace

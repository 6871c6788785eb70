#include <gtest/gtest.h>

extern "C" {
#include "base/clock.h"
#include "base/rng.h"
#include "cost/estimate.h"
#include "cost/server.h"
}

namespace
{
constexpr int64_t kWork = 160 * NS_PER_MS;

/* Guards against a first guess that outweighs what is observed. */
TEST(CostEstimate, FirstSampleReplacesTheAssumption)
{
	struct cost_estimate estimate;

	cost_estimate_init(&estimate, 10 * kWork);
	EXPECT_EQ(cost_estimate_mean_ns(&estimate), 10 * kWork);
	cost_estimate_add(&estimate, kWork, NS_PER_SEC);
	EXPECT_EQ(cost_estimate_mean_ns(&estimate), kWork);
}

/* Guards against an estimate that rare long runs move, or one that sticks. */
TEST(CostEstimate, IgnoresRareLongRunsAndFollowsLastingChanges)
{
	struct cost_estimate estimate;
	int64_t now = 0, before;

	cost_estimate_init(&estimate, kWork);
	for (int i = 0; i < 1000; i++)
		cost_estimate_add(&estimate, i % 33 ? kWork : 7 * kWork,
				  now += 10 * NS_PER_MS);
	/* The mean of this load is 1.18 times the usual work. */
	before = cost_estimate_mean_ns(&estimate);
	EXPECT_LT(before, kWork * 13 / 10);
	cost_estimate_add(&estimate, 50 * kWork, now += NS_PER_MS);
	EXPECT_LT(cost_estimate_mean_ns(&estimate), before * 11 / 10);
	for (int i = 0; i < 200; i++)
		cost_estimate_add(&estimate, 3 * kWork, now += NS_PER_MS);
	EXPECT_GT(cost_estimate_mean_ns(&estimate), kWork * 27 / 10);
	/* After a minute without requests few samples suffice. */
	now += 60 * NS_PER_SEC;
	for (int i = 0; i < 8; i++)
		cost_estimate_add(&estimate, kWork, now += NS_PER_MS);
	EXPECT_LT(cost_estimate_mean_ns(&estimate), kWork * 13 / 10);
	EXPECT_GE(cost_estimate_high_ns(&estimate),
		  cost_estimate_mean_ns(&estimate));
}

/* Guards against a speed that is not learned, or not forgotten. */
TEST(CostServer, LearnsTheSpeedAndForgetsIt)
{
	struct cost_server server = {};
	int64_t now = NS_PER_SEC;

	for (int i = 0; i < 40; i++)
		cost_server_ran(&server, 2 * kWork, kWork, 100,
				now += 50 * NS_PER_MS);
	EXPECT_NEAR(cost_server_factor(&server, now), 2, 0.1);
	cost_server_ran(&server, 14 * kWork, kWork, 100, now);
	EXPECT_LT(cost_server_factor(&server, now), 2.3);
	now += 100 * NS_PER_SEC;
	EXPECT_NEAR(cost_server_factor(&server, now), 1, 0.05);
}

/* Guards against a wrong or constant pace that is believed for ever. */
TEST(CostServer, CorrectsAFalsePaceByRunTimes)
{
	struct cost_server server = {};
	int64_t now = NS_PER_SEC;

	for (int i = 0; i < 40; i++) {
		cost_server_report(&server, 20, 0, now += 50 * NS_PER_MS);
		cost_server_ran(&server, kWork, kWork, 20, now);
	}
	EXPECT_NEAR(cost_server_factor(&server, now), 1, 0.1);
}

/* Guards against requests that are counted twice, or never. */
TEST(CostServer, AddsOwnRequestsUntilTheNextReport)
{
	struct cost_server server = {};
	int64_t now = NS_PER_SEC;

	cost_server_report(&server, 100, kWork, now);
	cost_server_sent(&server, 4 * kWork);
	EXPECT_EQ(cost_server_wait_ns(&server, 4, 0, now), 2 * kWork);
	cost_server_report(&server, 250, kWork, now);
	EXPECT_EQ(cost_server_wait_ns(&server, 4, 0, now), 5 * kWork / 2);
	/* An old report gives way to the mean of the servers. */
	EXPECT_NEAR((double)cost_server_wait_ns(&server, 4, 3 * kWork,
						now + 10 * NS_PER_SEC),
		    3 * kWork, NS_PER_MS);
}

/* Guards against lost requests that count as outstanding for ever. */
TEST(CostServer, ForgetsRequestsThatEndWithoutAReport)
{
	struct cost_server server = {};

	for (int i = 0; i < 100; i++) {
		cost_server_sent(&server, kWork);
		cost_server_ended(&server, kWork);
	}
	EXPECT_EQ(cost_server_wait_ns(&server, 4, 0, NS_PER_SEC), 0);
	cost_server_sent(&server, kWork);
	cost_server_report(&server, 100, 0, NS_PER_SEC);
	cost_server_ended(&server, kWork);
	EXPECT_EQ(cost_server_wait_ns(&server, 4, 0, NS_PER_SEC), 0);
}

/* Guards against a server that says it is idle and refuses everything. */
TEST(CostServer, BelievesARefusalMoreThanAnEmptyReport)
{
	struct cost_server server = {};

	cost_server_report(&server, 100, 0, NS_PER_SEC);
	cost_server_refused(&server, kWork, NS_PER_SEC);
	EXPECT_EQ(cost_server_wait_ns(&server, 4, 0, NS_PER_SEC), kWork);
	EXPECT_TRUE(cost_server_is_reporting(&server, NS_PER_SEC, NS_PER_SEC));
	EXPECT_FALSE(
		cost_server_is_reporting(&server, NS_PER_SEC, 2 * NS_PER_SEC));
}

} // namespace

#include <gtest/gtest.h>

#include "replay.h"

/*
 * Each load is replayed with today's choice and with the expected time of the
 * answer. GODWITSPUR_REPLAY_PRINT=1 prints the figures of all loads.
 */

namespace
{

constexpr uint64_t kSeeds = 4;

struct Comparison {
	ReplayResult before, choice, both;
};

void print(const char *name, const char *mode, const ReplayResult &result)
{
	if (!getenv("GODWITSPUR_REPLAY_PRINT"))
		return;
	printf("%-12s %-7s in objective %6.2f%%  refused %6.2f%%  busiest "
	       "%4.2f  late at first server %5.2f%%\n",
	       name, mode, result.in_objective_percent(),
	       result.refused_percent(), result.busiest,
	       100.0 * (double)result.late_first / (double)result.requests);
}

ReplayResult replaySeeds(ReplayOptions options)
{
	ReplayResult sum = {};

	for (options.seed = 1; options.seed <= kSeeds; options.seed++) {
		ReplayResult result = replay(options);

		sum.requests += result.requests;
		sum.in_objective += result.in_objective;
		sum.arrivals += result.arrivals;
		sum.refused += result.refused;
		sum.late_first += result.late_first;
		sum.busiest += result.busiest / kSeeds;
	}
	return sum;
}

Comparison compare(const char *name, ReplayOptions options)
{
	Comparison result;

	options.expected = options.queue = false;
	result.before = replaySeeds(options);
	options.expected = true;
	result.choice = replaySeeds(options);
	options.queue = true;
	result.both = replaySeeds(options);
	print(name, "today", result.before);
	print(name, "choice", result.choice);
	print(name, "queue", result.both);
	return result;
}

ReplayOptions uneven(int servers)
{
	ReplayOptions options;

	options.speeds = { 0.5, 1, 1, 1.5 };
	options.servers = servers;
	return options;
}

/* Guards against a choice that lets slow servers queue while others wait. */
TEST(Replay, UnevenServersAnswerMoreInTime)
{
	Comparison result = compare("uneven", uneven(17));

	EXPECT_GT(result.choice.in_objective_percent(),
		  result.before.in_objective_percent() + 3);
	EXPECT_LT(result.choice.refused, result.before.refused / 3);
	EXPECT_LT(result.choice.late_first, result.before.late_first / 3);
	EXPECT_LT(result.choice.busiest, result.before.busiest + 0.05);
	EXPECT_GT(result.both.in_objective_percent(),
		  result.before.in_objective_percent() + 3);
}

/* Guards against hundreds of senders that follow the same report. */
TEST(Replay, ManySendersDoNotHerd)
{
	ReplayOptions options = uneven(18);
	Comparison result;

	options.senders = 400;
	result = compare("400 senders", options);
	EXPECT_GT(result.choice.in_objective_percent(),
		  result.before.in_objective_percent() + 2);
	EXPECT_LT(result.choice.busiest, result.before.busiest + 0.05);
}

/* Guards against reports of a pace that has changed since. */
TEST(Replay, ChangingPaceAndRareLongRequests)
{
	ReplayOptions options;
	Comparison result;

	options.servers = 22;
	options.slow_share = 0.15;
	options.rare_long = 0.03;
	result = compare("pace", options);
	EXPECT_GT(result.both.in_objective_percent(),
		  result.before.in_objective_percent() + 1);
	EXPECT_LT(result.both.refused, result.before.refused / 2);
}

/* Guards against a queue that counts requests of unlike work as equal. */
TEST(Replay, RoutesOfUnlikeWork)
{
	ReplayOptions options = uneven(20);
	Comparison result;

	options.two_routes = true;
	options.slow_share = 0.15;
	options.rare_long = 0.03;
	result = compare("two routes", options);
	EXPECT_GT(result.choice.in_objective_percent(),
		  result.before.in_objective_percent());
	EXPECT_GT(result.both.in_objective_percent(),
		  result.choice.in_objective_percent() + 2);
}

/* Guards against servers that draw requests by saying that they are idle. */
TEST(Replay, FalseReportsAreOutweighed)
{
	ReplayOptions options = uneven(20);
	Comparison result;

	options.false_reports = true;
	result = compare("false", options);
	EXPECT_GE(result.both.in_objective_percent(),
		  result.before.in_objective_percent());
	EXPECT_LT(result.both.busiest, 1.5);
}

/* Guards against a change for services whose servers report nothing. */
TEST(Replay, WithoutReportsNothingChanges)
{
	ReplayOptions options = uneven(17);
	Comparison result;

	options.reports = false;
	result = compare("no reports", options);
	EXPECT_EQ(result.both.in_objective, result.before.in_objective);
	EXPECT_EQ(result.both.arrivals, result.before.arrivals);
	EXPECT_EQ(result.both.refused, result.before.refused);
	EXPECT_EQ(result.both.busiest, result.before.busiest);
}

} // namespace

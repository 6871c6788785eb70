#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <vector>

extern "C" {
#include "base/clock.h"
#include "retry/window.h"
}

namespace
{

const int64_t WINDOW_MS = 10000;

struct retry_window make(int slack, int nr_daemons, int64_t now)
{
	struct retry_window_options options = {};
	struct retry_window window = {};

	options.window_ms = WINDOW_MS;
	options.ratio = 0.2;
	options.slack = slack;
	options.nr_daemons = nr_daemons;
	retry_window_set(&window, &options, now);
	return window;
}

/* Takes retries until one is denied; returns their number. */
int take_all(struct retry_window &window, enum retry_urgency urgency,
	     int64_t now)
{
	int taken = 0;

	while (retry_window_take(&window, urgency, now))
		taken++;
	return taken;
}

/* Counts requests at an even rate; returns the time of the last one. */
int64_t serve(struct retry_window &window, int per_s, int seconds, int64_t now)
{
	for (int i = 0; i < per_s * seconds; i++) {
		now += NS_PER_SEC / per_s;
		retry_window_request(&window, now);
	}
	return now;
}

/*
 * The daemons do not exchange their counts. Guards against shares that together
 * exceed the slack of the service, even if every daemon restarts once.
 */
TEST(RetryWindow, SharesOfAllDaemonsStayWithinTheSlack)
{
	static const struct {
		int slack, nr_daemons, nr_restarted;
	} cases[] = {
		{ 62, 12, 0 },	{ 62, 12, 12 },	 { 58, 10, 10 },
		{ 192, 76, 0 }, { 192, 76, 76 }, { 62, 1, 0 },
	};

	for (const auto &one : cases) {
		int taken = 0;

		for (int i = 0; i < one.nr_daemons + one.nr_restarted; i++) {
			struct retry_window window =
				make(one.slack, one.nr_daemons, NS_PER_SEC);

			taken += take_all(window, RETRY_URGENT, NS_PER_SEC);
		}
		EXPECT_LE(taken, one.slack) << one.nr_daemons;
	}
}

/* Guards against counts that are lost when the same settings are applied. */
TEST(RetryWindow, SameSettingsKeepCounts)
{
	struct retry_window window = make(62, 12, NS_PER_SEC);
	struct retry_window_options options = {};

	take_all(window, RETRY_URGENT, NS_PER_SEC);
	options.window_ms = WINDOW_MS;
	options.ratio = 0.2;
	options.slack = 62;
	options.nr_daemons = 12;
	retry_window_set(&window, &options, NS_PER_SEC);
	EXPECT_FALSE(retry_window_take(&window, RETRY_URGENT, NS_PER_SEC));
}

/*
 * The first settings have one daemon, the next ones two. Guards against a used
 * half of the slack that is computed from the first settings and kept: it was
 * the whole share of the daemon afterwards.
 */
TEST(RetryWindow, InitialHalfFollowsNumberOfDaemons)
{
	struct retry_window window = make(200, 1, NS_PER_SEC);
	struct retry_window_options options = {};

	options.window_ms = WINDOW_MS;
	options.ratio = 0.2;
	options.slack = 200;
	options.nr_daemons = 2;
	retry_window_set(&window, &options, NS_PER_SEC);
	EXPECT_EQ(take_all(window, RETRY_URGENT, NS_PER_SEC), 30);
}

/*
 * The load of a service whose servers shed half of all requests for 8 s after a
 * time without failures. Guards against a budget that discards the retries
 * earned before the failures: a token bucket of 1.5 retries permitted retries
 * for a share of 0.12 of the requests, most of them late.
 */
TEST(RetryWindow, RetriesEarnedBeforeFailuresAreKept)
{
	struct retry_window window = make(192, 76, NS_PER_SEC);
	int64_t now = serve(window, 20, 20, NS_PER_SEC);
	int retries = 0;

	for (int i = 0; i < 20 * 8; i++) {
		now += NS_PER_SEC / 20;
		retry_window_request(&window, now);
		retries += retry_window_take(&window, RETRY_URGENT, now);
	}
	EXPECT_GE(retries, 21);
	EXPECT_GT(retries, 20 * 8 * 0.12);
}

/*
 * Guards against lookups that use up the retries of orders. Of 16 requests, one
 * is an order that fails and eight are lookups that fail.
 */
TEST(RetryWindow, ReservesRetriesForUrgentRequests)
{
	struct retry_window window = make(192, 76, NS_PER_SEC);
	int64_t now = serve(window, 40, 20, NS_PER_SEC);
	int wanted = 0, granted = 0;

	for (int i = 0; i < 40 * 10; i++) {
		bool urgent = i % 16 == 0;

		now += NS_PER_SEC / 40;
		retry_window_request(&window, now);
		wanted += urgent;
		if (urgent || i % 2)
			granted += retry_window_take(&window,
						     urgent ? RETRY_URGENT
							    : RETRY_NORMAL,
						     now) &&
				   urgent;
	}
	EXPECT_GE(granted, wanted * 9 / 10);
}

/*
 * Guards against more retries in any time window than the ratio and the slack
 * permit, at random loads.
 */
RC_GTEST_PROP(RetryWindow, StaysWithinRatioAndSlackInEveryWindow, ())
{
	struct retry_window window = make(62, 12, NS_PER_SEC);
	std::vector<int64_t> requests, retries;
	int64_t now = NS_PER_SEC;
	int events = *rc::gen::inRange(100, 2000);
	double slack = 62.0 / 12;

	for (int i = 0; i < events; i++) {
		now += *rc::gen::inRange<int64_t>(0, 100) * NS_PER_MS;
		if (*rc::gen::inRange(0, 3)) {
			retry_window_request(&window, now);
			requests.push_back(now);
		}
		if (*rc::gen::arbitrary<bool>() &&
		    retry_window_take(&window, RETRY_URGENT, now))
			retries.push_back(now);
	}
	for (int64_t end : retries) {
		int64_t start = end - WINDOW_MS * NS_PER_MS;
		int requested = 0, retried = 0;

		for (int64_t at : requests)
			requested += at > start && at <= end;
		for (int64_t at : retries)
			retried += at > start && at <= end;
		RC_ASSERT(retried <= 0.2 * requested + slack);
	}
}

} // namespace

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

/* Repeats that a daemon takes at once. */
int take_all(struct retry_window &window, enum retry_urgency urgency,
	     int64_t now)
{
	int taken = 0;

	while (retry_window_take(&window, urgency, now))
		taken++;
	return taken;
}

/* A load of so many requests a second, evenly. */
int64_t serve(struct retry_window &window, int per_s, int seconds, int64_t now)
{
	for (int i = 0; i < per_s * seconds; i++) {
		now += NS_PER_SEC / per_s;
		retry_window_request(&window, now);
	}
	return now;
}

/*
 * No daemon knows what the others repeat, so the shares of all together must
 * stay within what the service bears, also when every daemon restarts once.
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

/* Guards against a window that a new configuration empties. */
TEST(RetryWindow, SettingItAgainAddsNothing)
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
 * Guards against a first view of one daemon, by which half of the slack of all
 * counted as spent.
 */
TEST(RetryWindow, KeepsItsPartWhenOthersShowUp)
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
 * The load of a service whose servers shed half of all for 8 s after a calm
 * time. Guards against a budget that forgets what the calm time has earned: a
 * bucket of 1.5 repeats gave 0.12 of the requests in the trouble, and most of
 * them late.
 */
TEST(RetryWindow, CalmTimeEarnsRepeatsForTheTrouble)
{
	struct retry_window window = make(192, 76, NS_PER_SEC);
	int64_t now = serve(window, 20, 20, NS_PER_SEC);
	int repeats = 0;

	for (int i = 0; i < 20 * 8; i++) {
		now += NS_PER_SEC / 20;
		retry_window_request(&window, now);
		repeats += retry_window_take(&window, RETRY_URGENT, now);
	}
	EXPECT_GE(repeats, 21);
	EXPECT_GT(repeats, 20 * 8 * 0.12);
}

/*
 * Guards against lookups that use up the repeats of orders: both kinds fail
 * half of the time, and seven in eight requests are lookups.
 */
TEST(RetryWindow, UrgentRequestsKeepTheirPart)
{
	struct retry_window window = make(192, 76, NS_PER_SEC);
	int64_t now = serve(window, 40, 20, NS_PER_SEC);
	int asked = 0, given = 0;

	for (int i = 0; i < 40 * 10; i++) {
		bool urgent = i % 16 == 0;

		now += NS_PER_SEC / 40;
		retry_window_request(&window, now);
		asked += urgent;
		if (urgent || i % 2)
			given += retry_window_take(&window,
						   urgent ? RETRY_URGENT
							  : RETRY_USUAL,
						   now) &&
				 urgent;
	}
	EXPECT_GE(given, asked * 9 / 10);
}

/* The rule itself, for any daemon at any load, over every window of time. */
RC_GTEST_PROP(RetryWindow, StaysWithinRatioAndSlackInEveryWindow, ())
{
	struct retry_window window = make(62, 12, NS_PER_SEC);
	std::vector<int64_t> requests, repeats;
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
			repeats.push_back(now);
	}
	for (int64_t end : repeats) {
		int64_t start = end - WINDOW_MS * NS_PER_MS;
		int asked = 0, repeated = 0;

		for (int64_t at : requests)
			asked += at > start && at <= end;
		for (int64_t at : repeats)
			repeated += at > start && at <= end;
		RC_ASSERT(repeated <= 0.2 * asked + slack);
	}
}

} // namespace

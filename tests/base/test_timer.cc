#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

extern "C" {
#include "base/clock.h"
#include "base/pack.h"
#include "base/timer.h"
}

namespace
{

struct Entry {
	struct timer timer; /* first member, cast by on_fire() */
	struct timers *timers;
	std::vector<int64_t> *fired;
	bool set_again; /* on_fire() sets the timer to the present time */
};

void on_fire(struct timer *timer, int64_t now)
{
	Entry *entry = (Entry *)timer;

	entry->fired->push_back(timer->deadline);
	if (entry->set_again)
		timers_set(entry->timers, timer, now);
}

/* Guards against lost or misordered timers after any sequence of changes. */
RC_GTEST_PROP(Timers, FireInOrder, ())
{
	struct timers timers;
	std::vector<int64_t> fired, expected;
	std::vector<Entry> entries(20);

	timers_init(&timers);
	for (Entry &entry : entries) {
		entry = {};
		entry.timer.fire = on_fire;
		entry.timers = &timers;
		entry.fired = &fired;
	}
	for (int i = 0; i < 60; i++) {
		Entry &entry = entries[*rc::gen::inRange<size_t>(0, 20)];

		if (*rc::gen::inRange(0, 3))
			timers_set(&timers, &entry.timer,
				   *rc::gen::inRange(0, 100));
		else
			timers_cancel(&timers, &entry.timer);
	}
	for (const Entry &entry : entries)
		if (entry.timer.position && entry.timer.deadline <= 50)
			expected.push_back(entry.timer.deadline);
	std::sort(expected.begin(), expected.end());
	timers_run(&timers, 50);
	RC_ASSERT(fired == expected);
	RC_ASSERT(timers_next(&timers) > 50);
	timers_release(&timers);
}

/*
 * Guards against an endless loop in timers_run() when a timer's callback sets
 * the timer to the past.
 */
TEST(Timers, TimerSetToThePastFiresAtNextRun)
{
	struct timers timers;
	std::vector<int64_t> fired;
	Entry entry = {};

	timers_init(&timers);
	entry.timer.fire = on_fire;
	entry.timers = &timers;
	entry.fired = &fired;
	entry.set_again = true;
	timers_set(&timers, &entry.timer, 1);
	timers_run(&timers, 10);
	EXPECT_EQ(fired.size(), 1u);
	timers_run(&timers, 10);
	EXPECT_EQ(fired.size(), 2u);
	timers_release(&timers);
}

/* Guards against values that compression changes, and truncated data. */
TEST(Pack, RestoresPackedBytes)
{
	std::string text(10000, 'x');
	g_autoptr(GBytes) plain = g_bytes_new(text.data(), text.size());
	g_autoptr(GBytes) packed = pack_bytes(plain);
	g_autoptr(GBytes) back = NULL;
	gsize len;
	const void *data;

	ASSERT_NE(packed, nullptr);
	data = g_bytes_get_data(packed, &len);
	EXPECT_LT(len, text.size() / 10);
	back = unpack_bytes(data, len, text.size());
	ASSERT_NE(back, nullptr);
	EXPECT_TRUE(g_bytes_equal(plain, back));
	EXPECT_EQ(unpack_bytes(data, len, text.size() - 1), nullptr);
	EXPECT_EQ(unpack_bytes(data, len, text.size() + 1), nullptr);
	EXPECT_EQ(unpack_bytes(data, len - 1, text.size()), nullptr);
	EXPECT_EQ(unpack_bytes("no", 2, 10), nullptr);
}

/* Guards against values that compression makes longer. */
TEST(Pack, RefusesBytesThatDoNotGetShorter)
{
	g_autoptr(GBytes) plain = g_bytes_new("ab", 2);

	EXPECT_EQ(pack_bytes(plain), nullptr);
}

} // namespace

#include <gtest/gtest.h>

#include <atomic>
#include <thread>
#include <unistd.h>

extern "C" {
#include "base/clock.h"
#include "net/loop.h"
}

namespace
{

struct Loop {
	std::atomic<int> turns{ 0 }, ran{ 0 };
	int from_turn = 0; /* functions still to be deferred by a turn */
	struct net_loop *loop;

	Loop()
	{
		struct net_loop_options options = {};

		options.ctx = this;
		options.turn = [](void *ctx, int64_t) {
			((Loop *)ctx)->turn();
		};
		loop = net_loop_new(&options);
	}

	~Loop()
	{
		net_loop_free(loop);
	}

	void turn()
	{
		turns++;
		if (from_turn-- > 0)
			defer();
	}

	void defer()
	{
		net_loop_defer(
			loop, [](void *arg) { ((Loop *)arg)->ran++; }, this);
	}
};

void wait_for(const std::atomic<int> &count, int value)
{
	for (int i = 0; i < 2000 && count < value; i++)
		usleep(1000);
	EXPECT_EQ(count, value);
}

/*
 * The loop's own thread is not woken for what it defers. Guards against a
 * function that then waits for the next event, which may never come.
 */
TEST(Loop, WhatATurnDefersRunsWithoutAnEvent)
{
	Loop in;
	std::thread thread;

	in.from_turn = 5;
	in.defer();
	thread = std::thread([&in] { net_loop_run(in.loop); });
	wait_for(in.ran, 6);
	/* And not over and over. */
	usleep(50000);
	EXPECT_LT(in.turns, 20);
	net_loop_stop(in.loop);
	thread.join();
}

TEST(Loop, WhatAnotherThreadDefersWakesTheLoop)
{
	Loop in;
	std::thread thread([&in] { net_loop_run(in.loop); });

	usleep(20000);
	for (int i = 1; i <= 5; i++) {
		in.defer();
		wait_for(in.ran, i);
	}
	net_loop_stop(in.loop);
	thread.join();
}

} // namespace

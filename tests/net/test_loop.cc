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
	std::atomic<int> iterations{ 0 }, ran{ 0 };
	/* Number of further iterations that defer one function each. */
	int deferring_iterations = 0;
	struct net_loop *loop;

	Loop()
	{
		struct net_loop_options options = {};

		options.ctx = this;
		options.on_iteration = [](void *ctx, int64_t) {
			((Loop *)ctx)->on_iteration();
		};
		loop = net_loop_new(&options);
	}

	~Loop()
	{
		net_loop_free(loop);
	}

	void on_iteration()
	{
		iterations++;
		if (deferring_iterations-- > 0)
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
 * The loop is not woken for functions that its own thread defers. Guards
 * against such a function waiting for the next event, which may never come.
 */
TEST(Loop, FunctionDeferredByLoopThreadRunsWithoutEvent)
{
	Loop fixture;
	std::thread thread;

	fixture.deferring_iterations = 5;
	fixture.defer();
	thread = std::thread([&fixture] { net_loop_run(fixture.loop); });
	wait_for(fixture.ran, 6);
	/* The loop must not keep iterating after the last function. */
	usleep(50000);
	EXPECT_LT(fixture.iterations, 20);
	net_loop_stop(fixture.loop);
	thread.join();
}

/* Guards against a function of another thread that waits for the next event. */
TEST(Loop, FunctionDeferredByOtherThreadWakesLoop)
{
	Loop fixture;
	std::thread thread([&fixture] { net_loop_run(fixture.loop); });

	usleep(20000);
	for (int i = 1; i <= 5; i++) {
		fixture.defer();
		wait_for(fixture.ran, i);
	}
	net_loop_stop(fixture.loop);
	thread.join();
}

} // namespace

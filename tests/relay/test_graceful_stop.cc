#include <gtest/gtest.h>

extern "C" {
#include "base/clock.h"
#include "relay/graceful_stop.h"
}

namespace
{

const int64_t GRACE_NS = 6 * NS_PER_SEC;
const int64_t STEP_NS = 50 * NS_PER_MS;

/* A daemon that stops, and what waits in its sockets meanwhile. */
struct Daemon {
	struct graceful_stop stop = {};
	int calls = 0;	  /* requests of callers in progress */
	int arrivals = 0; /* of other daemons, not submitted yet */
	int unread = 0;	  /* requests that wait in a socket */
	bool refuses = false, accepts = true;
	int ended = 0; /* requests that were ended by the deadline */
	int64_t now = 0;

	Daemon()
	{
		static const struct graceful_stop_ops ops = {
			[](void *ctx) { return ((Daemon *)ctx)->calls; },
			[](void *ctx) {
				Daemon *in = (Daemon *)ctx;

				return in->calls + in->arrivals > 0;
			},
			[](void *ctx) { ((Daemon *)ctx)->refuses = true; },
			[](void *ctx) {
				Daemon *in = (Daemon *)ctx;

				in->accepts = false;
				in->calls += in->unread;
				in->unread = 0;
			},
			[](void *ctx) {
				Daemon *in = (Daemon *)ctx;

				in->ended += in->calls;
				in->calls = 0;
			},
		};
		struct graceful_stop_options options = {};

		options.grace_ns = GRACE_NS;
		options.ops = &ops;
		options.ctx = this;
		graceful_stop_init(&stop, &options);
	}

	bool step()
	{
		now += STEP_NS;
		return graceful_stop_step(&stop, now);
	}

	/* Steps until the process may end, or until the time. */
	bool run_until(int64_t until)
	{
		while (now < until)
			if (step())
				return true;
		return false;
	}
};

/*
 * Guards against a process that ends with a request that its last look at the
 * sockets has begun: the request is passed on, and its caller gets no answer.
 */
TEST(GracefulStop, RequestFoundInTheLastReadIsAnswered)
{
	/* It arrives in any step of the stop, the last one as well. */
	for (int64_t at = STEP_NS; at < 3 * NS_PER_SEC; at += STEP_NS) {
		Daemon in;
		bool ended = in.run_until(at);

		if (ended)
			break;
		in.unread = 1;
		while (!ended) {
			ended = in.step();
			ASSERT_FALSE(ended && in.calls) << at;
			/* It takes a step to answer. */
			if (in.calls && in.now > at + 4 * STEP_NS)
				in.calls = 0;
		}
		EXPECT_FALSE(in.accepts);
		EXPECT_LT(in.now, 4 * NS_PER_SEC);
	}
}

/*
 * Guards against a process that ends before it has refused the requests that
 * other daemons have sent last: they would count as lost instead of not run.
 */
TEST(GracefulStop, RequestOfAnotherDaemonIsRefusedFirst)
{
	Daemon in;

	in.arrivals = 1;
	EXPECT_FALSE(in.run_until(5 * NS_PER_SEC));
	EXPECT_TRUE(in.refuses);
	in.arrivals = 0;
	EXPECT_TRUE(in.step());
}

/* Guards against a stop that takes longer than the grace time. */
TEST(GracefulStop, EndsInTimeWhateverIsInProgress)
{
	Daemon in;

	in.calls = 3;
	in.arrivals = 1;
	EXPECT_TRUE(in.run_until(GRACE_NS));
	EXPECT_EQ(in.ended, 3);
	EXPECT_LT(in.now, GRACE_NS);
}

/*
 * Guards against a process that ends before callers and other daemons have
 * noticed, and against one that waits for them in vain.
 */
TEST(GracefulStop, IdleDaemonStaysUntilItsAbsenceIsKnown)
{
	Daemon in;

	EXPECT_FALSE(in.run_until(2300 * NS_PER_MS));
	EXPECT_TRUE(in.run_until(2500 * NS_PER_MS));
	EXPECT_TRUE(in.refuses);
	EXPECT_FALSE(in.accepts);
}

} // namespace

#include <gtest/gtest.h>

extern "C" {
#include "admit/sound.h"
#include "base/clock.h"
#include "base/rng.h"
}

namespace
{

const int64_t GAP_NS = 25 * NS_PER_MS; /* 40 requests a second */

struct Server {
	struct sound sound = {};
	struct rng rng;
	int64_t now = NS_PER_SEC;
	int orders = 0, orders_lost = 0, orders_elsewhere = 0;

	Server()
	{
		rng_init(&rng, 11);
	}

	/* Requests of which a share fails; one in three is an order. */
	void serve(int requests, double failing)
	{
		for (int i = 0; i < requests; i++) {
			bool fails = rng_below(&rng, 10000) < failing * 10000;

			now += GAP_NS;
			if (i % 3 == 0) {
				orders++;
				if (!sound_holds(&sound, now)) {
					orders_elsewhere++;
					continue;
				}
				orders_lost += fails;
			}
			sound_count(&sound, fails, now);
		}
	}
};

/*
 * A server that resets four in ten requests for 4 s, as on the users' bench.
 * Guards against orders that are lost there while other servers are sound.
 */
TEST(Sound, OrdersLeaveAServerThatLosesAnswers)
{
	Server server;

	server.serve(400, 0);
	server.orders = 0;
	server.serve(160, 0.4);
	EXPECT_LE(server.orders_lost, server.orders / 10);
	EXPECT_GT(server.orders_elsewhere, server.orders * 2 / 3);
}

/* Guards against a single failure, or a few, that turn orders away. */
TEST(Sound, FewFailuresTurnNothingAway)
{
	Server server;

	server.serve(4000, 0.005);
	EXPECT_LE(server.orders_elsewhere, server.orders / 50);
}

/* Guards against a server that stays out after its trouble. */
TEST(Sound, ServerComesBackWithAndWithoutRequests)
{
	Server server;

	server.serve(160, 0.4);
	ASSERT_FALSE(sound_holds(&server.sound, server.now));
	EXPECT_TRUE(sound_holds(&server.sound, server.now + 4 * NS_PER_SEC));
	server.serve(80, 0);
	EXPECT_TRUE(sound_holds(&server.sound, server.now));
}

/* Offers of 100 requests a second, of which up to two each are refused. */
int count_refusals(double unsound_share, int seconds)
{
	struct sound_asking asking = {};
	struct rng rng;
	int64_t now = NS_PER_SEC;
	int refusals = 0;

	rng_init(&rng, 5);
	for (int i = 0; i < 100 * seconds; i++, now += 10 * NS_PER_MS) {
		for (int offer = 0; offer < 3; offer++) {
			bool refused =
				offer < 2 && sound_asking_holds(&asking, now) &&
				rng_below(&rng, 100) < unsound_share * 100;

			sound_asking_count(&asking, refused, now);
			refusals += refused;
			if (!refused)
				break;
		}
	}
	return refusals;
}

/*
 * All servers refuse half of what they are sent, as on the users' bench.
 * Guards against offers that are all refused first: they left no server for a
 * repeat. While a part is sound, the others are not asked in vain.
 */
TEST(Sound, ServersThatAreAllUnsoundAreNotAskedToRefuse)
{
	EXPECT_LE(count_refusals(1, 8), 8 * 20);
	EXPECT_GE(count_refusals(0.3, 8), 8 * 100 * 3 / 10);
}

} // namespace

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
	int orders = 0, orders_failed = 0, orders_refused = 0;

	Server()
	{
		rng_init(&rng, 11);
	}

	/* Serves requests of which a share fails; one in three is an order. */
	void serve(int requests, double failing)
	{
		for (int i = 0; i < requests; i++) {
			bool fails = rng_below(&rng, 10000) < failing * 10000;

			now += GAP_NS;
			if (i % 3 == 0) {
				orders++;
				if (!sound_check(&sound, now)) {
					orders_refused++;
					continue;
				}
				orders_failed += fails;
			}
			sound_record(&sound, fails, now);
		}
	}
};

/*
 * A server resets the connections of four in ten requests for 4 s. Guards
 * against orders that fail there while other servers are sound.
 */
TEST(Sound, FailingServerRefusesOrders)
{
	Server server;

	server.serve(400, 0);
	server.orders = 0;
	server.serve(160, 0.4);
	EXPECT_LE(server.orders_failed, server.orders / 10);
	EXPECT_GT(server.orders_refused, server.orders * 2 / 3);
}

/* Guards against a server that refuses orders after a few single failures. */
TEST(Sound, RareFailuresDoNotRefuseOrders)
{
	Server server;

	server.serve(4000, 0.005);
	EXPECT_LE(server.orders_refused, server.orders / 50);
}

/* Guards against a server that stays unsound after its failures have ended. */
TEST(Sound, ServerRecoversWithAndWithoutRequests)
{
	Server server;

	server.serve(160, 0.4);
	ASSERT_FALSE(sound_check(&server.sound, server.now));
	EXPECT_TRUE(sound_check(&server.sound, server.now + 4 * NS_PER_SEC));
	server.serve(80, 0);
	EXPECT_TRUE(sound_check(&server.sound, server.now));
}

/*
 * Refused attempts of 100 requests a second; each request is refused at most
 * twice before it is accepted.
 */
int count_refusals(double unsound_share, int seconds)
{
	struct failover_control control = {};
	struct rng rng;
	int64_t now = NS_PER_SEC;
	int refusals = 0;

	rng_init(&rng, 5);
	for (int i = 0; i < 100 * seconds; i++, now += 10 * NS_PER_MS) {
		for (int attempt = 0; attempt < 3; attempt++) {
			bool refused =
				attempt < 2 &&
				failover_enabled(&control, now) &&
				rng_below(&rng, 100) < unsound_share * 100;

			failover_record(&control, refused, now);
			refusals += refused;
			if (!refused)
				break;
		}
	}
	return refusals;
}

/*
 * All servers of a service are unsound. Guards against requests that are
 * refused by every server in turn, which left no server for a retry. While some
 * servers are sound, the refusals of the others must go on.
 */
TEST(Sound, FailoverStopsWhenAllServersAreUnsound)
{
	EXPECT_LE(count_refusals(1, 8), 8 * 20);
	EXPECT_GE(count_refusals(0.3, 8), 8 * 100 * 3 / 10);
}

} // namespace

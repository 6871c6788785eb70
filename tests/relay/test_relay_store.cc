#include "quick_platform.h"

#include <fstream>
#include <unistd.h>

extern "C" {
#include "base/clock.h"
}

/* What daemons take from the store, and how often they call it. */

namespace
{

/*
 * Guards against daemons that do not apply a new configuration, and against an
 * invalid one, or an old version, that takes effect.
 */
TEST(Relay, ValidConfigurationIsAppliedAndInvalidOneIsNot)
{
	Platform in = make(3);

	in.start_all();
	EXPECT_EQ(in.send_request(0, "GET", "/new/1").status, 404);
	in.publish_config(2, R"(,["new","mesh.example","/new/","idempotent",
"3s","1s",2,"shop",2])");
	for (int i = 0; i < 3; i++)
		EXPECT_TRUE(eventually([&] {
			return in.send_request(i, "GET", "/new/1").status ==
			       200;
		}));
	in.publish_config(3, R"(,["bad","mesh.example","/bad/","idempotent",
"3s","1s",2,"none",2])");
	in.publish_config(1);
	usleep(2500000);
	for (int i = 0; i < 3; i++) {
		EXPECT_EQ(in.send_request(i, "GET", "/bad/1").status, 404);
		EXPECT_EQ(in.send_request(i, "GET", "/new/1").status, 200);
	}
}

/*
 * Guards against a daemon that restarts during an outage of the store and does
 * not get the published items from the other daemons.
 */
TEST(Relay, RestartedDaemonGetsItemsFromOthersDuringStoreOutage)
{
	Platform in = make(3);

	in.start_all();
	in.store->fault("outage");
	process_kill(&in.hosts[1].daemon);
	in.start_daemon(1);
	EXPECT_TRUE(eventually([&] {
		return call(in.hosts[1].ready, "GET", "/readyz").status == 200;
	}));
	EXPECT_TRUE(eventually([&] {
		return in.send_request(1, "GET", "/stock/1").status == 200;
	}));
}

/*
 * A server's entry is deleted during an outage of the store, and the store
 * loses its history of changes. Guards against a daemon that misses the
 * deletion because it does not read all items again.
 */
TEST(Relay, LostStoreHistoryIsReadAgain)
{
	Platform in = make(3);

	in.start_all();
	in.store->fault("outage");
	in.delete_item("servers/" + in.hosts[0].id);
	ASSERT_EQ(call(in.store->control, "POST", "/forget").status, 200);
	in.store->fault("none");
	EXPECT_TRUE(eventually([&] {
		return in.dump_number(0, { "backend", "in_service" }) == 0;
	}));
}

/* Guards against requests to a draining server or to an evacuated zone. */
TEST(Relay, DrainingServersAndZonesGetNoRequests)
{
	Platform in = make(3);
	size_t before;

	in.start_all();
	in.publish_entry(0, "draining");
	in.put_item("op/evacuate/z1", "{}");
	EXPECT_TRUE(eventually([&] {
		return in.dump_number(0, { "backend", "in_service" }) == 0 &&
		       in.dump_number(1, { "backend", "in_service" }) == 0;
	}));
	before = in.runs(0) + in.runs(1);
	for (int i = 0; i < 30; i++)
		EXPECT_EQ(in.send_request(i % 3, "GET", "/stock/1").status,
			  200);
	EXPECT_EQ(in.runs(0) + in.runs(1), before);
	in.delete_item("op/evacuate/z1");
	EXPECT_TRUE(eventually([&] {
		in.send_request(1, "GET", "/stock/1");
		return in.runs(1) > 0;
	}));
}

/*
 * At the first start of a fleet all daemons read the store until their servers
 * have registered. Guards against store calls by the whole fleet several times
 * a second, and against a late detection of the first server.
 */
TEST(Relay, StartingFleetReadsTheStoreSeldom)
{
	Platform in = make(4);
	int64_t published;

	in.publish_config(1);
	for (int i = 0; i < 4; i++) {
		std::ofstream(in.hosts[(size_t)i].settings, std::ios::app)
			<< "bootstrap=true\n";
		in.start_daemon(i);
	}
	usleep(3000000);
	/* Per daemon at most two reads and two watches, one for each prefix. */
	EXPECT_GT(in.store_calls(), 4);
	EXPECT_LE(in.store_calls(), 4 * 4);
	for (int i = 0; i < 4; i++)
		in.publish_entry(i);
	published = clock_monotonic_ns();
	EXPECT_TRUE(eventually([&] {
		return in.send_request(0, "GET", "/stock/1").status == 200;
	}));
	EXPECT_LT(clock_monotonic_ns() - published, NS_PER_SEC);
}

/*
 * A daemon whose server has left restarts, and no entry makes it known to the
 * others. Guards against one that reads the store all the time, and against one
 * that misses changes.
 */
TEST(Relay, DaemonWithoutAServerDoesNotKeepReadingTheStore)
{
	Platform in = make(4);
	auto left_to_others = [&] {
		return in.dump_number(3, { "control", "reads_store" }) == 0;
	};

	in.start_all();
	in.delete_item("servers/" + in.hosts[3].id);
	process_kill(&in.hosts[3].daemon);
	in.start_daemon(3);
	EXPECT_TRUE(eventually([&] {
		return in.send_request(3, "GET", "/stock/1").status == 200;
	}));
	EXPECT_TRUE(eventually(left_to_others));
	in.publish_config(2, R"(,["new","mesh.example","/new/","idempotent",
"3s","1s",2,"shop",2])");
	EXPECT_TRUE(eventually([&] {
		EXPECT_TRUE(left_to_others());
		return in.send_request(3, "GET", "/new/1").status == 200;
	}));
}

/* Guards against store calls that grow with the daemons and heartbeats. */
TEST(Relay, FewDaemonsReadTheStore)
{
	Platform in = make(6);
	json_int_t before;
	int readers = 0;

	in.start_all();
	EXPECT_TRUE(eventually([&] {
		readers = 0;
		for (int i = 0; i < 6; i++)
			readers += in.dump_number(i, { "control",
						       "reads_store" }) == 1;
		return readers == 2;
	}));
	before = in.store_calls();
	EXPECT_GT(before, 0);
	usleep(2000000);
	EXPECT_LE(in.store_calls() - before, 2 * 2 * 3);
}

} // namespace

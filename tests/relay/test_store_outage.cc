#include "platform.h"

#include <unistd.h>

/*
 * The store is away for longer than the entries of the servers last without a
 * heartbeat. Each test guards against daemons that take these entries for
 * servers that have left, before the servers can have written them again.
 */
namespace
{

const int HOSTS = 5;
const int MS = 1000;

struct StoreOutage : public testing::Test {
	Platform in{ HOSTS, { "--service-ms", "2" }, true };

	/* Starts all daemons and waits until they have all servers. */
	void start()
	{
		in.start_all();
		for (int i = 0; i < HOSTS; i++)
			EXPECT_TRUE(eventually([&] {
				return in.nr_in_service(i) == HOSTS - 1;
			})) << i;
	}

	bool reads_store(int host)
	{
		return in.dump_number(host, { "control", "reads_store" }) == 1;
	}

	json_int_t revision(int host)
	{
		return in.dump_number(host, { "control", "revision" });
	}

	/* The entries expire while the store answers nobody. */
	void expire_entries()
	{
		for (PlatformHost &host : in.hosts)
			in.delete_item("servers/" + host.id);
	}

	/*
	 * Waits until some daemon knows what happened in the outage. All have
	 * the servers in service then, and once their entries are back.
	 */
	void expect_servers_kept(json_int_t before)
	{
		EXPECT_TRUE(eventually([&] {
			bool known = false;

			for (int i = 0; i < HOSTS; i++)
				known |= revision(i) > before;
			return known;
		}));
		for (int round = 0; round < 3; round++) {
			usleep(200 * MS);
			for (int i = 0; i < HOSTS; i++)
				EXPECT_EQ(in.nr_in_service(i), HOSTS - 1) << i;
		}
		for (int i = 0; i < HOSTS; i++)
			in.publish_entry(i);
		for (int i = 0; i < HOSTS; i++)
			EXPECT_TRUE(eventually([&] {
				return revision(i) >= before + 2 * HOSTS;
			})) << i;
		for (int i = 0; i < HOSTS; i++)
			EXPECT_EQ(in.nr_in_service(i), HOSTS - 1) << i;
	}
};

/*
 * Guards against a daemon that starts late in the outage, counts the store's
 * absence from its own first call, and removes all servers everywhere.
 */
TEST_F(StoreOutage, DaemonStartedMeanwhileTakesNoServerAway)
{
	const int started = HOSTS - 1;
	json_int_t before;

	start();
	before = revision(0);
	in.store->fault("outage");
	usleep(2500 * MS);
	/* The others notice the return late, so this one reads first. */
	for (int i = 0; i < HOSTS; i++)
		if (i != started)
			in.hosts[(size_t)i].store_proxy->set(Proxy::STALL_BOTH);
	process_kill(&in.hosts[started].daemon);
	in.start_daemon(started);
	EXPECT_TRUE(eventually(
		[&] { return in.nr_in_service(started) == HOSTS - 1; }));
	expire_entries();
	in.store->fault("none");
	expect_servers_kept(before);
}

/*
 * Guards against the same by daemons that begin to read the store in the outage
 * because its readers cannot.
 */
TEST_F(StoreOutage, DaemonThatTakesOverReadingTakesNoServerAway)
{
	json_int_t before;

	start();
	before = revision(0);
	for (int i = 0; i < HOSTS; i++)
		if (reads_store(i))
			in.hosts[(size_t)i].store_proxy->set(Proxy::STALL_BOTH);
	in.store->fault("outage");
	/*
	 * Long enough to count as an outage, and too short for a daemon that
	 * has taken over in it.
	 */
	usleep(2400 * MS);
	expire_entries();
	in.store->fault("none");
	expect_servers_kept(before);
}

/*
 * Guards against a hold that outlasts the time in which live servers write
 * again: a server that is gone is out of service after it.
 */
TEST_F(StoreOutage, ServerThatIsGoneLeavesAfterTheHold)
{
	start();
	in.store->fault("outage");
	usleep(2500 * MS);
	in.delete_item("servers/" + in.hosts[0].id);
	in.store->fault("none");
	for (int i = 0; i < HOSTS; i++)
		EXPECT_TRUE(eventually([&] {
			return in.nr_in_service(i) == HOSTS - 2;
		})) << i;
}

/*
 * Guards against a reader that failed before the outage, since the store turned
 * it away, and goes on failing in it. Only its first failed call is noted, and
 * that is older than the last read of the daemons that stood in for it. With
 * the other first-ranked reader ended, nobody tells it of a later failure.
 */
TEST_F(StoreOutage, ReaderThatFailedEarlierTakesNoServerAway)
{
	int turned_away = -1, ended = -1;
	json_int_t before;

	start();
	for (int i = 0; i < HOSTS; i++) {
		if (!reads_store(i))
			continue;
		(turned_away < 0 ? turned_away : ended) = i;
	}
	ASSERT_GE(ended, 0);
	in.hosts[(size_t)turned_away].store_proxy->set(Proxy::STALL_BOTH);
	usleep(2500 * MS);
	process_kill(&in.hosts[(size_t)ended].daemon);
	usleep(2500 * MS);
	before = revision(turned_away);
	in.store->fault("outage");
	usleep(3000 * MS);
	/* The others notice the return late, so this one reads first. */
	for (int i = 0; i < HOSTS; i++)
		if (i != turned_away)
			in.hosts[(size_t)i].store_proxy->set(Proxy::STALL_BOTH);
	expire_entries();
	in.store->fault("none");
	in.hosts[(size_t)turned_away].store_proxy->set(Proxy::PASS);
	EXPECT_TRUE(eventually([&] { return revision(turned_away) > before; }));
	for (int round = 0; round < 3; round++) {
		usleep(200 * MS);
		for (int i = 0; i < HOSTS; i++) {
			if (i != ended) {
				EXPECT_EQ(in.nr_in_service(i), HOSTS - 1) << i;
			}
		}
	}
}

} // namespace

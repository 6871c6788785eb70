#include "platform.h"

#include <unistd.h>

/*
 * Writes that the store carries out after later ones, or after the entry is
 * gone: the last revision is not the last news.
 */

namespace
{

/* Of the store, once it has the configuration and four entries. */
const json_int_t STARTED_REVISION = 105;

/* Three hosts; of them, host 0 has a server whose entry the test writes. */
struct LateWrites {
	Platform in{ 3, { "--service-ms", "2" } };
	PlatformHost &host = in.hosts[0];
	size_t runs_before = 0;

	LateWrites()
	{
		in.start_all();
		/* It has written entries since its start, the last one this. */
		write("ready", 5, 1000);
		for (size_t i = 0; i < in.hosts.size(); i++)
			EXPECT_TRUE(eventually([&] {
				return revision((int)i) >= STARTED_REVISION;
			})) << i;
		wait_in_service(true);
	}

	/* The revision that a daemon knows. */
	json_int_t revision(int at)
	{
		return in.dump_number(at, { "control", "revision" });
	}

	/* The id of the server that a daemon uses; "" if none. */
	std::string server_in_use(int at)
	{
		return in.dump_text(at, { "backend", "backend" });
	}

	void write(const char *phase, int sequence, long born)
	{
		in.publish_write(0, phase, sequence, born);
	}

	/* Waits until all daemons count the server as in service, or not. */
	void wait_in_service(bool wanted)
	{
		for (size_t i = 0; i < in.hosts.size(); i++)
			EXPECT_TRUE(eventually([&] {
				return is_in_service((int)i) == wanted;
			})) << i;
		runs_before = in.runs(0);
	}

	bool is_in_service(int at)
	{
		return in.nr_in_service(at) == 3;
	}

	void restart_daemon(int at)
	{
		PlatformHost &restarted = in.hosts[(size_t)at];

		process_kill(&restarted.daemon);
		in.start_daemon(at);
		EXPECT_TRUE(eventually([&] {
			return call(restarted.ready, "GET", "/readyz").status ==
			       200;
		}));
	}

	/* Expects that all daemons use the server, and go on to. */
	void expect_in_service()
	{
		wait_in_service(true);
		usleep(1500000);
		for (size_t i = 0; i < in.hosts.size(); i++)
			EXPECT_TRUE(is_in_service((int)i)) << i;
	}

	/* Expects that no daemon uses the server. */
	void expect_out_of_service()
	{
		usleep(1500000);
		for (size_t i = 0; i < in.hosts.size(); i++)
			EXPECT_FALSE(is_in_service((int)i)) << i;
		for (int i = 0; i < 30; i++)
			EXPECT_EQ(in.send_request(i % 3, "GET", "/stock/1")
					  .status,
				  200);
		EXPECT_EQ(in.runs(0), runs_before);
	}
};

/*
 * Guards against a heartbeat that the store carries out after the server has
 * announced its leaving, and that puts it into use again.
 */
TEST(LateWrites, HeartbeatDoesNotBringALeavingServerBack)
{
	LateWrites test;

	test.write("draining", 7, 1000);
	test.wait_in_service(false);
	test.write("ready", 6, 1000);
	test.expect_out_of_service();
	/* Its next heartbeat says the same. */
	test.write("draining", 8, 1000);
	test.expect_out_of_service();
}

/*
 * Guards against daemons that start after a server has announced its leaving
 * and do not know by what to rule a late heartbeat out: one has read the store
 * before that heartbeat, and one after it.
 */
TEST(LateWrites, DaemonsThatStartKnowThatAServerLeaves)
{
	LateWrites test;

	test.write("draining", 7, 1000);
	test.wait_in_service(false);
	test.restart_daemon(1);
	test.write("ready", 6, 1000);
	test.expect_out_of_service();
	test.restart_daemon(0);
	test.restart_daemon(2);
	test.expect_out_of_service();
}

/*
 * Guards against the same once the server's entry is gone: some servers never
 * announce their leaving, and serve on for a while.
 */
TEST(LateWrites, HeartbeatDoesNotBringAServerBackWhoseEntryIsGone)
{
	LateWrites test;

	test.in.delete_item("servers/" + test.host.id);
	test.wait_in_service(false);
	test.write("ready", 4, 1000);
	test.expect_out_of_service();
	/* One that was cut off from the store is back with its next write. */
	test.write("ready", 6, 1000);
	test.wait_in_service(true);
}

/*
 * A server starts again under its id, and soon leaves. Guards against a late
 * write of its former start: its sequence is higher, as they begin anew.
 */
TEST(LateWrites, WriteOfTheFormerStartChangesNothing)
{
	LateWrites test;

	test.write("ready", 1, 2000);
	test.write("draining", 2, 2000);
	test.wait_in_service(false);
	test.write("ready", 6, 1000);
	test.expect_out_of_service();
	test.in.delete_item("servers/" + test.host.id);
	usleep(500000);
	test.write("ready", 7, 1000);
	test.expect_out_of_service();
}

/*
 * A server's word that it leaves is carried out after its next start is ready.
 * Guards against a start that is out of service by the word of the former one,
 * also at a daemon that reads the store only then.
 */
TEST(LateWrites, LateWordThatAServerLeavesDoesNotEndItsNextStart)
{
	LateWrites test;

	test.write("ready", 1, 2000);
	test.write("draining", 9, 1000);
	test.expect_in_service();
	test.restart_daemon(1);
	test.expect_in_service();
	test.write("ready", 2, 2000);
	test.expect_in_service();
}

/*
 * The time of day of a host is set back, and its server starts again under its
 * id. Guards against a server that is never used again: by the time of its
 * start alone, it is an earlier one.
 */
TEST(LateWrites, StartThatGoesOnWritingIsUsedInSpiteOfItsTime)
{
	LateWrites test;

	test.in.delete_item("servers/" + test.host.id);
	test.wait_in_service(false);
	/* A reader sees the last of the writes of 0.7 s only. */
	for (int sequence = 1; sequence <= 4; sequence++) {
		test.write("ready", sequence, 500);
		usleep(900000);
	}
	test.wait_in_service(true);
	/* The start before it can't return, although its time is later. */
	test.write("draining", 9, 1000);
	test.expect_in_service();
	test.write("draining", 5, 500);
	test.wait_in_service(false);
	test.write("ready", 8, 1000);
	test.expect_out_of_service();
}

/*
 * Some daemons have missed the last write of a server before its entry was
 * deleted. Guards against daemons that disagree on a late write for good: what
 * one holds as gone was told to others as an entry without end.
 */
TEST(LateWrites, DaemonsThatMissedAWriteAgreeWithTheOthers)
{
	LateWrites test;

	/* A reader sees the deletion only, or the write with it. */
	for (int sequence = 1; sequence <= 3; sequence++) {
		test.write("ready", sequence, 3000 + sequence);
		test.in.delete_item("servers/" + test.host.id);
		usleep(5000);
		test.write("ready", 1, 2000 + sequence);
		usleep(900000);
	}
	usleep(1500000);
	for (size_t i = 1; i < test.in.hosts.size(); i++)
		EXPECT_EQ(test.is_in_service((int)i), test.is_in_service(0))
			<< i;
}

/*
 * Guards against a write of a crashed boot that is carried out after its
 * successor, under another id at the same address, has announced its leaving.
 */
TEST(LateWrites, WriteOfACrashedBootDoesNotHideItsSuccessor)
{
	LateWrites test;
	std::string crashed = test.host.id;

	test.in.restart_server(0, "i-next");
	test.write("ready", 1, 2000);
	EXPECT_TRUE(eventually([&] {
		test.in.send_request(0, "GET", "/stock/1");
		return test.in.runs(0) > 0;
	}));
	test.write("draining", 2, 2000);
	test.wait_in_service(false);
	test.host.id = crashed;
	test.write("ready", 6, 1000);
	test.expect_out_of_service();
}

/*
 * The same once the crashed boot's entry has expired, with a daemon that never
 * saw it. Guards against daemons that disagree on which boot is present.
 */
TEST(LateWrites, DaemonsThatStartRuleOutWritesOfACrashedBoot)
{
	LateWrites test;
	std::string crashed = test.host.id;

	test.in.restart_server(0, "i-next");
	test.write("ready", 1, 2000);
	test.in.delete_item("servers/" + crashed);
	test.wait_in_service(true);
	test.restart_daemon(0);
	test.restart_daemon(2);
	test.host.id = crashed;
	test.write("ready", 6, 1000);
	for (int i = 0; i < 60; i++) {
		EXPECT_EQ(test.in.send_request(i % 3, "GET", "/stock/1").status,
			  200);
		EXPECT_EQ(test.server_in_use(0), "i-next");
		usleep(20000);
	}
	EXPECT_GT(test.in.runs(0), 0u);
	test.expect_in_service();
}

/*
 * The store is restored from a copy that has the entry of a server's former
 * start. Guards against a server that is used although its present start has
 * announced its leaving: in the copy, the sequence is higher.
 */
TEST(LateWrites, RestoredCopyOfTheFormerStartChangesNothing)
{
	LateWrites test;

	test.in.send_era();
	test.write("ready", 6, 1000);
	test.in.copy_store();
	test.write("ready", 1, 2000);
	test.write("draining", 2, 2000);
	test.wait_in_service(false);
	test.in.restore_store();
	test.expect_out_of_service();
	test.restart_daemon(1);
	test.expect_out_of_service();
	test.write("ready", 1, 3000);
	test.expect_in_service();
}

/*
 * All entries expire during an outage of the store, and the servers that live
 * write again within 2 s of its return; one of them said that it leaves. Guards
 * against servers that are ruled out, and against its late heartbeat.
 */
TEST(LateWrites, EntriesAreBackAfterAnOutageOfTheStore)
{
	LateWrites test;
	Platform &in = test.in;

	test.write("draining", 7, 1000);
	test.wait_in_service(false);
	in.store->fault("outage");
	usleep(3000000);
	for (const PlatformHost &host : in.hosts)
		in.delete_item("servers/" + host.id);
	in.store->fault("none");
	for (int i = 0; i < 60; i++) {
		if (i == 10)
			test.write("ready", 6, 1000);
		if (i == 20)
			in.publish_entry(1);
		if (i == 25)
			in.publish_entry(2);
		EXPECT_EQ(in.send_request(i % 3, "GET", "/stock/1").status,
			  200);
		usleep(50000);
	}
	test.expect_out_of_service();
	EXPECT_GT(in.runs(1), 0u);
	EXPECT_GT(in.runs(2), 0u);
	test.write("ready", 1, 2000);
	test.expect_in_service();
}

/*
 * An older configuration is carried out last. Guards against a daemon that
 * starts and gets it from the store, or from a daemon that knows better.
 */
TEST(LateWrites, OlderConfigurationDoesNotReachADaemonThatStarts)
{
	LateWrites test;
	Platform &in = test.in;

	in.publish_config(3, R"(,["new","mesh.example","/new/","idempotent",
"3s","1s",2,"shop",2])");
	EXPECT_TRUE(eventually([&] {
		return in.send_request(1, "GET", "/new/1").status == 200;
	}));
	in.publish_config(2);
	usleep(1000000);
	test.restart_daemon(0);
	EXPECT_TRUE(eventually([&] {
		return in.send_request(0, "GET", "/new/1").status == 200;
	}));
	usleep(1500000);
	for (int i = 0; i < 3; i++)
		EXPECT_EQ(in.send_request(i, "GET", "/new/1").status, 200);
}

} // namespace

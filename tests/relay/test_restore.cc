#include "platform.h"

#include <unistd.h>

extern "C" {
#include "base/clock.h"
}

/*
 * The store is restored from an older copy. Each test guards against daemons
 * that forget, for the copy, what the store had acknowledged, or that keep what
 * they knew although it was written anew.
 */
namespace
{

const int HOSTS = 4;
const int LAST = HOSTS - 1;

/* What happens besides the restore itself. */
enum Variant {
	PLAIN,
	AFTER_OUTAGE,
	DAEMON_RESTARTED,
	TWICE,
	NOT_REWRITTEN
};

std::string variant_name(const testing::TestParamInfo<Variant> &info)
{
	static const char *const names[] = { "Plain", "AfterOutage",
					     "DaemonRestarted", "Twice",
					     "NotRewritten" };

	return names[info.param];
}

class Restore : public testing::TestWithParam<Variant>
{
      protected:
	Restore() : in(HOSTS, { "--service-ms", "2" }, true)
	{
		in.send_era();
		in.start_all();
	}

	/* Restores the copy in the way of the variant. */
	void restore()
	{
		if (GetParam() == AFTER_OUTAGE) {
			in.store->fault("outage");
			usleep(3000000);
		}
		if (GetParam() == DAEMON_RESTARTED)
			process_kill(&in.hosts[LAST].daemon);
		in.restore_store();
		if (GetParam() == DAEMON_RESTARTED) {
			in.start_daemon(LAST);
			wait_ready(LAST);
		}
		if (GetParam() == AFTER_OUTAGE)
			in.store->fault("none");
		if (GetParam() == TWICE) {
			usleep(1000000);
			in.restore_store();
		}
	}

	void wait_ready(int host)
	{
		EXPECT_TRUE(eventually([&] {
			return call(in.hosts[(size_t)host].ready, "GET",
				    "/readyz")
				       .status == 200;
		}));
	}

	json_int_t version(int host)
	{
		return in.dump_number(host, { "callers", "version" });
	}

	/* Whether all daemons have the version within the time bound. */
	bool is_everywhere(json_int_t wanted)
	{
		int64_t end = clock_monotonic_ns() + 2500 * NS_PER_MS;

		for (int i = 0; i < HOSTS;) {
			if (version(i) == wanted)
				i++;
			else if (clock_monotonic_ns() > end)
				return false;
			else
				usleep(20000);
		}
		return true;
	}

	/*
	 * Sends a lookup as a caller does: 503 promises that it has not run, so
	 * it is sent again. A machine that is busy elsewhere may suspend the
	 * daemon of the only server in service for longer than 250 ms.
	 */
	int look_up(int host)
	{
		int status = 503;

		for (int i = 0; i < 4 && status == 503; i++) {
			if (i)
				usleep(100000);
			status =
				in.send_request(host, "GET", "/stock/1").status;
		}
		return status;
	}

	/* Sends lookups from all hosts for a time; returns a server's runs. */
	size_t runs_within(int server, int ms)
	{
		int64_t end = clock_monotonic_ns() + ms * NS_PER_MS;
		size_t before = in.runs(server);

		while (clock_monotonic_ns() < end) {
			for (int i = 0; i < HOSTS; i++)
				EXPECT_EQ(look_up(i), 200);
			usleep(20000);
		}
		return in.runs(server) - before;
	}

	bool is_used_again(int server)
	{
		return eventually([&] { return runs_within(server, 50) > 0; });
	}

	bool is_out(int server)
	{
		return eventually(
			[&] { return runs_within(server, 300) == 0; });
	}

	Platform in;
};

/* The revisions after the copy are used again for other writes. */
TEST_P(Restore, ReusedRevisionIsPickedUp)
{
	in.copy_store();
	for (int i = 2; i <= 4; i++)
		in.publish_config(i);
	ASSERT_TRUE(is_everywhere(4));
	restore();
	in.publish_config(5);
	EXPECT_TRUE(is_everywhere(5));
	in.publish_config(6);
	EXPECT_TRUE(is_everywhere(6));
}

/* The copy has version 2, and version 3 was acknowledged. */
TEST_P(Restore, NewestConfigurationStaysInForce)
{
	in.publish_config(2);
	in.copy_store();
	in.publish_config(3);
	ASSERT_TRUE(is_everywhere(3));
	restore();
	if (GetParam() == DAEMON_RESTARTED) {
		EXPECT_TRUE(is_everywhere(3));
	}
	for (int i = 0; i < 40; i++) {
		EXPECT_EQ(version(i % HOSTS), 3);
		usleep(50000);
	}
	/* One that starts later learns from the others. */
	process_kill(&in.hosts[0].daemon);
	in.start_daemon(0);
	wait_ready(0);
	EXPECT_TRUE(is_everywhere(3));
	/* The same while it can't read the store. */
	in.hosts[1].store_proxy->set(Proxy::STALL_BOTH);
	process_kill(&in.hosts[1].daemon);
	in.start_daemon(1);
	wait_ready(1);
	EXPECT_TRUE(is_everywhere(3));
	/* A lost version that is written again is no news. */
	in.publish_config(2);
	usleep(1500000);
	EXPECT_TRUE(is_everywhere(3));
	in.publish_config(4);
	EXPECT_TRUE(is_everywhere(4));
}

/* A server drains and another one leaves; both are ready in the copy. */
TEST_P(Restore, ServersThatLeftAreNotUsed)
{
	in.copy_store();
	in.publish_entry(0, "draining");
	in.delete_item("servers/" + in.hosts[1].id);
	ASSERT_TRUE(is_out(0));
	ASSERT_TRUE(is_out(1));
	restore();
	EXPECT_TRUE(is_out(0));
	EXPECT_TRUE(is_out(1));
	EXPECT_EQ(runs_within(0, 1500), 0u);
	EXPECT_EQ(runs_within(1, 1500), 0u);
	if (GetParam() == NOT_REWRITTEN)
		return;
	in.publish_entry(0);
	in.publish_entry(1);
	EXPECT_TRUE(is_used_again(0));
	EXPECT_TRUE(is_used_again(1));
}

/* A server registered after the copy. */
TEST_P(Restore, MissingServerIsKeptForTwoSeconds)
{
	in.delete_item("servers/" + in.hosts[2].id);
	ASSERT_TRUE(is_out(2));
	in.copy_store();
	in.publish_entry(2);
	ASSERT_TRUE(is_used_again(2));
	restore();
	if (GetParam() == PLAIN || GetParam() == NOT_REWRITTEN) {
		EXPECT_GT(runs_within(2, 700), 0u);
		EXPECT_GT(runs_within(2, 700), 0u);
	}
	if (GetParam() == NOT_REWRITTEN) {
		usleep(2500000);
		EXPECT_EQ(runs_within(2, 500), 0u);
		return;
	}
	in.publish_entry(2);
	usleep(3000000);
	EXPECT_TRUE(is_used_again(2));
}

/* A zone was evacuated after the copy. */
TEST_P(Restore, MissingEvacuationIsKeptForTenSeconds)
{
	in.copy_store();
	in.put_item("op/evacuate/z1", "{}");
	ASSERT_TRUE(is_out(1));
	restore();
	if (GetParam() == DAEMON_RESTARTED)
		usleep(1500000);
	EXPECT_EQ(runs_within(1, 5000), 0u);
	EXPECT_TRUE(is_used_again(1));
}

INSTANTIATE_TEST_SUITE_P(All, Restore,
			 testing::Values(PLAIN, AFTER_OUTAGE, DAEMON_RESTARTED,
					 TWICE, NOT_REWRITTEN),
			 variant_name);

/* Restores without a variant. */
class RestoreOnce : public Restore
{
      protected:
	void signal_first(int number)
	{
		for (int i = 0; i < LAST; i++)
			process_signal(&in.hosts[(size_t)i].daemon, number);
	}

	bool know_era(json_int_t era)
	{
		return eventually([&] {
			for (int i = 0; i < HOSTS; i++)
				if (in.dump_number(i, { "control", "era" }) !=
				    era)
					return false;
			return true;
		});
	}
};

/*
 * Every second response, then every one, is of the former era. Guards against
 * readers that go back to it, and against two readers in two eras.
 */
TEST_P(RestoreOnce, DelayedResponsesOfTheFormerEraAreDropped)
{
	in.copy_store();
	in.publish_config(2);
	in.publish_entry(0, "draining");
	ASSERT_TRUE(is_everywhere(2));
	ASSERT_TRUE(is_out(0));
	in.restore_store();
	ASSERT_TRUE(know_era(2));
	in.store->fault("mixed");
	in.publish_config(3);
	EXPECT_TRUE(is_everywhere(3));
	in.store->fault("former");
	usleep(2000000);
	EXPECT_TRUE(know_era(2));
	EXPECT_TRUE(is_everywhere(3));
	in.store->fault("none");
	in.publish_config(4);
	EXPECT_TRUE(is_everywhere(4));
	EXPECT_EQ(runs_within(0, 500), 0u);
}

/*
 * One daemon is away during the restore and was the only one that received the
 * last writes before it. Guards against items of the former era that it brings
 * back, and against the loss of the newest configuration.
 */
TEST_P(RestoreOnce, DaemonThatWasAwayKnowsMore)
{
	in.copy_store();
	in.publish_config(2);
	ASSERT_TRUE(is_everywhere(2));
	signal_first(SIGSTOP);
	in.publish_config(3);
	in.put_item("op/evacuate/z1", "{}");
	EXPECT_TRUE(eventually([&] { return version(LAST) == 3; }));
	usleep(1000000);
	process_signal(&in.hosts[LAST].daemon, SIGSTOP);
	in.restore_store();
	in.delete_item("servers/" + in.hosts[2].id);
	in.publish_entry(2);
	signal_first(SIGCONT);
	EXPECT_TRUE(eventually([&] {
		return in.dump_number(0, { "control", "era" }) == 2;
	}));
	usleep(1500000);
	process_signal(&in.hosts[LAST].daemon, SIGCONT);
	EXPECT_TRUE(know_era(2));
	EXPECT_TRUE(is_everywhere(3));
	EXPECT_TRUE(is_used_again(1));
	EXPECT_TRUE(is_used_again(2));
	in.publish_config(4);
	EXPECT_TRUE(is_everywhere(4));
}

/* A daemon is restarted while the others enter the new era. */
TEST_P(RestoreOnce, DaemonThatMissedTheRestoreFollows)
{
	in.copy_store();
	for (int i = 2; i <= 9; i++)
		in.publish_config(i);
	ASSERT_TRUE(is_everywhere(9));
	process_signal(&in.hosts[LAST].daemon, SIGSTOP);
	in.restore_store();
	in.publish_config(10);
	usleep(3000000);
	process_signal(&in.hosts[LAST].daemon, SIGCONT);
	EXPECT_TRUE(is_everywhere(10));
	EXPECT_TRUE(know_era(2));
}

/* A value that is no whole number counts as the era that is known. */
TEST_P(RestoreOnce, UnreadableEraChangesNothing)
{
	for (const char *text :
	     { "abc", "-7", "1.5", "99999999999999999999" }) {
		json_int_t config = version(0) + 1;

		in.send_era(text);
		usleep(800000);
		in.publish_config((int)config);
		EXPECT_TRUE(is_everywhere(config)) << text;
		EXPECT_TRUE(know_era(1)) << text;
	}
}

INSTANTIATE_TEST_SUITE_P(Once, RestoreOnce, testing::Values(PLAIN),
			 variant_name);

} // namespace

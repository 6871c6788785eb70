#include "quick_platform.h"

#include <atomic>
#include <fstream>
#include <map>
#include <thread>
#include <unistd.h>

/* Servers that crash, are cold or full, and servers of stopping daemons. */

namespace
{

/* Whether a daemon counts its server as in service. */
bool is_in_service(Platform &in, int host)
{
	return in.dump_number(host, { "backend", "in_service" }) == 1;
}

/*
 * A server crashes, starts again under a new id and soon leaves, while the
 * entry of the boot that crashed is still there. Guards against requests to a
 * server that has announced its leaving, also after its own entry is deleted,
 * as that of the former boot is not the server's.
 */
TEST(Relay, CrashedBootDoesNotHideThatItsSuccessorLeaves)
{
	Platform in = make(3);
	std::string crashed;
	size_t before;

	in.start_all();
	crashed = in.hosts[0].id;
	in.restart_server(0, "i-next");
	in.publish_entry(0);
	EXPECT_TRUE(eventually([&] {
		in.send_request(0, "GET", "/stock/1");
		return in.runs(0) > 0;
	}));
	in.publish_entry(0, "draining");
	/* The rules allow 2 s from the acceptance of the entry. */
	usleep(2000000);
	before = in.runs(0);
	for (int i = 0; i < 30; i++)
		EXPECT_EQ(in.send_request(i % 3, "GET", "/stock/1").status,
			  200);
	EXPECT_EQ(in.runs(0), before);
	in.delete_item("servers/i-next");
	usleep(2000000);
	EXPECT_FALSE(is_in_service(in, 0));
	for (int i = 0; i < 30; i++)
		EXPECT_EQ(in.send_request(i % 3, "GET", "/stock/1").status,
			  200);
	EXPECT_EQ(in.runs(0), before);
	/* The next boot is used. */
	in.restart_server(0, "i-last");
	in.publish_entry(0);
	EXPECT_TRUE(eventually([&] {
		in.send_request(0, "GET", "/stock/1");
		return in.runs(0) > 0;
	}));
	in.delete_item("servers/" + crashed);
}

struct Suspect {
	int crashes = 0;
	bool refused = false;
};

/*
 * The requests that a daemon knows to have crashed servers, by fingerprint. Its
 * state has an entry for each daemon whose server a request crashed.
 */
std::map<std::string, Suspect> known_suspects(Platform &in, int host)
{
	std::map<std::string, Suspect> known;
	json_t *state = in.dump(host);
	json_t *entry;
	size_t i;

	json_array_foreach (json_object_get(json_object_get(state,
							    "quarantine"),
					    "suspects"),
			    i, entry) {
		Suspect &suspect = known[json_string_value(
			json_object_get(entry, "fingerprint"))];

		suspect.crashes += (int)json_integer_value(
			json_object_get(entry, "crashes"));
		suspect.refused =
			json_is_true(json_object_get(entry, "refused"));
	}
	json_decref(state);
	return known;
}

/* Expects that the daemon refuses two requests, each for two crashes. */
void expect_two_refused(Platform &in, int host)
{
	std::map<std::string, Suspect> known = known_suspects(in, host);

	EXPECT_EQ(known.size(), 2u) << host;
	for (const auto &[fingerprint, suspect] : known) {
		EXPECT_EQ(suspect.crashes, 2) << host << " " << fingerprint;
		EXPECT_TRUE(suspect.refused) << host << " " << fingerprint;
	}
}

/*
 * Sends an order that crashes a server, and waits until all daemons know its
 * crashes.
 */
void crash_a_server(Platform &in, const char *body, int crashes)
{
	in.send_request(0, "POST", "/orders/crash", body);
	EXPECT_TRUE(eventually([&] {
		for (int i = 0; i < 3; i++) {
			int sum = 0;

			for (const auto &known : known_suspects(in, i))
				sum += known.second.crashes;
			if (sum < crashes)
				return false;
		}
		return true;
	})) << body
	    << " " << crashes;
}

/* Starts the next boot of each server that a request crashed. */
int restart_crashed_servers(Platform &in)
{
	static int next;
	int nr = 0;

	for (size_t i = 0; i < in.hosts.size(); i++) {
		std::string crashed = in.hosts[i].id;

		if (!process_wait(&in.hosts[i].server, 0, nullptr))
			continue;
		nr++;
		in.restart_server((int)i, "i-boot" + std::to_string(++next));
		in.publish_entry((int)i);
		in.delete_item("servers/" + crashed);
		in.fault((int)i, "crash");
	}
	return nr;
}

/*
 * Waits until each daemon has noticed the boot of its server that was started
 * last and counts it as in service, so that it is used.
 */
void wait_for_servers(Platform &in)
{
	for (int i = 0; i < 3; i++)
		EXPECT_TRUE(eventually([&] {
			return in.dump_text(i, { "backend", "backend" }) ==
				       in.hosts[(size_t)i].id &&
			       is_in_service(in, i);
		})) << i;
}

/*
 * One request crashes the same server twice, another one two servers, so that
 * all daemons refuse both. Then the daemons restart one after the other. Guards
 * against a daemon that learns only of the crashes since its start, and passes
 * the requests on again.
 */
TEST(Relay, RestartedDaemonsKnowTheRequestsThatCrashServers)
{
	Platform in = make(3);

	in.start_all();
	for (int i = 0; i < 3; i++)
		in.fault(i, "crash");
	for (int crashes = 1; crashes <= 2; crashes++) {
		wait_for_servers(in);
		crash_a_server(in, "one server", crashes);
		ASSERT_EQ(restart_crashed_servers(in), 1);
	}
	wait_for_servers(in);
	crash_a_server(in, "two servers", 3);
	crash_a_server(in, "two servers", 4);
	ASSERT_EQ(restart_crashed_servers(in), 2);
	for (int i = 0; i < 3; i++)
		expect_two_refused(in, i);
	for (int restarted = 0; restarted < 3; restarted++) {
		process_kill(&in.hosts[(size_t)restarted].daemon);
		in.start_daemon(restarted);
		/* The rules grant a daemon 3 s to get to know what is known. */
		usleep(3000000);
		expect_two_refused(in, restarted);
	}
	wait_for_servers(in);
	for (int i = 0; i < 3; i++)
		for (const char *body : { "one server", "two servers" })
			EXPECT_EQ(in.send_request(i, "POST", "/orders/crash",
						  body)
					  .status,
				  503);
	usleep(200000);
	EXPECT_EQ(restart_crashed_servers(in), 0);
}

/*
 * A server reports a cold time that ends a little before it is warm. Guards
 * against requests that wait for the reported end and then all start at once,
 * which made 30 starts in a second where 29 are allowed.
 */
TEST(Relay, ColdServerIsRateLimitedToTheEnd)
{
	Platform in(1, { "--slots", "12", "--service-ms", "5", "--cold-ms",
			 "4000", "--cold-early-ms", "60" });
	std::vector<std::thread> callers;

	in.start_all();
	for (int i = 0; i < 30; i++)
		callers.emplace_back([&in, i] {
			for (int j = 0; j < 40; j++)
				in.send_with_id("c" + std::to_string(i) + "-" +
							std::to_string(j),
						0, "GET", "/stock/1", "", 200);
		});
	for (std::thread &caller : callers)
		caller.join();
	/* At most warmup_per_s 16, times 1.5, plus 5. */
	EXPECT_GT(in.state_number(0, "most_cold_starts"), 10);
	EXPECT_LE(in.state_number(0, "most_cold_starts"), 29);
}

/*
 * A server that gets 50 requests a second turns cold just after its answer to a
 * probe. Guards against a daemon that sends it the full rate until the next
 * regular probe, and the cold rate on top of it in the same second.
 */
TEST(Relay, ServerThatTurnsColdIsNotOverrun)
{
	Platform in(1, { "--slots", "12", "--service-ms", "5" });
	std::vector<std::thread> callers;
	std::atomic<bool> ended{ false };
	std::atomic<int> next{ 0 };

	in.start_all();
	for (int i = 0; i < 5; i++)
		callers.emplace_back([&] {
			while (!ended) {
				in.send_with_id("t" + std::to_string(++next), 0,
						"GET", "/stock/1", "", 300);
				usleep(100000);
			}
		});
	usleep(1000000);
	in.fault(0, "cold&ms=2500");
	usleep(4500000);
	ended = true;
	for (std::thread &caller : callers)
		caller.join();
	/* At most warmup_per_s 16, times 1.5, plus 5. */
	EXPECT_GT(in.state_number(0, "most_cold_starts"), 10);
	EXPECT_LE(in.state_number(0, "most_cold_starts"), 29);
}

/* Guards against more requests at once than a server has slots. */
TEST(Relay, ServerGetsNoMoreThanItsSlots)
{
	Platform in = make(2, "50");
	std::vector<std::thread> callers;

	in.start_all();
	for (int i = 0; i < 24; i++)
		callers.emplace_back([&in, i] {
			for (int n = 0; n < 5; n++)
				in.send_request(i % 2, "GET", "/stock/1");
		});
	for (std::thread &caller : callers)
		caller.join();
	for (int i = 0; i < 2; i++) {
		EXPECT_LE(in.state_number(i, "most_running"), 4);
		EXPECT_EQ(in.state_number(i, "shed"), 0);
	}
}

/*
 * Guards against requests that fail because their daemon is stopped, and
 * against a daemon that does not exit afterwards.
 */
TEST(Relay, GracefulStopCompletesAllRequests)
{
	Platform in = make(2, "300");
	std::vector<std::thread> callers;
	int status = -1;

	in.start_all();
	for (int i = 0; i < 4; i++)
		callers.emplace_back([&in] {
			EXPECT_EQ(in.send_request(0, "GET", "/stock/1").status,
				  200);
		});
	usleep(100000);
	process_signal(&in.hosts[0].daemon, SIGTERM);
	for (std::thread &caller : callers)
		caller.join();
	EXPECT_EQ(call(in.hosts[0].ready, "GET", "/readyz").status, 503);
	EXPECT_TRUE(process_wait(&in.hosts[0].daemon, 10000, &status));
	EXPECT_EQ(status, 0);
}

/*
 * A stop concerns the daemon, not its backend server. Guards against a server
 * that gets no requests while its daemon stops, which would take out a third of
 * all servers in a rolling restart, and against requests that the stop ends.
 */
TEST(Relay, StoppingDaemonKeepsItsServerInUse)
{
	Platform in = make(2, "100");
	std::vector<std::thread> callers;
	int status = -1;

	in.start_all();
	process_signal(&in.hosts[0].daemon, SIGTERM);
	usleep(300000);
	size_t before = in.runs(0);
	for (int i = 0; i < 6; i++)
		callers.emplace_back([&in] {
			for (int n = 0; n < 25; n++)
				EXPECT_EQ(in.send_request(1, "GET", "/stock/1")
						  .status,
					  200);
		});
	for (std::thread &caller : callers)
		caller.join();
	EXPECT_GT(in.runs(0), before + 10);
	EXPECT_TRUE(process_wait(&in.hosts[0].daemon, 10000, &status));
	EXPECT_EQ(status, 0);
}

/*
 * The grace time of 3 s is short for runs of 1 s on one slot. Guards against an
 * order that a stopping daemon accepts from another daemon and cannot complete.
 */
TEST(Relay, ShortGraceTimeCompletesOrders)
{
	Platform in(2, { "--service-ms", "1000", "--slots", "1" });
	std::vector<std::thread> callers;

	for (PlatformHost &host : in.hosts)
		std::ofstream(host.settings, std::ios::app)
			<< "bounds.grace=3s\n";
	in.start_all();
	process_signal(&in.hosts[0].daemon, SIGTERM);
	usleep(1800000);
	for (int i = 0; i < 2; i++)
		callers.emplace_back([&in] {
			int status =
				in.send_request(1, "POST", "/orders/1", "x")
					.status;

			EXPECT_TRUE(status == 200 || status == 503) << status;
		});
	for (std::thread &caller : callers)
		caller.join();
	EXPECT_TRUE(process_wait(&in.hosts[0].daemon, 10000, nullptr));
}

} // namespace

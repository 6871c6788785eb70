/*
 * A randomized soak test of the relay: runs real daemons with stand-ins for the
 * platform and injects faults while callers send orders and lookups, then
 * checks the invariants. Usage: soak SEED SECONDS. The seed determines the
 * sequence of faults, but not the timing of the processes.
 */
#include "invariants.h"
#include "platform.h"

#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <mutex>
#include <random>
#include <thread>

namespace
{

const int HOSTS = 4;
const int CALLERS = 6;

/* Hosts of the service that the callers use; the last one is of another. */
const int SERVING_HOSTS = 3;

/* Between two starts of a server, in its entries. */
const long START_STEP_MS = 1000;

/* Between two writes of a server. */
const useconds_t HEARTBEAT_US = 900000;

/* Writes after which all daemons agree on the present start of a server. */
const int WRITES_TO_AGREE = 8;

/* The results of the callers, by request id and by status. */
struct Results {
	std::mutex lock;
	std::map<std::string, SentRequest> sent;
	std::map<int, int> by_status;
};

class Soak
{
      public:
	Soak(unsigned seed, int seconds)
	    : platform(HOSTS, { "--service-ms", "20" }, true), random(seed),
	      seconds(seconds)
	{
	}

	int run()
	{
		std::vector<std::thread> callers;
		int64_t end;

		platform.send_era();
		platform.start_all();
		platform.copy_store();
		end = time(nullptr) + seconds;
		for (int i = 0; i < CALLERS; i++)
			callers.emplace_back([this, i] { call_loop(i); });
		while (time(nullptr) < end) {
			inject();
			usleep((useconds_t)draw(50, 400) * 1000);
		}
		stopped = true;
		for (std::thread &caller : callers)
			caller.join();
		clear_faults();
		return report();
	}

      private:
	int draw(int low, int high)
	{
		return std::uniform_int_distribution<int>(low, high)(random);
	}

	void count_fault(const char *fault)
	{
		faults[fault]++;
	}

	void restart(int host, int signal)
	{
		PlatformHost &target = platform.hosts[(size_t)host];

		process_signal(&target.daemon, signal);
		process_wait(&target.daemon, 10000, nullptr);
		process_kill(&target.daemon);
		platform.start_daemon(host);
	}

	void suspend(int host)
	{
		process_signal(&platform.hosts[(size_t)host].daemon, SIGSTOP);
		usleep((useconds_t)draw(100, 1500) * 1000);
		process_signal(&platform.hosts[(size_t)host].daemon, SIGCONT);
	}

	/* Sets a fault, clears it, or resets all connections of the link. */
	void inject_link_fault(Proxy &link)
	{
		int mode = draw(0, 2 * Proxy::NR_MODES);

		if (mode >= Proxy::NR_MODES + 2)
			link.set(Proxy::PASS);
		else if (mode >= Proxy::NR_MODES)
			link.reset();
		else
			link.set((Proxy::Mode)mode);
	}

	void inject()
	{
		static const char *const modes[] = { "close",	    "fail",
						     "shed",	    "no-proof",
						     "slow&ms=300", "none" };
		static const char *const outages[] = { "outage",
						       "outage&hang=1", "lost",
						       "slow&ms=300", "none" };
		int host = draw(0, HOSTS - 1);

		switch (draw(0, 12)) {
		case 0:
			count_fault("daemon killed");
			restart(host, SIGKILL);
			break;
		case 1:
			count_fault("daemon stopped");
			restart(host, SIGTERM);
			break;
		case 2:
			count_fault("daemon suspended");
			suspend(host);
			break;
		case 3:
			count_fault("store fault set or cleared");
			platform.store->fault(outages[draw(0, 4)]);
			break;
		case 4:
			count_fault("server fault set or cleared");
			platform.fault(host, modes[draw(0, 5)]);
			break;
		case 5:
			count_fault("zone taken out of service or put back");
			if (draw(0, 1))
				platform.put_item("op/evacuate/z1", "{}");
			else
				platform.delete_item("op/evacuate/z1");
			break;
		case 6:
			count_fault(
				"server entry published as draining or ready");
			platform.publish_entry(host, draw(0, 2) ? "ready"
								: "draining");
			break;
		case 7:
			count_fault(
				"link between daemons: fault set or cleared");
			inject_link_fault(
				*platform.hosts[(size_t)host].peer_proxy);
			break;
		case 8:
			count_fault("link to the store: fault set or cleared");
			inject_link_fault(
				*platform.hosts[(size_t)host].store_proxy);
			break;
		case 9:
			restore_store();
			break;
		case 10:
			count_fault("server entry written late");
			write_late(host);
			break;
		case 11:
			count_fault("server started again under its id");
			start_again(host);
			break;
		default:
			count_fault("configuration published");
			publish_config();
		}
	}

	void publish_config()
	{
		platform.publish_config(
			++version, R"(,["new","mesh.example","/new/",)"
				   R"("idempotent","3s","1s",2,"shop",2])");
	}

	/* The store carries out an earlier write, perhaps of another start. */
	void write_late(int host)
	{
		const PlatformHost &server = platform.hosts[(size_t)host];
		const char *phase = draw(0, 1) ? "ready" : "draining";

		if (draw(0, 2))
			platform.publish_write(host, phase,
					       server.sequence - draw(1, 3),
					       server.born);
		else
			platform.publish_write(host, phase,
					       server.sequence + draw(0, 3),
					       server.born - START_STEP_MS);
	}

	/* The time of day of the host may have gone back meanwhile. */
	void start_again(int host)
	{
		PlatformHost &server = platform.hosts[(size_t)host];

		server.born +=
			draw(0, 4) ? 2 * START_STEP_MS : -START_STEP_MS / 2;
		server.sequence = 0;
		platform.publish_entry(host);
	}

	/*
	 * How many daemons have as many servers in service as wanted, once they
	 * have had time to agree.
	 */
	int count_in_service(int wanted)
	{
		int nr = 0;

		for (int i = 0; i < HOSTS; i++)
			nr += eventually([&] {
				return platform.nr_in_service(i) == wanted;
			});
		return nr;
	}

	/*
	 * Each server writes often enough that a start with an earlier time is
	 * the present one. Then one leaves, and its heartbeats come late.
	 */
	void check_agreement(CheckResult &ready, CheckResult &leaving)
	{
		for (int round = 0; round < WRITES_TO_AGREE; round++) {
			for (int i = 0; i < HOSTS; i++)
				platform.publish_entry(i);
			usleep(HEARTBEAT_US);
		}
		ready.violated += HOSTS - count_in_service(SERVING_HOSTS);
		platform.publish_entry(0, "draining");
		usleep(HEARTBEAT_US);
		for (int late = 1; late <= 3; late++)
			platform.publish_write(0, "ready",
					       platform.hosts[0].sequence -
						       late,
					       platform.hosts[0].born);
		usleep(HEARTBEAT_US);
		leaving.violated += HOSTS - count_in_service(SERVING_HOSTS - 1);
		usleep(HEARTBEAT_US);
		leaving.violated += HOSTS - count_in_service(SERVING_HOSTS - 1);
	}

	/* Restores the copy or takes another one. */
	void restore_store()
	{
		if (draw(0, 2)) {
			count_fault("store restored from a copy");
			platform.restore_store();
		} else {
			count_fault("copy of the store taken");
			platform.copy_store();
		}
	}

	/* Whether a daemon has the configuration that was published last. */
	bool has_newest_config(int host)
	{
		return platform.dump_number(host, { "callers", "version" }) ==
		       version;
	}

	void call_loop(int caller)
	{
		std::mt19937 own((unsigned)caller);

		for (int n = 0; !stopped; n++) {
			bool order = own() % 2;
			int host = (int)(own() % HOSTS);
			std::string id = "c" + std::to_string(caller) + "-" +
					 std::to_string(n);
			CallerAnswer answer =
				platform.send_with_id(id, host,
						      order ? "POST" : "GET",
						      order ? "/orders/1"
							    : "/stock/1",
						      order ? "x" : "", 1500);

			std::lock_guard<std::mutex> guard(results.lock);
			results.sent[id] = { order, answer.status };
			results.by_status[answer.status]++;
		}
	}

	/* Clears all faults, so that the lists of runs can be read. */
	void clear_faults()
	{
		platform.store->fault("none");
		for (int i = 0; i < HOSTS; i++) {
			platform.fault(i, "none");
			platform.hosts[(size_t)i].peer_proxy->set(Proxy::PASS);
			platform.hosts[(size_t)i].store_proxy->set(Proxy::PASS);
		}
	}

	int report()
	{
		std::map<std::string, int> runs;
		CheckResult serving = { "every daemon serves again", HOSTS, 0 };
		CheckResult config = { "every daemon has the newest "
				       "configuration",
				       HOSTS, 0 };
		CheckResult ready = { "every daemon uses all servers", HOSTS,
				      0 };
		CheckResult leaving = { "no daemon uses a server that leaves",
					2 * HOSTS, 0 };
		std::vector<CheckResult> checks;
		int violated = 0;

		for (int i = 0; i < HOSTS; i++)
			for (const std::string &id : platform.run_ids(i))
				runs[id]++;
		checks = check_invariants(results.sent, runs);
		platform.delete_item("op/evacuate/z1");
		for (int i = 0; i < HOSTS; i++)
			platform.publish_entry(i);
		for (int i = 0; i < HOSTS; i++)
			serving.violated += !eventually([&] {
				return platform.send_request(i, "GET",
							     "/stock/1")
					       .status == 200;
			});
		publish_config();
		for (int i = 0; i < HOSTS; i++)
			config.violated += !eventually(
				[&] { return has_newest_config(i); });
		check_agreement(ready, leaving);
		for (const auto &fault : faults)
			printf("fault: %s: %d\n", fault.first.c_str(),
			       fault.second);
		for (int i = 0; i < HOSTS; i++)
			printf("connections through the links of host %d: %d "
			       "from daemons, %d to the store\n",
			       i,
			       platform.hosts[(size_t)i].peer_proxy->nr_conns(),
			       platform.hosts[(size_t)i]
				       .store_proxy->nr_conns());
		for (const auto &status : results.by_status)
			printf("answers %d: %d\n", status.first, status.second);
		checks.push_back(serving);
		checks.push_back(config);
		checks.push_back(ready);
		checks.push_back(leaving);
		for (const CheckResult &check : checks) {
			printf("invariant: %s: checked %ld, violated %ld%s\n",
			       check.invariant, check.checked, check.violated,
			       check.checked ? "" : " (nothing to check)");
			violated += check.violated > 0;
		}
		return violated ? 1 : 0;
	}

	Platform platform;
	std::mt19937 random;
	int seconds;
	int version = 1;
	std::atomic<bool> stopped{ false };
	std::map<std::string, int> faults;
	Results results;
};

} // namespace

int main(int argc, char **argv)
{
	unsigned seed;

	if (argc != 3) {
		fprintf(stderr, "usage: soak SEED SECONDS\n");
		return 2;
	}
	seed = (unsigned)strtoul(argv[1], nullptr, 10);
	printf("seed %u\n", seed);
	fflush(stdout);
	return Soak(seed, atoi(argv[2])).run();
}

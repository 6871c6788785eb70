#include "mesh.h"

#include <fstream>
#include <functional>
#include <map>

/*
 * POST requests with and without tickets while one kind of fault happens again
 * and again. Afterwards the logs of the backend servers tell what ran.
 */

namespace
{

constexpr int kHosts = 6;

/* One request and all answers to its copies. */
struct Entry {
	std::string target;
	std::vector<std::string> outcomes; /* "" for no whole answer */
};

class Callers
{
      public:
	explicit Callers(const Mesh &mesh) : mesh(mesh)
	{
		for (int host = 0; host < kHosts; host++)
			threads.emplace_back([this, host] { run(host); });
	}
	~Callers()
	{
		finish();
	}

	void finish()
	{
		stop = true;
		for (std::thread &thread : threads)
			thread.join();
		threads.clear();
	}

	/* Waits until more requests ran, so that a fault meets requests. */
	void wait_for_more(long more) const
	{
		long before = ran;

		EXPECT_TRUE(eventually([&] { return ran >= before + more; }));
	}

	std::atomic<long> ran{ 0 };
	std::vector<Entry> entries;
	std::string foreign;

      private:
	const Mesh &mesh;
	std::atomic<bool> stop{ false };
	std::mutex mutex;
	std::vector<std::thread> threads;

	std::string post(int host, const std::string &target,
			 const std::string &headers)
	{
		Answer answer =
			mesh.send(host, "POST", target, headers, "text");

		if (answer.status != 200)
			return answer.outcome;
		ran++;
		if (answer.body.find("\"path\":\"" + target + "\"") ==
		    std::string::npos) {
			std::lock_guard<std::mutex> guard(mutex);

			foreign = target + " got " + answer.body;
		}
		return answer.outcome;
	}

	void run(int host)
	{
		for (long n = 0; !stop; n++) {
			std::string name = std::to_string(host) + "-" +
					   std::to_string(n) + "-";
			Entry note = { "/portal/notes?n=" + name, {} };
			Entry order = { "/portal/orders?n=" + name, {} };
			std::string ticket = mesh.send(host, "POST",
						       "/.godwitspur/tickets"
						       "?path=/portal/orders")
						     .ticket;

			note.outcomes.push_back(post(host, note.target, ""));
			/* A caller resends until it knows, through others. */
			for (int i = 0; i < 3 && !ticket.empty(); i++) {
				order.outcomes.push_back(
					post((host + i) % kHosts, order.target,
					     "Idempotency-Key: " + ticket +
						     "\r\n"));
				if (!order.outcomes.back().empty() &&
				    order.outcomes.back() != "unknown")
					break;
			}
			std::lock_guard<std::mutex> guard(mutex);
			entries.push_back(note);
			entries.push_back(order);
			usleep(1000);
		}
	}
};

std::map<std::string, int> runs_by_path(const Mesh &mesh)
{
	std::map<std::string, int> runs;
	std::string line;

	for (const Host &host : mesh.hosts) {
		std::ifstream file(host.executions);

		while (std::getline(file, line)) {
			json_t *json = json_loads(line.c_str(), 0, nullptr);
			const char *path = json_string_value(
				json_object_get(json, "path"));

			if (path &&
			    json_is_null(json_object_get(json, "finished")))
				runs[path]++;
			json_decref(json);
		}
	}
	return runs;
}

/*
 * Each request ran at most once, once when told that it ran, and never when
 * the last answer told that it did not run.
 */
void check_ledger(const Mesh &mesh, Callers &callers)
{
	std::map<std::string, int> runs;
	std::map<std::string, long> outcomes;

	callers.finish();
	runs = runs_by_path(mesh);
	for (const Entry &entry : callers.entries) {
		if (entry.outcomes.empty())
			continue;
		const std::string &last = entry.outcomes.back();
		int count = runs[entry.target];

		outcomes[last]++;
		EXPECT_LE(count, 1) << entry.target << " ran again";
		if (last == "ran" || last == "not-run") {
			EXPECT_EQ(count, last == "ran") << entry.target;
		}
	}
	EXPECT_EQ(callers.foreign, "");
	for (const auto &[outcome, number] : outcomes)
		printf("%s: %ld\n", outcome.empty() ? "none" : outcome.c_str(),
		       number);
}

using Fault = std::function<void(Mesh &mesh, int round)>;

/* Causes the fault in three rounds while requests run, and heals it. */
void run_with(const Fault &cause, const Fault &heal)
{
	MeshOptions options;

	options.hosts = kHosts;
	options.targets = kHosts;
	options.backend = { "--service-ms", "20", "--jitter-ms", "20" };
	options.defaults = R"("deadline_ms": 2000, "slots": 4, "cold_slots": 2,
			      "ramp_ms": 500, "quarantine_crashes": 10)";
	Mesh mesh(options);
	Callers callers(mesh);

	callers.wait_for_more(50);
	for (int round = 0; round < 3; round++) {
		cause(mesh, round);
		usleep(500 * 1000);
		heal(mesh, round);
		callers.wait_for_more(50);
	}
	check_ledger(mesh, callers);
}

void nothing(Mesh &, int)
{
}

/* Guards against answers that are false while nothing fails. */
TEST(ProcessChaos, NoFault)
{
	run_with(nothing, nothing);
}

/* Guards against false answers when most daemons die at once and return. */
TEST(ProcessChaos, DaemonsDieAtOnce)
{
	auto last = [](int round) { return round ? kHosts : kHosts / 2; };

	run_with(
		[&](Mesh &mesh, int round) {
			for (int host = 0; host < last(round); host++)
				mesh.kill_daemon(host);
		},
		[&](Mesh &mesh, int round) {
			for (int host = 0; host < last(round); host++)
				mesh.start_daemon(host);
		});
}

/* Guards against repeated runs when backend servers die and return cold. */
TEST(ProcessChaos, BackendsDie)
{
	run_with(
		[](Mesh &mesh, int round) {
			for (int host = round; host < round + 3; host++)
				mesh.kill_backend(host);
		},
		[](Mesh &mesh, int round) {
			for (int host = round; host < round + 3; host++)
				mesh.start_backend(host);
		});
}

/* Guards against late answers of daemons that resume after deadlines. */
TEST(ProcessChaos, DaemonsPause)
{
	run_with(
		[](Mesh &mesh, int round) {
			for (int host = round; host < round + 3; host++)
				mesh.signal_daemon(host, SIGSTOP);
			usleep(2500 * 1000);
		},
		[](Mesh &mesh, int round) {
			for (int host = round; host < round + 3; host++)
				mesh.signal_daemon(host, SIGCONT);
		});
}

/* Guards against false answers while the source is down, stale or old. */
TEST(ProcessChaos, SourceFails)
{
	run_with(
		[](Mesh &mesh, int round) {
			const char *const modes[] = { "outage", "stale",
						      "outage&hang=1" };

			mesh.source.fault(modes[round]);
			mesh.kill_daemon(round);
			mesh.start_daemon(round);
		},
		[](Mesh &mesh, int) { mesh.source.fault("none"); });
}

/* Guards against requests that see two versions while versions cross. */
TEST(ProcessChaos, VersionsCross)
{
	auto publish = [](Mesh &mesh, int round) {
		for (int i = 0; i < 4; i++) {
			std::string zone = "z" + std::to_string(i % 3);

			mesh.plan.out = { zone };
			/* Two contents under each number. */
			mesh.publish(10 * round + 2 + i / 2);
		}
	};

	run_with(publish,
		 [](Mesh &mesh, int round) { mesh.wait_for(10 * round + 3); });
}

/* Guards against false answers while the list of hosts is wrong or down. */
TEST(ProcessChaos, HostListFails)
{
	run_with(
		[](Mesh &mesh, int round) {
			if (round == 1)
				mesh.host_list.fault("outage");
			else
				call(mesh.host_list.control, "POST",
				     round ? "/host?host=h1&state=gone"
					   : "/host?host=h1&state=leaving");
			mesh.kill_daemon(2);
			mesh.start_daemon(2);
		},
		[](Mesh &mesh, int) { mesh.host_list.fault("none"); });
}

/* Guards against a daemon that trusts health and load that lie. */
TEST(ProcessChaos, HealthLies)
{
	run_with(
		[](Mesh &mesh, int round) {
			const char *const lies[] = { "health=ok&load=0",
						     "health=cold&load=1000",
						     "health=draining&load=0" };

			for (const Host &host : mesh.hosts)
				call(host.backend_control, "POST",
				     std::string("/lie?") + lies[round]);
			mesh.kill_backend(round);
		},
		[](Mesh &mesh, int round) { mesh.start_backend(round); });
}

} // namespace

#include "mesh.h"

#include <fstream>
#include <functional>
#include <map>

/*
 * POST requests with and without tickets while one kind of fault is injected
 * repeatedly. Afterwards the outcomes are checked against the execution logs of
 * the backend servers.
 */

namespace
{

constexpr int kHosts = 6;

/* One request and the outcomes of all its copies. */
struct Entry {
	std::string target;
	std::vector<std::string> outcomes; /* "": no complete answer */
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

	/* Waits until more requests ran, so that faults occur under load. */
	void wait_for_executions(long more) const
	{
		long before = ran;

		EXPECT_TRUE(eventually([&] { return ran >= before + more; }));
	}

	std::atomic<long> ran{ 0 };
	std::vector<Entry> entries;
	std::string mismatch;

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

			mismatch = target + " got " + answer.body;
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
			/* Resends through other daemons while it is unknown. */
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

std::map<std::string, int> count_runs_by_path(const Mesh &mesh)
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
 * Checks that each request ran at most once, exactly once if its last outcome
 * is ran, and never if that is not-run.
 */
void check_outcomes(const Mesh &mesh, Callers &callers)
{
	std::map<std::string, int> runs;
	std::map<std::string, long> outcomes;

	callers.finish();
	runs = count_runs_by_path(mesh);
	for (const Entry &entry : callers.entries) {
		if (entry.outcomes.empty())
			continue;
		const std::string &last = entry.outcomes.back();
		int count = runs[entry.target];

		outcomes[last]++;
		EXPECT_LE(count, 1) << entry.target << " ran more than once";
		if (last == "ran" || last == "not-run") {
			EXPECT_EQ(count, last == "ran") << entry.target;
		}
	}
	EXPECT_EQ(callers.mismatch, "");
	for (const auto &[outcome, number] : outcomes)
		printf("%s: %ld\n", outcome.empty() ? "none" : outcome.c_str(),
		       number);
}

using Fault = std::function<void(Mesh &mesh, int round)>;

/* Injects and removes a fault in three rounds while requests run. */
void run_with_fault(const Fault &cause, const Fault &heal)
{
	MeshOptions options;

	options.hosts = kHosts;
	options.targets = kHosts;
	options.backend = { "--service-ms", "20", "--jitter-ms", "20" };
	options.defaults = R"("deadline_ms": 2000, "slots": 4, "cold_slots": 2,
			      "ramp_ms": 500, "quarantine_crashes": 10)";
	Mesh mesh(options);
	Callers callers(mesh);

	callers.wait_for_executions(50);
	for (int round = 0; round < 3; round++) {
		cause(mesh, round);
		usleep(500 * 1000);
		heal(mesh, round);
		callers.wait_for_executions(50);
	}
	check_outcomes(mesh, callers);
}

void nothing(Mesh &, int)
{
}

/* Guards against wrong outcomes without any fault. */
TEST(ProcessChaos, NoFault)
{
	run_with_fault(nothing, nothing);
}

/* Guards against wrong outcomes when many daemons are killed at once. */
TEST(ProcessChaos, ManyDaemonsKilledAtOnce)
{
	auto last = [](int round) { return round ? kHosts : kHosts / 2; };

	run_with_fault(
		[&](Mesh &mesh, int round) {
			for (int host = 0; host < last(round); host++)
				mesh.kill_daemon(host);
		},
		[&](Mesh &mesh, int round) {
			for (int host = 0; host < last(round); host++)
				mesh.start_daemon(host);
		});
}

/* Guards against duplicate executions when backend servers are restarted. */
TEST(ProcessChaos, BackendsKilled)
{
	run_with_fault(
		[](Mesh &mesh, int round) {
			for (int host = round; host < round + 3; host++)
				mesh.kill_backend(host);
		},
		[](Mesh &mesh, int round) {
			for (int host = round; host < round + 3; host++)
				mesh.start_backend(host);
		});
}

/* Guards against late answers of daemons that resume after the deadline. */
TEST(ProcessChaos, DaemonsSuspended)
{
	run_with_fault(
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

/* Guards against wrong outcomes while the source is down, stale or hangs. */
TEST(ProcessChaos, SourceFails)
{
	run_with_fault(
		[](Mesh &mesh, int round) {
			const char *const modes[] = { "outage", "stale",
						      "outage&hang=1" };

			mesh.source.fault(modes[round]);
			mesh.kill_daemon(round);
			mesh.start_daemon(round);
		},
		[](Mesh &mesh, int) { mesh.source.fault("none"); });
}

/* Guards against requests that see two versions during rapid updates. */
TEST(ProcessChaos, RapidConflictingVersions)
{
	auto publish = [](Mesh &mesh, int round) {
		for (int i = 0; i < 4; i++) {
			std::string zone = "z" + std::to_string(i % 3);

			mesh.plan.out = { zone };
			/* Each number is published with two contents. */
			mesh.publish(10 * round + 2 + i / 2);
		}
	};

	run_with_fault(publish, [](Mesh &mesh, int round) {
		mesh.wait_for(10 * round + 3);
	});
}

/* Guards against wrong outcomes while the host list is wrong or down. */
TEST(ProcessChaos, HostListFails)
{
	run_with_fault(
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

/* Guards against a daemon that trusts false health and load reports. */
TEST(ProcessChaos, FalseHealthReports)
{
	run_with_fault(
		[](Mesh &mesh, int round) {
			const char *const reports[] = {
				"health=ok&load=0", "health=cold&load=1000",
				"health=draining&load=0"
			};

			for (const Host &host : mesh.hosts)
				call(host.backend_control, "POST",
				     std::string("/lie?") + reports[round]);
			mesh.kill_backend(round);
		},
		[](Mesh &mesh, int round) { mesh.start_backend(round); });
}

} // namespace

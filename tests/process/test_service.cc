#include "mesh.h"

/*
 * Zones, hosts and backend servers that are taken out of service and return,
 * and graceful stops of daemons, all under continuous load.
 */

namespace
{

constexpr long kMany = 300; /* requests, enough to reach all targets */

const std::vector<int> kAllDaemons = { 0, 1, 2, 3, 4, 5 };

MeshOptions six_targets()
{
	MeshOptions options;

	options.hosts = 6;
	options.targets = 6;
	options.defaults =
		R"("deadline_ms": 10000, "slots": 8, "cold_slots": 8)";
	return options;
}

void wait_for_load(const Load &load, long more)
{
	long before = load.ok;

	EXPECT_TRUE(eventually([&] { return load.ok >= before + more; }));
}

int count_runs(const Mesh &mesh, const std::vector<int> &hosts)
{
	int runs = 0;

	for (int host : hosts)
		runs += mesh.runs(host, "/portal/notes");
	return runs;
}

/* Waits until each of the hosts gets a new request. */
void expect_requests(const Mesh &mesh, const std::vector<int> &hosts)
{
	for (int host : hosts) {
		int before = mesh.runs(host, "/portal/notes");

		EXPECT_TRUE(eventually([&] {
			return mesh.runs(host, "/portal/notes") > before;
		})) << mesh.hosts[(size_t)host].name
		    << " gets no requests";
	}
}

/* Whether a daemon's dump shows another host as leaving. */
bool sees_host_leaving(const Mesh &mesh, int daemon, const std::string &host)
{
	Answer answer = call(mesh.hosts[(size_t)daemon].operators, "GET",
			     "/dump", "", "", 5);
	json_t *json = json_loads(answer.body.c_str(), 0, nullptr);
	json_t *services = json_object_get(
		json_object_get(json_object_get(json, "ingress"), "balance"),
		"services");
	bool leaving = false;
	const char *name;
	json_t *service, *target;
	size_t i;

	json_object_foreach (services, name, service)
		json_array_foreach (json_object_get(service, "targets"), i,
				    target)
			if (host ==
			    json_string_value(json_object_get(target, "host")))
				leaving |= json_is_true(
					json_object_get(target, "leaving"));
	json_decref(json);
	return leaving;
}

/* Waits until the hosts get no more requests, then checks it under load. */
void expect_no_requests(const Mesh &mesh, const Load &load,
			const std::vector<int> &hosts)
{
	EXPECT_TRUE(eventually([&] {
		int before = count_runs(mesh, hosts);

		wait_for_load(load, kMany / 3);
		return count_runs(mesh, hosts) == before;
	})) << "hosts still get requests";
	int before = count_runs(mesh, hosts);
	wait_for_load(load, kMany);
	EXPECT_EQ(count_runs(mesh, hosts), before) << "hosts got new requests";
}

void expect_no_failure(Load &load)
{
	load.finish();
	EXPECT_EQ(load.failed, 0) << load.first_failure;
	EXPECT_EQ(load.mismatch, "");
}

/* Guards against requests to a zone that is out of service. */
TEST(ProcessService, ZoneOutOfServiceGetsNoRequests)
{
	Mesh mesh(six_targets());
	Load load(mesh, "POST", "/portal/notes", kAllDaemons);

	expect_requests(mesh, kAllDaemons);
	mesh.plan.out = { "z1" };
	mesh.publish(2);
	mesh.wait_for(2);
	expect_no_requests(mesh, load, { 1, 4 });
	mesh.plan.out = {};
	mesh.publish(3);
	mesh.wait_for(3);
	expect_requests(mesh, { 1, 4 });
	expect_no_failure(load);
}

/*
 * Guards against requests to a zone out of service from daemons that restart
 * at the same time or resume with outdated state.
 */
TEST(ProcessService, ZoneStaysOutThroughRestartAndSuspension)
{
	Mesh mesh(six_targets());

	mesh.signal_daemon(5, SIGSTOP);
	mesh.plan.out = { "z1" };
	mesh.publish(2);
	for (int host = 0; host < 5; host++)
		EXPECT_TRUE(eventually(
			[&] { return mesh.status(host).version.number == 2; }));
	usleep(2500 * 1000);
	mesh.signal_daemon(5, SIGCONT);
	for (int host = 0; host < 5; host++)
		mesh.kill_daemon(host);
	for (int host = 0; host < 5; host++)
		mesh.start_daemon(host);
	mesh.wait_for(2);
	Load load(mesh, "POST", "/portal/notes", { 0, 1, 2, 5, 0, 5 });
	expect_no_requests(mesh, load, { 1, 4 });
	expect_no_failure(load);
}

/* Guards against requests to a host that is leaving by the host list. */
TEST(ProcessService, LeavingHostGetsNoRequests)
{
	Mesh mesh(six_targets());
	Load load(mesh, "POST", "/portal/notes", kAllDaemons);

	expect_requests(mesh, kAllDaemons);
	EXPECT_EQ(call(mesh.host_list.control, "POST",
		       "/host?host=h2&state=leaving")
			  .status,
		  200);
	for (int daemon : kAllDaemons)
		EXPECT_TRUE(eventually(
			[&] { return sees_host_leaving(mesh, daemon, "h2"); }));
	expect_no_requests(mesh, load, { 2 });
	EXPECT_EQ(call(mesh.host_list.control, "POST",
		       "/host?host=h2&state=live")
			  .status,
		  200);
	expect_requests(mesh, { 2 });
	expect_no_failure(load);
}

/*
 * Guards against requests to a backend server that announces its shutdown, and
 * against requests that fail because they were sent there.
 */
TEST(ProcessService, DrainingBackendGetsNoRequests)
{
	Mesh mesh(six_targets());
	Load load(mesh, "POST", "/portal/notes", kAllDaemons);

	expect_requests(mesh, kAllDaemons);
	EXPECT_EQ(call(mesh.hosts[3].backend_control, "POST", "/drain").status,
		  200);
	expect_no_requests(mesh, load, { 3 });
	mesh.kill_backend(3);
	mesh.start_backend(3);
	expect_requests(mesh, { 3 });
	expect_no_failure(load);
}

/*
 * Guards against a graceful stop, by signal or through the operator address,
 * that aborts requests in flight or answers new requests with anything but
 * not-run.
 */
void test_graceful_stop(bool by_signal)
{
	MeshOptions options;

	options.hosts = 4;
	options.targets = 2;
	options.backend = { "--service-ms", "1500" };
	options.defaults =
		R"("deadline_ms": 20000, "slots": 4, "cold_slots": 4)";
	Mesh mesh(options);
	std::vector<std::thread> threads;
	std::vector<Answer> answers(8);
	Host &host = mesh.hosts[0];

	/* Two requests through each daemon, including the one that stops. */
	for (size_t i = 0; i < answers.size(); i++)
		threads.emplace_back([&mesh, &answers, i] {
			answers[i] =
				mesh.send((int)i % 4, "POST",
					  "/portal/notes/" + std::to_string(i));
		});
	EXPECT_TRUE(
		eventually([&] { return mesh.runs("/portal/notes") == 8; }));
	EXPECT_GT(mesh.runs(0, "/portal/notes"), 0);
	if (by_signal)
		mesh.signal_daemon(0, SIGTERM);
	else
		EXPECT_EQ(call(host.operators, "POST", "/drain").status, 200);

	/* Requests that arrive before the signal is handled still run. */
	EXPECT_TRUE(eventually([&] {
		return call(host.operators, "GET", "/status", "", "", 1)
			       .body.find("\"draining\": true") !=
		       std::string::npos;
	}));
	/* The daemon answers not-run until it refuses connections. */
	int refused = 0;
	EXPECT_TRUE(eventually([&] {
		Answer answer = mesh.send(0, "POST", "/portal/notes/late");

		refused += answer.outcome == "not-run";
		EXPECT_NE(answer.outcome, "unknown") << answer.body;
		return refused > 5 || answer.refused;
	}));
	EXPECT_GT(refused, 0);
	/* Other daemons send new requests to the other target. */
	Answer elsewhere = mesh.send(2, "POST", "/portal/notes/elsewhere");
	EXPECT_EQ(elsewhere.status, 200) << elsewhere.body;
	EXPECT_EQ(elsewhere.name, "h1");

	for (std::thread &thread : threads)
		thread.join();
	for (size_t i = 0; i < answers.size(); i++)
		EXPECT_EQ(answers[i].status, 200)
			<< "request " << i << ": " << answers[i].body;
	int status = -1;
	EXPECT_TRUE(process_wait(&host.daemon, 30000, &status));
	EXPECT_EQ(status, 0);
	EXPECT_EQ(mesh.runs("/portal/notes/late"), 0);
}

TEST(ProcessService, StopBySignalCompletesRequests)
{
	test_graceful_stop(true);
}

TEST(ProcessService, StopByOperatorCompletesRequests)
{
	test_graceful_stop(false);
}

/*
 * The daemon that waits for a long answer is suspended while the daemon of the
 * server stops. Guards against a process that ends while an answer that it has
 * counted as sent still waits for its socket: the request has run, and its
 * caller is told that the connection was lost.
 */
TEST(ProcessService, StopWaitsUntilAnswersAreSent)
{
	/* More than the sockets of a connection hold. */
	const size_t answer_bytes = 15000000;
	MeshOptions options;

	options.hosts = 2;
	options.targets = 1;
	options.backend = { "--service-ms", "1000" };
	Mesh mesh(options);
	Answer answer;
	std::thread caller([&] {
		answer = mesh.send(1, "GET",
				   "/portal/stock?bytes=" +
					   std::to_string(answer_bytes));
	});
	int status = -1;

	usleep(500 * 1000);
	mesh.signal_daemon(0, SIGTERM);
	usleep(200 * 1000);
	mesh.signal_daemon(1, SIGSTOP);
	usleep(700 * 1000);
	mesh.signal_daemon(1, SIGCONT);
	caller.join();
	EXPECT_EQ(answer.status, 200) << answer.body;
	EXPECT_EQ(answer.body.size(), answer_bytes);
	EXPECT_TRUE(process_wait(&mesh.hosts[0].daemon, 30000, &status));
	EXPECT_EQ(status, 0);
}

/*
 * Guards against requests that are aborted when the ingress and the target stop
 * at the same time.
 */
TEST(ProcessService, StopOfAllDaemonsCompletesRequests)
{
	MeshOptions options = six_targets();

	options.backend = { "--service-ms", "1000" };
	Mesh mesh(options);
	std::vector<std::thread> threads;
	std::vector<Answer> answers(18);

	for (size_t i = 0; i < answers.size(); i++)
		threads.emplace_back([&mesh, &answers, i] {
			answers[i] =
				mesh.send((int)i % 6, "POST",
					  "/portal/notes/" + std::to_string(i));
		});
	EXPECT_TRUE(eventually([&] {
		return mesh.runs("/portal/notes") == (int)answers.size();
	}));
	for (int host : kAllDaemons)
		mesh.signal_daemon(host, SIGTERM);
	for (std::thread &thread : threads)
		thread.join();
	for (size_t i = 0; i < answers.size(); i++)
		EXPECT_EQ(answers[i].status, 200)
			<< "request " << i << ": " << answers[i].body;
	for (Host &host : mesh.hosts) {
		int status = -1;

		EXPECT_TRUE(process_wait(&host.daemon, 30000, &status));
		EXPECT_EQ(status, 0) << host.name;
	}
}

} // namespace

#include "mesh.h"

/*
 * Slow start of backend servers that crash under more than two concurrent
 * requests in the first second after their start. Callers send more requests
 * than the servers can run.
 */

namespace
{

const std::vector<int> kCallers = { 0, 0, 0, 0, 1, 1, 1, 1,
				    2, 2, 2, 2, 3, 3, 3, 3 };

MeshOptions overload_crash_options()
{
	MeshOptions options;

	options.hosts = 4;
	options.targets = 2;
	options.backend = { "--service-ms", "30",	    "--cold-ms",
			    "1000",	    "--cold-slots", "2" };
	/* A step of the ramp takes 2 s, longer than a server is cold. */
	options.defaults = R"("deadline_ms": 10000, "slots": 6, "cold_slots": 2,
			      "ramp_ms": 8000)";
	return options;
}

void expect_no_exit(Mesh &mesh)
{
	for (int host = 0; host < mesh.options.targets; host++)
		EXPECT_FALSE(mesh.has_exited(host))
			<< mesh.hosts[(size_t)host].name << " crashed";
}

bool is_warm(const Mesh &mesh, int host)
{
	return call(mesh.hosts[(size_t)host].backend_control, "GET", "/state")
		       .body.find("\"cold\":false") != std::string::npos;
}

/* Waits until the servers are warm and their limit has risen. */
void wait_until_warm(const Mesh &mesh, int limit)
{
	for (int host = 0; host < mesh.options.targets; host++)
		EXPECT_TRUE(eventually([&] {
			return is_warm(mesh, host) && mesh.limit(host) >= limit;
		})) << "limit "
		    << mesh.limit(host);
}

/* Guards against full load on servers that have just started. */
TEST(ProcessCold, StartedServersAreRateLimited)
{
	Mesh mesh(overload_crash_options());

	for (int host = 0; host < 2; host++) {
		mesh.kill_backend(host);
		mesh.start_backend(host);
	}
	Load load(mesh, "GET", "/portal/stock", kCallers);
	wait_until_warm(mesh, 3);
	expect_no_exit(mesh);
}

/*
 * Guards against full load after a crash under load if the server is down for
 * longer than a step of the ramp.
 */
TEST(ProcessCold, ServerBackFromOutageIsRateLimited)
{
	Mesh mesh(overload_crash_options());
	Load load(mesh, "GET", "/portal/stock", kCallers);

	wait_until_warm(mesh, 4);
	for (int round = 0; round < 2; round++) {
		mesh.kill_backend(round);
		usleep(2500 * 1000);
		mesh.start_backend(round);
		wait_until_warm(mesh, 3);
		expect_no_exit(mesh);
	}
}

/* Guards against full load on a server that restarted without load. */
TEST(ProcessCold, ServerRestartedWhileIdleIsRateLimited)
{
	Mesh mesh(overload_crash_options());

	{
		Load load(mesh, "GET", "/portal/stock", kCallers);

		wait_until_warm(mesh, 6);
	}
	mesh.kill_backend(0);
	usleep(300 * 1000); /* a real restart takes longer */
	mesh.start_backend(0);
	Load load(mesh, "GET", "/portal/stock", kCallers);
	EXPECT_TRUE(eventually(
		[&] { return mesh.has_exited(0) || is_warm(mesh, 0); }));
	expect_no_exit(mesh);
}

/* Guards against full load when all daemons and servers restart at once. */
TEST(ProcessCold, ServersRestartedAtOnceAreRateLimited)
{
	Mesh mesh(overload_crash_options());
	Load load(mesh, "GET", "/portal/stock", kCallers);

	wait_until_warm(mesh, 4);
	for (int host = 0; host < 4; host++)
		mesh.kill_daemon(host);
	for (int host = 0; host < 2; host++)
		mesh.kill_backend(host);
	for (int host = 0; host < 2; host++)
		mesh.start_backend(host);
	for (int host = 0; host < 4; host++)
		mesh.start_daemon(host);
	mesh.wait_for(1);
	wait_until_warm(mesh, 3);
	expect_no_exit(mesh);
}

/*
 * Guards against a server that becomes cold under full load, crashes, and
 * crashes again once restarted, while it reports false health and load.
 */
TEST(ProcessCold, ServerColdWithoutWarningRecovers)
{
	Mesh mesh(overload_crash_options());
	Load load(mesh, "GET", "/portal/stock", kCallers);

	wait_until_warm(mesh, 6);
	EXPECT_EQ(call(mesh.hosts[0].backend_control, "POST",
		       "/fault?mode=cold")
			  .status,
		  200);
	/* The daemon cannot detect this, so a first crash is accepted. */
	EXPECT_TRUE(eventually(
		[&] { return mesh.has_exited(0) || is_warm(mesh, 0); }));
	if (mesh.has_exited(0))
		mesh.start_backend(0);
	call(mesh.hosts[0].backend_control, "POST", "/lie?health=ok&load=0");
	wait_until_warm(mesh, 3);
	expect_no_exit(mesh);
}

} // namespace

#include "mesh.h"

/* Distribution of configuration during faults of the source and daemons. */

namespace
{

constexpr int kHosts = 6;

MeshOptions six_hosts()
{
	MeshOptions options;

	options.hosts = kHosts;
	return options;
}

/*
 * Guards against a daemon that needs the source to start, and against one that
 * misses a version after an outage.
 */
TEST(ProcessConfig, SourceRecoversFromOutage)
{
	Mesh mesh(six_hosts());

	mesh.publish(2);
	mesh.wait_for(2);
	VersionWatch watch(mesh);
	EXPECT_EQ(mesh.source.fault("outage").status, 200);
	mesh.kill_daemon(4);
	mesh.start_daemon(4);
	mesh.wait_for(2);
	EXPECT_EQ(mesh.send(4, "GET", "/portal/stock").status, 200);
	mesh.publish(3); /* not visible during the outage */
	EXPECT_EQ(mesh.source.fault("none").status, 200);
	mesh.wait_for(3);
}

/*
 * Guards against a daemon that hangs on a source that accepts connections and
 * does not answer.
 */
TEST(ProcessConfig, SourceRecoversFromHang)
{
	Mesh mesh(six_hosts());

	VersionWatch watch(mesh);
	EXPECT_EQ(mesh.source.fault("outage&hang=1").status, 200);
	mesh.kill_daemon(4);
	mesh.start_daemon(4);
	mesh.wait_for(1);
	EXPECT_EQ(mesh.send(4, "GET", "/portal/stock").status, 200);
	mesh.publish(2);
	EXPECT_EQ(mesh.source.fault("none").status, 200);
	mesh.wait_for(2);
}

/*
 * Guards against daemons that revert when the source serves an older version:
 * first stale data, then a restored old copy. Restarted daemons read it as
 * well.
 */
TEST(ProcessConfig, StaleSourceRevertsNoDaemon)
{
	Mesh mesh(six_hosts());
	Rendered old = mesh.render(1);

	VersionWatch watch(mesh);
	EXPECT_EQ(mesh.source.fault("stale").status, 200);
	mesh.publish(2);
	mesh.kill_daemon(1);
	mesh.start_daemon(1);
	mesh.wait_for(1);
	EXPECT_EQ(mesh.source.fault("none").status, 200);
	mesh.wait_for(2);

	mesh.put(old);
	for (int host : { 0, 3, 5 }) {
		mesh.kill_daemon(host);
		mesh.start_daemon(host);
		mesh.wait_for(2);
	}
	mesh.publish(3);
	mesh.wait_for(3);
}

/*
 * Guards against overload of the source when all daemons restart at once, and
 * against daemons that get no version then.
 */
TEST(ProcessConfig, AllDaemonsRestartAtOnce)
{
	Mesh mesh(six_hosts());

	mesh.publish(2);
	mesh.wait_for(2);
	VersionWatch watch(mesh);
	for (int round = 0; round < 2; round++) {
		for (int host = 0; host < kHosts; host++)
			mesh.kill_daemon(host);
		for (int host = 0; host < kHosts; host++)
			mesh.start_daemon(host);
		mesh.wait_for(2);
		for (int host = 0; host < kHosts; host++)
			mesh.wait_until_served(host);
	}
	mesh.publish(3);
	mesh.wait_for(3);
	Answer calls = call(mesh.source.control, "GET", "/calls");
	EXPECT_GT(calls.number("total"), 0);
	EXPECT_LE(calls.number("max_second"), 2 * kHosts) << calls.body;
	EXPECT_EQ(calls.number("refused"), 0);
}

/*
 * Guards against a bad version that is applied in part, that stops the
 * daemons, or that blocks the next good one.
 */
TEST(ProcessConfig, RefusedVersionIsNotAppliedInPart)
{
	Mesh mesh(six_hosts());

	VersionWatch watch(mesh);
	mesh.plan.routes = R"(, {"name": "added", "prefix": "/portal/added",
				 "methods": ["GET"]})";
	/* The part of the service is valid, the root part is not. */
	Rendered bad = mesh.render(2);
	bad.replace("root", "\"deadline_ms\":5000", "\"deadline_ms\":0");
	mesh.put(bad);
	for (int host = 0; host < kHosts; host++) {
		EXPECT_TRUE(eventually([&] {
			return mesh.status(host).refused.find("deadline_ms") !=
			       std::string::npos;
		})) << mesh.status(host).refused;
		EXPECT_EQ(mesh.status(host).version.number, 1);
		EXPECT_EQ(mesh.send(host, "GET", "/portal/added").status, 404);
		EXPECT_EQ(mesh.send(host, "GET", "/portal/stock").status, 200);
	}
	mesh.publish(3);
	mesh.wait_for(3);
	for (int host = 0; host < kHosts; host++)
		EXPECT_EQ(mesh.send(host, "GET", "/portal/added").status, 200);
}

/*
 * Guards against daemons that keep different contents of one version number,
 * in both orders of publication.
 */
TEST(ProcessConfig, LargerDigestWinsUnderOneNumber)
{
	Mesh mesh(six_hosts());

	VersionWatch watch(mesh);
	for (int number : { 2, 3 }) {
		bool larger_first = number == 3;
		Rendered a = mesh.render(number);
		mesh.plan.defaults =
			R"("deadline_ms": )" + std::to_string(5000 + number);
		Rendered b = mesh.render(number);
		const Rendered &larger = a.digest() < b.digest() ? b : a;
		const Rendered &smaller = a.digest() < b.digest() ? a : b;

		mesh.put(larger_first ? larger : smaller);
		mesh.wait_for(number);
		mesh.put(larger_first ? smaller : larger);
		EXPECT_TRUE(eventually([&] {
			bool conflict = false;

			for (int host = 0; host < kHosts; host++) {
				Status status = mesh.status(host);

				conflict |= status.conflict;
				if (status.version.digest != larger.digest())
					return false;
			}
			return conflict;
		})) << "larger digest published "
		    << (larger_first ? "first" : "last");
	}
}

/*
 * Guards against daemons that miss a version while they are suspended, or that
 * spread their outdated state when they resume. The second time the source is
 * down when they resume, so that they must get the version from peers.
 */
TEST(ProcessConfig, SuspendedHalfCatchesUp)
{
	Mesh mesh(six_hosts());

	VersionWatch watch(mesh);
	for (int version : { 2, 3 }) {
		int first = version == 2 ? 0 : 3;

		for (int host = first; host < first + 3; host++)
			mesh.signal_daemon(host, SIGSTOP);
		mesh.publish(version);
		EXPECT_TRUE(eventually([&] {
			for (int host = 0; host < kHosts; host++)
				if (host / 3 != first / 3 &&
				    mesh.status(host).version.number != version)
					return false;
			return true;
		}));
		/* After 2 s a daemon detects that it was suspended. */
		usleep(2500 * 1000);
		if (version == 3)
			mesh.source.fault("outage");
		for (int host = first; host < first + 3; host++)
			mesh.signal_daemon(host, SIGCONT);
		mesh.wait_for(version);
	}
}

} // namespace

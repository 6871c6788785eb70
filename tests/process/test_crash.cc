#include "mesh.h"

/* A request that crashes each backend server that runs it. */

namespace
{

constexpr int kHosts = 6;

/* From quarantine_crashes in the tree. */
constexpr int kCrashes = 2;

MeshOptions six_targets()
{
	MeshOptions options;

	options.hosts = kHosts;
	options.targets = kHosts;
	options.defaults = R"("deadline_ms": 5000, "quarantine_crashes": 2,
			      "quarantine_ms": 4000)";
	return options;
}

int count_dead(Mesh &mesh)
{
	int dead = 0;

	for (int host = 0; host < kHosts; host++)
		dead += mesh.has_died(host);
	return dead;
}

/*
 * Guards against one request that takes down all backend servers because its
 * caller sends it again and again, through one daemon after another.
 */
TEST(ProcessCrash, RepeatedRequestIsQuarantined)
{
	Mesh mesh(six_targets());
	const std::string killer = "/portal/notes/crash-me";
	Load load(mesh, "GET", "/portal/stock", { 0, 2, 4 });

	EXPECT_TRUE(eventually([&] { return load.ok > 50; }));
	/* An answer tells the news before the next copy is sent. */
	EXPECT_TRUE(eventually([&] {
		bool all = true;

		for (int host = 0; host < kHosts; host++) {
			Answer answer = mesh.send(host, "POST", killer);

			EXPECT_NE(answer.status, 200);
			EXPECT_EQ(answer.outcome,
				  answer.status == 422 ? "not-run" : "unknown");
			all &= answer.status == 422;
		}
		return all;
	}));
	printf("dead: %d\n", count_dead(mesh));
	EXPECT_LE(count_dead(mesh), kCrashes + 1);
	for (int host = 0; host < kHosts; host++) {
		Answer answer =
			mesh.send(host, "POST", "/portal/notes/harmless");

		EXPECT_EQ(answer.status, 200) << answer.body;
		mesh.wait_until_served(host);
	}
	long before = load.ok;
	EXPECT_TRUE(eventually([&] { return load.ok > before + 50; }));
	load.finish();
	EXPECT_EQ(load.foreign, "");

	/* After quarantine_ms it is let through once more. */
	int dead = count_dead(mesh);
	EXPECT_TRUE(eventually([&] {
		for (int host = 0; host < kHosts; host++)
			if (mesh.send(host, "POST", killer).status != 422)
				return true;
		return false;
	}));
	EXPECT_TRUE(eventually([&] { return count_dead(mesh) > dead; }));
}

} // namespace

#include "mesh.h"

#include <algorithm>
#include <map>

/* Quarantine of a request that crashes each backend server that runs it. */

namespace
{

constexpr int kHosts = 6;

/* The setting quarantine_crashes. */
constexpr int kCrashes = 2;

MeshOptions six_targets()
{
	MeshOptions options;

	options.hosts = kHosts;
	options.targets = kHosts;
	options.defaults = R"("deadline_ms": 5000, "quarantine_crashes": 2,
			      "quarantine_ms": 8000)";
	return options;
}

int count_dead(Mesh &mesh)
{
	int dead = 0;

	for (int host = 0; host < kHosts; host++)
		dead += mesh.has_exited(host);
	return dead;
}

/* The largest crash count of one request in the ingress of a daemon. */
json_int_t count_crashes(const Mesh &mesh, int host)
{
	Answer answer = call(mesh.hosts[(size_t)host].operators, "GET", "/dump",
			     "", "", 5);
	json_t *json = json_loads(answer.body.c_str(), 0, nullptr);
	json_t *suspects = json_object_get(
		json_object_get(json_object_get(json, "ingress"), "quarantine"),
		"suspects");
	std::map<std::string, json_int_t> crashes;
	json_int_t most = 0;
	json_t *suspect;
	size_t i;

	json_array_foreach (suspects, i, suspect) {
		json_int_t &sum = crashes[json_string_value(
			json_object_get(suspect, "fingerprint"))];

		sum += json_integer_value(json_object_get(suspect, "crashes"));
		most = std::max(most, sum);
	}
	json_decref(json);
	return most;
}

/*
 * Guards against one request that crashes all backend servers because its
 * caller sends it repeatedly through one daemon after another. Each copy is
 * sent after all daemons have received the previous crash, so no copy is in
 * flight then and the bound is exact.
 */
TEST(ProcessCrash, RepeatedRequestIsQuarantined)
{
	Mesh mesh(six_targets());
	const std::string crashing = "/portal/notes/crash-me";
	Load load(mesh, "GET", "/portal/stock", { 0, 2, 4 });

	EXPECT_TRUE(eventually([&] { return load.ok > 50; }));
	for (int sent = 0; count_dead(mesh) < kCrashes && sent < 20; sent++) {
		Answer answer = mesh.send(sent % kHosts, "POST", crashing);

		EXPECT_EQ(answer.status, 502) << answer.body;
		ASSERT_TRUE(eventually([&] {
			json_int_t least = count_dead(mesh);

			for (int host = 0; host < kHosts; host++)
				if (count_crashes(mesh, host) < least)
					return false;
			return true;
		})) << "not all daemons received the crash";
	}
	for (int round = 0; round < 3; round++)
		for (int host = 0; host < kHosts; host++) {
			Answer answer = mesh.send(host, "POST", crashing);

			EXPECT_EQ(answer.status, 422) << answer.body;
			EXPECT_EQ(answer.outcome, "not-run");
		}
	ASSERT_EQ(count_dead(mesh), kCrashes);
	for (int host = 0; host < kHosts; host++) {
		Answer answer =
			mesh.send(host, "POST", "/portal/notes/harmless");

		EXPECT_EQ(answer.status, 200) << answer.body;
		mesh.wait_until_served(host);
	}
	long before = load.ok;
	EXPECT_TRUE(eventually([&] { return load.ok > before + 50; }));
	load.finish();
	EXPECT_EQ(load.mismatch, "");

	/* After quarantine_ms the request is allowed once more. */
	int dead = count_dead(mesh);
	EXPECT_TRUE(eventually([&] {
		for (int host = 0; host < kHosts; host++)
			if (mesh.send(host, "POST", crashing).status != 422)
				return true;
		return false;
	}));
	EXPECT_TRUE(eventually([&] { return count_dead(mesh) > dead; }));
}

/*
 * Guards against an ingress that retries a request after it received the crash
 * that puts the request in quarantine.
 */
TEST(ProcessCrash, RetriesEndAtQuarantine)
{
	MeshOptions options = six_targets();

	options.defaults += R"(, "retry_max": 5)";
	Mesh mesh(options);
	Answer answer = mesh.send(0, "GET", "/portal/stock/crash-me");

	EXPECT_EQ(answer.outcome, "unknown") << answer.body;
	EXPECT_EQ(mesh.send(0, "GET", "/portal/stock/crash-me").status, 422);
	EXPECT_EQ(count_dead(mesh), kCrashes);
}

} // namespace

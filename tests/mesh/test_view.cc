#include <gtest/gtest.h>

#include <string>

extern "C" {
#include "mesh/view.h"
}

namespace
{

struct mesh_config *make_config()
{
	struct mesh_config *config = mesh_config_new();

	mesh_config_add_service(config, "shop");
	return config;
}

void add_route(struct mesh_config *config, const char *name, const char *prefix,
	       const char *service = "shop", int weight = 1)
{
	struct mesh_route *route = mesh_config_add_route(config);

	route->name = g_strdup(name);
	route->host = g_strdup("a.example");
	route->prefix = g_strdup(prefix);
	mesh_route_add_service(route, service, weight);
}

std::string find(struct mesh_config *config, const char *host, const char *path)
{
	const struct mesh_route *route =
		mesh_config_find_route(config, host, path);

	return route ? route->name : "none";
}

TEST(View, LongestPrefixWins)
{
	struct mesh_config *config = make_config();

	add_route(config, "short", "/a/");
	add_route(config, "long", "/a/b/");
	ASSERT_EQ(mesh_config_finish(config), nullptr);
	EXPECT_EQ(find(config, "a.example", "/a/b/c"), "long");
	EXPECT_EQ(find(config, "a.example", "/a/b/"), "long");
	EXPECT_EQ(find(config, "a.example", "/a/bc"), "short");
	EXPECT_EQ(find(config, "A.Example:80", "/a/x?y=/a/b/"), "short");
	EXPECT_EQ(find(config, "a.example", "/a"), "none");
	EXPECT_EQ(find(config, "b.example", "/a/b/c"), "none");
	EXPECT_EQ(find(config, "a.example",
		       ("/" + std::string(5000, 'x')).c_str()),
		  "none");
	mesh_config_unref(config);
}

/* Guards against a configuration with an invalid route that is put in force. */
TEST(View, InvalidConfigurationIsRefused)
{
	static const struct {
		const char *service;
		const char *prefix;
		int weight;
		const char *reason;
	} cases[] = {
		{ "other", "/b/", 1, "unknown service" },
		{ "shop", "/a/", 1, "duplicate prefix" },
		{ "shop", "/b/", 0, "sum of weights is not above 0" },
	};

	for (const auto &one : cases) {
		struct mesh_config *config = make_config();
		char *reason;

		add_route(config, "first", "/a/");
		add_route(config, "second", one.prefix, one.service,
			  one.weight);
		reason = mesh_config_finish(config);
		ASSERT_NE(reason, nullptr) << one.reason;
		EXPECT_NE(std::string(reason).find(one.reason),
			  std::string::npos)
			<< reason;
		g_free(reason);
		mesh_config_unref(config);
	}
}

struct mesh_target *make_target(const char *id, const char *address,
				int64_t revision, bool draining)
{
	struct mesh_target *target = g_new0(struct mesh_target, 1);

	target->refs = 1;
	target->id = g_strdup(id);
	target->service = g_strdup("shop");
	target->address = g_strdup(address);
	target->ip = g_strdup("10.0.0.1");
	target->zone = g_strdup("z1");
	target->revision = revision;
	target->draining = draining;
	return target;
}

/*
 * Guards against a former server that is taken for the current one of a reused
 * address, also where the current one is draining and the former one is not.
 */
TEST(View, LastRegisteredServerOfAnAddressIsCurrent)
{
	struct mesh_view *view = mesh_view_new(NULL);

	g_ptr_array_add(view->targets, make_target("old", "x:1", 5, false));
	g_ptr_array_add(view->targets, make_target("new", "x:1", 9, false));
	g_ptr_array_add(view->targets, make_target("older", "x:1", 4, true));
	EXPECT_STREQ(mesh_view_find_target(view, "x:1", "shop")->id, "new");
	g_ptr_array_add(view->targets, make_target("leaves", "x:1", 10, true));
	EXPECT_STREQ(mesh_view_find_target(view, "x:1", "shop")->id, "leaves");
	EXPECT_EQ(mesh_view_find_target(view, "x:1", "other"), nullptr);
	EXPECT_EQ(mesh_view_find_target(view, "x:2", "shop"), nullptr);
	mesh_view_unref(view);
}

TEST(View, DrainingServerOrZoneIsOutOfService)
{
	struct mesh_view *view = mesh_view_new(NULL);
	struct mesh_target *target = make_target("a", "x:1", 1, false);

	EXPECT_TRUE(mesh_view_in_service(view, target));
	g_hash_table_add(view->evacuated_zones, g_strdup("z1"));
	EXPECT_FALSE(mesh_view_in_service(view, target));
	g_hash_table_remove_all(view->evacuated_zones);
	target->draining = true;
	EXPECT_FALSE(mesh_view_in_service(view, target));
	mesh_target_unref(target);
	mesh_view_unref(view);
}

} // namespace

#include <gtest/gtest.h>

#include <string>

extern "C" {
#include "mesh/explain.h"
}

namespace
{

/* A route to two services; one has a server, in an evacuated zone. */
struct mesh_view *make_view()
{
	struct mesh_config *config = mesh_config_new();
	struct mesh_route *route = mesh_config_add_route(config);
	struct mesh_target *target = g_new0(struct mesh_target, 1);
	struct mesh_view *view;

	mesh_config_add_service(config, "shop")->health_path = g_strdup("/h");
	mesh_config_add_service(config, "docs")->health_path = g_strdup("/h");
	config->version = 7;
	route->name = g_strdup("orders");
	route->host = g_strdup("a.example");
	route->prefix = g_strdup("/o/");
	route->at_most_once = true;
	route->deadline_ms = 1200;
	route->objective_ms = 1200;
	route->attempts = 2;
	route->defaults = MESH_DEFAULT_OBJECTIVE;
	mesh_route_add_service(route, "shop", 9);
	mesh_route_add_service(route, "docs", 1);
	EXPECT_EQ(mesh_config_finish(config), nullptr);
	view = mesh_view_new(config);
	mesh_config_unref(config);
	target->refs = 1;
	target->id = g_strdup("i-1");
	target->service = g_strdup("shop");
	target->address = g_strdup("10.0.0.1:80");
	target->ip = g_strdup("10.0.0.1");
	target->zone = g_strdup("z1");
	g_ptr_array_add(view->targets, target);
	g_hash_table_add(view->evacuated_zones, g_strdup("z1"));
	return view;
}

std::string explain(const struct mesh_view *view, const char *host,
		    const char *path)
{
	const struct mesh_explain_query query = { host, path };
	json_t *explanation = mesh_explain(view, &query);
	GString *text = g_string_new(nullptr);
	std::string result;

	if (!explanation) {
		g_string_free(text, TRUE);
		return "none";
	}
	mesh_explain_print(explanation, text);
	result = text->str;
	g_string_free(text, TRUE);
	json_decref(explanation);
	return result;
}

bool has(const std::string &text, const char *line)
{
	return text.find(line) != std::string::npos;
}

/* Guards against a printed value or origin that requests aren't served with. */
TEST(Explain, PrintsEachValueAndItsOrigin)
{
	struct mesh_view *view = make_view();
	std::string text = explain(view, "a.example", "/o/1");

	EXPECT_TRUE(has(text, "route orders (host a.example, prefix /o/) in "
			      "version 7\n"));
	EXPECT_TRUE(has(text, "at_most_once     true       route orders\n"));
	EXPECT_TRUE(has(text, "objective_ms     1200       default\n"));
	EXPECT_TRUE(has(text, "attempts         2          route orders\n"));
	EXPECT_TRUE(has(text, "service shop: weight 9, 1 servers registered, "
			      "0 in service\n"));
	EXPECT_TRUE(has(text, "service docs: weight 1, 0 servers registered"));
	EXPECT_EQ(explain(view, "b.example", "/o/1"), "none");
	EXPECT_EQ(explain(view, "a.example", "/x/"), "none");
	mesh_view_unref(view);
}

TEST(Explain, ReturnsNullWithoutConfiguration)
{
	struct mesh_view *view = mesh_view_new(nullptr);

	EXPECT_EQ(explain(view, "a.example", "/o/1"), "none");
	mesh_view_unref(view);
}

} // namespace

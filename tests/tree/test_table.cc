#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <map>

#include "helpers.h"

/*
 * A tree whose key has a value at some of the levels: defaults, deployment,
 * zone of the ingress, zone of the target, service, route; 0 is none.
 */
static std::string tree_with_levels(const char *key, const int *values)
{
	auto policy = [&](int value) {
		return value ? "{\"" + std::string(key) +
				       "\":" + std::to_string(value) + "}"
			     : std::string("{}");
	};

	return "{\"version\":1,\"defaults\":" + policy(values[0]) +
	       ",\"deployments\":{\"d\":{\"override\":" + policy(values[1]) +
	       "}},\"zones\":{\"in\":{\"region\":\"r\",\"override\":" +
	       policy(values[2]) +
	       "},\"out\":{\"region\":\"r\",\"override\":" + policy(values[3]) +
	       "}},\"services\":{\"s\":{\"deployment\":\"d\",\"override\":" +
	       policy(values[4]) +
	       ",\"targets\":[{\"host\":\"h\",\"zone\":\"out\",\"traffic\":"
	       "\"127.0.0.1:1\"}],\"routes\":[{\"name\":\"r\",\"prefix\":\"/\","
	       "\"methods\":[\"GET\"],\"override\":" +
	       policy(values[5]) + "}]}}}";
}

/* Guards against levels that apply in another order than the documented one,
 * or to keys of the other side. */
TEST(Table, AppliesLevelsInOrder)
{
	const struct {
		int values[6];
		int expected;
	} caller_side[] = {
		{ { 0, 0, 0, 0, 0, 0 }, 2000 }, { { 1, 0, 0, 0, 0, 0 }, 1 },
		{ { 1, 2, 0, 0, 0, 0 }, 2 },	{ { 1, 2, 3, 0, 0, 0 }, 3 },
		{ { 1, 2, 0, 4, 0, 0 }, 2 }, /* the target's zone is ignored */
		{ { 1, 2, 3, 4, 5, 0 }, 5 },	{ { 1, 2, 3, 4, 5, 6 }, 6 },
		{ { 1, 0, 0, 0, 0, 6 }, 6 },
	};
	const struct {
		int values[6];
		int expected;
	} target_side[] = {
		{ { 0, 0, 0, 0, 0, 0 }, 10 },
		{ { 1, 0, 0, 0, 0, 0 }, 1 },
		{ { 1, 2, 0, 0, 0, 0 }, 2 },
		{ { 1, 2, 3, 0, 0, 0 }, 2 }, /* the ingress's zone is ignored */
		{ { 1, 2, 3, 4, 0, 0 }, 4 },
		{ { 1, 2, 3, 4, 5, 0 }, 5 },
	};

	for (const auto &c : caller_side) {
		auto tree = parse(tree_with_levels("deadline_ms", c.values));
		Table table = new_table(tree.value.get(), "in");

		EXPECT_EQ(table->services[0].routes[0].policy.deadline_ms,
			  c.expected);
	}
	for (const auto &c : target_side) {
		auto tree = parse(tree_with_levels("slots", c.values));
		Table table = new_table(tree.value.get(), "in");

		EXPECT_EQ(table->services[0].targets[0].policy.slots,
			  c.expected);
	}
}

/* Guards against a table that reads its tree after the tree is freed, and
 * against in_service of a zone that is not applied to its targets. */
TEST(Table, OutlivesItsTreeAndCombinesMarks)
{
	auto tree = parse(SMALL_TREE);
	Table table = new_table(tree.value.get(), "z1");

	tree.value.reset();
	const struct table_service *portal =
		table_find_service(table.get(), "portal");
	const struct table_service *docs =
		table_find_service(table.get(), "docs");
	ASSERT_TRUE(portal && docs);
	EXPECT_STREQ(portal->deployment, "d1");
	EXPECT_EQ(docs->deployment, nullptr);
	EXPECT_TRUE(table_find_target(portal, "h1")->in_service);
	EXPECT_FALSE(table_find_target(portal, "h2")->in_service);
	EXPECT_FALSE(table_find_target(docs, "h3")->in_service);
	EXPECT_STREQ(table_find_target(docs, "h3")->region, "r2");
	EXPECT_EQ(table_find_target(docs, "h1"), nullptr);
	EXPECT_EQ(table_find_service(table.get(), "por"), nullptr);
	EXPECT_TRUE(table_find_route(portal, "orders")->at_most_once);
	EXPECT_EQ(table_find_route(portal, "orders")->service, portal);
	EXPECT_EQ(table_find_route(portal, "files"), nullptr);
	EXPECT_GT(table_memory(table.get()), sizeof(struct table));
}

static std::string route_of(const struct table *table, enum http_method method,
			    const std::string &path)
{
	const struct table_route *route =
		table_match(table, method, path.c_str());

	return route ? route->name : "none";
}

/* Guards against matches inside a segment, and against a shorter prefix that
 * takes a request whose method the longest one lacks. */
TEST(Match, TakesTheLongestPrefixAtASegment)
{
	const struct {
		enum http_method method;
		const char *path;
		const char *route;
	} cases[] = {
		{ HTTP_METHOD_GET, "/portal", "pages" },
		{ HTTP_METHOD_GET, "/portal/", "pages" },
		{ HTTP_METHOD_GET, "/portal/x", "pages" },
		{ HTTP_METHOD_GET, "/portalx", "none" },
		{ HTTP_METHOD_GET, "/portal/ordersx", "pages" },
		{ HTTP_METHOD_GET, "/portal/orders", "status" },
		{ HTTP_METHOD_GET, "/portal/orders/7/lines", "status" },
		{ HTTP_METHOD_POST, "/portal/orders", "orders" },
		{ HTTP_METHOD_POST, "/portal/orders/7", "orders" },
		{ HTTP_METHOD_POST, "/portal", "none" },
		{ HTTP_METHOD_DELETE, "/portal/orders", "none" },
		{ HTTP_METHOD_HEAD, "/docs/a", "files" },
		{ HTTP_METHOD_GET, "/", "none" },
		{ HTTP_METHOD_GET, "", "none" },
		{ HTTP_METHOD_GET, "//portal", "none" },
		{ HTTP_METHOD_OPTIONS, "*", "none" },
	};
	auto tree = parse(SMALL_TREE);
	Table table = new_table(tree.value.get(), nullptr);

	for (const auto &c : cases)
		EXPECT_EQ(route_of(table.get(), c.method, c.path), c.route)
			<< http_method_name(c.method) << " " << c.path;
}

/* Guards against a look-up that fails on a table without any route. */
TEST(Match, FindsNothingWithoutRoutes)
{
	auto tree = parse(R"({"version":1,"services":{"a":{}}})");
	Table table = new_table(tree.value.get(), nullptr);

	EXPECT_EQ(route_of(table.get(), HTTP_METHOD_GET, "/a/b"), "none");
}

static std::string any_path(int max_segments)
{
	int nr = *rc::gen::inRange(0, max_segments + 1);
	std::string path;

	for (int i = 0; i < nr; i++)
		path += "/" + *rc::gen::element<std::string>("a", "b", "ab");
	return path.empty() ? "/" : path;
}

/* Guards against an index that does not find the longest prefix that ends at a
 * segment, with a scan over all prefixes as the reference model. */
RC_GTEST_PROP(Match, AgreesWithLinearScan, ())
{
	const char *const methods[] = { "GET", "POST" };
	std::map<std::pair<std::string, int>, std::string> routes;
	std::string text = "{\"version\":1,\"services\":{\"s\":{\"routes\":[";
	int nr = *rc::gen::inRange(0, 20);

	for (int i = 0; i < nr; i++) {
		std::string prefix = any_path(3);
		int method = *rc::gen::inRange(0, 2);
		std::string name = "r" + std::to_string(i);

		if (!routes.insert({ { prefix, method }, name }).second)
			continue;
		text += std::string(routes.size() > 1 ? "," : "") +
			"{\"name\":\"" + name + "\",\"prefix\":\"" + prefix +
			"\",\"methods\":[\"" + methods[method] + "\"]}";
	}
	auto tree = parse(text + "]}}}");
	RC_ASSERT((bool)tree.value);
	Table table = new_table(tree.value.get(), nullptr);
	for (int i = 0; i < 20; i++) {
		std::string path = any_path(5);
		int method = *rc::gen::inRange(0, 2);
		std::string longest;

		for (const auto &route : routes) {
			const std::string &prefix = route.first.first;

			if ((prefix == "/" || path == prefix ||
			     path.rfind(prefix + "/", 0) == 0) &&
			    prefix.size() > longest.size())
				longest = prefix;
		}
		auto found = routes.find({ longest, method });
		RC_ASSERT(route_of(table.get(),
				   method ? HTTP_METHOD_POST : HTTP_METHOD_GET,
				   path) ==
			  (found == routes.end() ? "none" : found->second));
	}
}

#include <gtest/gtest.h>

#include <pthread.h>
#include <string>
#include <unistd.h>
#include <vector>

extern "C" {
#include "platform/platform.h"
}

namespace
{

GBytes *bytes(const std::string &text)
{
	return g_bytes_new(text.data(), text.size());
}

const char GOOD_CONFIG[] = R"({"resource_version":"r7",
"routes":{"columns":["name","hostname","path_prefix","kind","timeout",
"target_latency","priority","service","attempts","traffic_split"],
"rows":[["orders","A.example","/o/","non_idempotent","1200ms","500ms",1,"shop",
2,null],
["stock","a.example","/s/","idempotent","1s","0.4s",2,null,3,
[{"service":"shop","weight":90},{"service":"docs","weight":10}]],
["packs","a.example","/p/","download","1s",null,null,"docs",null,null]]},
"services":{"columns":["name","health_path","max_connections","warmup_per_s"],
"rows":[["shop","/healthz",130,16.5],["docs","/healthz",110,16]]},
"limits":{"max_header_bytes":1000,"max_body_bytes":2000,
"header_timeout":"3000ms","idle_timeout":"15s"}})";

/*
 * Guards against a restricted route being decoded as open to all regions, and
 * against its regions being applied to other routes.
 */
TEST(PlatformConfig, RegionsOfARouteAreDecoded)
{
	std::string text = GOOD_CONFIG;
	g_autofree char *reason = NULL;
	struct mesh_config *config;
	const struct mesh_route *route;

	text.replace(text.find("\"traffic_split\"]"), 16,
		     "\"traffic_split\",\"allowed_regions\"]");
	text.replace(text.find("2,null],"), 8, "2,null,[\"r1\",\"r2\"]],");
	g_autoptr(GBytes) value = bytes(text);
	config = platform_decode_config(value, &reason);
	ASSERT_NE(config, nullptr) << reason;
	route = mesh_config_find_route(config, "a.example", "/o/1");
	ASSERT_NE(route->regions, nullptr);
	EXPECT_STREQ(route->regions[1], "r2");
	EXPECT_EQ(route->regions[2], nullptr);
	route = mesh_config_find_route(config, "a.example", "/s/1");
	EXPECT_EQ(route->regions, nullptr);
	mesh_config_unref(config);
}

/*
 * Guards against organisations whose values are swapped, and against a key that
 * finds no organisation or that of another.
 */
TEST(PlatformConfig, OrganisationsAreDecoded)
{
	std::string text = GOOD_CONFIG;
	const struct mesh_organisation *found;
	g_autofree char *reason = NULL;
	struct mesh_config *config;
	struct digest digest;

	text.back() = ',';
	text += R"("tenants":{"columns":["name","api_keys","priority",
"rate_per_s","burst"],"rows":[["o1",["k1","k2"],1,261,40],
["o2",["k3"],0,null,null]]}})";
	g_autoptr(GBytes) value = bytes(text);
	config = platform_decode_config(value, &reason);
	ASSERT_NE(config, nullptr) << reason;
	digest_compute(&digest, "k2", 2);
	found = mesh_organisations_find_key(config->organisations, &digest);
	ASSERT_NE(found, nullptr);
	EXPECT_STREQ(found->name, "o1");
	EXPECT_EQ(found->priority, 1);
	EXPECT_EQ(found->rate_per_s, 261);
	EXPECT_EQ(found->burst, 40);
	digest_compute(&digest, "k3", 2);
	found = mesh_organisations_find_key(config->organisations, &digest);
	ASSERT_NE(found, nullptr);
	EXPECT_STREQ(found->name, "o2");
	EXPECT_EQ(found->rate_per_s, 0);
	digest_compute(&digest, "k", 1);
	EXPECT_EQ(mesh_organisations_find_key(config->organisations, &digest),
		  nullptr);
	mesh_config_unref(config);
}

/*
 * Guards against a configuration in which a key or a name is ambiguous, or a
 * name can't be sent, and against an error message that shows a key.
 */
TEST(PlatformConfig, AmbiguousOrganisationsAreRefused)
{
	const char *const rows[] = {
		R"(["o1",["k1"]],["o2",["k1"]])",
		R"(["o1",[]],["o1",[]])",
		R"(["o1",[""]])",
		R"(["a\r\nb",[]])",
		R"(["o1","k1"])",
		R"(["o1",["k1"],0,-1])",
	};

	for (const char *row : rows) {
		std::string text = GOOD_CONFIG;
		g_autofree char *reason = NULL;

		text.back() = ',';
		text += R"("tenants":{"columns":["name","api_keys","priority",
"rate_per_s","burst"],"rows":[)" +
			std::string(row) + "]}}";
		g_autoptr(GBytes) value = bytes(text);
		EXPECT_EQ(platform_decode_config(value, &reason), nullptr)
			<< row;
		ASSERT_NE(reason, nullptr);
		EXPECT_EQ(strstr(reason, "k1"), nullptr);
	}
}

/* Guards against fields that are dropped, converted wrongly or swapped. */
TEST(PlatformConfig, DecodesAllFields)
{
	g_autoptr(GBytes) value = bytes(GOOD_CONFIG);
	g_autofree char *reason = NULL;
	struct mesh_config *config = platform_decode_config(value, &reason);
	const struct mesh_service *shop;
	const struct mesh_route *route;

	ASSERT_NE(config, nullptr) << reason;
	EXPECT_EQ(config->version, 7);
	EXPECT_EQ(config->limits.head_max_bytes, 1000);
	EXPECT_EQ(config->limits.idle_wait_ms, 15000);
	shop = (const struct mesh_service *)
		g_hash_table_lookup(config->services, "shop");
	EXPECT_DOUBLE_EQ(shop->cold_per_s, 16.5);
	route = mesh_config_find_route(config, "a.example", "/o/1");
	EXPECT_TRUE(route->at_most_once);
	EXPECT_EQ(route->deadline_ms, 1200);
	EXPECT_EQ(route->objective_ms, 500);
	route = mesh_config_find_route(config, "a.example", "/s/1");
	EXPECT_FALSE(route->at_most_once);
	EXPECT_FALSE(route->long_answers);
	EXPECT_EQ(route->attempts, 3);
	EXPECT_EQ(route->defaults, 0u);
	ASSERT_EQ(route->nr_services, 2u);
	EXPECT_EQ(route->services[1].weight, 10);
	route = mesh_config_find_route(config, "a.example", "/p/1");
	EXPECT_FALSE(route->at_most_once);
	EXPECT_TRUE(route->long_answers);
	EXPECT_EQ(route->attempts, 1);
	EXPECT_EQ(route->objective_ms, 1000);
	EXPECT_EQ(route->defaults, MESH_DEFAULT_OBJECTIVE |
					   MESH_DEFAULT_PRIORITY |
					   MESH_DEFAULT_ATTEMPTS);
	mesh_config_unref(config);
}

/* Guards against a configuration with one fault being used in part. */
TEST(PlatformConfig, RefusesConfigWithOneFault)
{
	static const struct {
		const char *from, *to;
	} cases[] = {
		{ "\"r7\"", "7" },
		{ "\"r7\"", "\"r-7\"" },
		{ "\"1200ms\"", "1200" },
		{ "\"1200ms\"", "\"1200\"" },
		{ "\"1200ms\"", "null" },
		{ "\"/o/\"", "null" },
		{ "\"non_idempotent\"", "null" },
		{ "{\"service\":\"docs\",\"weight\":10}", "{\"service\":1}" },
		{ "\"weight\":10", "\"weight\":1e300" },
		{ "\"1200ms\"", "\"1e300s\"" },
		{ "\"service\":\"docs\",", "\"service\":\"none\"," },
		{ "\"services\":", "\"service\":" },
		{ "]]},\n\"services\"", "]],\n\"services\"" },
	};

	for (const auto &test_case : cases) {
		std::string text = GOOD_CONFIG;
		size_t at = text.find(test_case.from);
		g_autofree char *reason = NULL;

		ASSERT_NE(at, std::string::npos) << test_case.from;
		text.replace(at, strlen(test_case.from), test_case.to);
		g_autoptr(GBytes) value = bytes(text);
		EXPECT_EQ(platform_decode_config(value, &reason), nullptr)
			<< test_case.from << " -> " << test_case.to;
		EXPECT_NE(reason, nullptr);
	}
}

/* Guards against retries of a request whose kind may not be idempotent. */
TEST(PlatformConfig, UnknownKindRunsAtMostOnce)
{
	std::string text = GOOD_CONFIG;
	g_autofree char *reason = NULL;
	struct mesh_config *config;

	text.replace(text.find("\"download\""), strlen("\"download\""),
		     "\"odd\"");
	g_autoptr(GBytes) value = bytes(text);
	config = platform_decode_config(value, &reason);
	ASSERT_NE(config, nullptr);
	EXPECT_TRUE(mesh_config_find_route(config, "a.example", "/p/")
			    ->at_most_once);
	mesh_config_unref(config);
}

const char GOOD_ENTRY[] = R"({"service":"shop","address":"10.0.0.9:8080",
"zone":"z1","resource_version":"v1","max_concurrency":9,"phase":"ready",
"warmup_left":"1.5s","sequence":4,"born":1700000000000})";

/* Guards against fields that are dropped, converted wrongly or swapped. */
TEST(PlatformTarget, DecodesAllFields)
{
	g_autoptr(GBytes) value = bytes(GOOD_ENTRY);
	struct mesh_target *target = platform_decode_target("i-1", value);

	ASSERT_NE(target, nullptr);
	EXPECT_STREQ(target->id, "i-1");
	EXPECT_STREQ(target->ip, "10.0.0.9");
	EXPECT_EQ(target->slots, 9);
	EXPECT_EQ(target->cold_left_ms, 1500);
	EXPECT_EQ(target->started_ms, 1700000000000);
	EXPECT_FALSE(target->draining);
	mesh_target_unref(target);
}

/*
 * Guards against requests being sent to a server whose registration is
 * malformed, or in a phase other than ready and draining.
 */
TEST(PlatformTarget, RefusesMalformedEntries)
{
	static const struct {
		const char *from, *to;
	} cases[] = {
		{ "\"ready\"", "\"sleeping\"" },
		{ "\"ready\"", "1" },
		{ "\"shop\"", "null" },
		{ "\"10.0.0.9:8080\"", "\"example:8080\"" },
		{ "\"10.0.0.9:8080\"", "\"10.0.0.9\"" },
		{ "\"z1\"", "5" },
		{ "9,\"phase\"", "\"9\",\"phase\"" },
		{ "9,\"phase\"", "0,\"phase\"" },
		{ "\"1.5s\"", "1.5" },
		{ "\"1.5s\"", "\"-1s\"" },
		{ "\"sequence\":4", "\"sequence\":\"4\"" },
		{ "1700000000000", "1.5" },
		{ "{", "" },
		{ "9,\"phase\"", "4294967297,\"phase\"" },
		{ "9,\"phase\"", "2147483647,\"phase\"" },
		{ "9,\"phase\"", "99999999999999999999,\"phase\"" },
		{ "9,\"phase\"", "1e999,\"phase\"" },
		{ "\"1.5s\"", "\"1e300s\"" },
		{ "\"1.5s\"", "\"infs\"" },
		{ "\"1.5s\"", "\"nans\"" },
		{ ":8080", ":0" },
		{ ":8080", ":65536" },
		{ ":8080", ":4294975376" },
		{ ":8080", ":-1" },
		{ "10.0.0.9", "[::1]" },
		{ "10.0.0.9", "10.0.0.256" },
	};

	for (const auto &test_case : cases) {
		std::string text = GOOD_ENTRY;
		size_t at = text.find(test_case.from);

		ASSERT_NE(at, std::string::npos) << test_case.from;
		text.replace(at, strlen(test_case.from), test_case.to);
		g_autoptr(GBytes) value = bytes(text);
		EXPECT_EQ(platform_decode_target("i-1", value), nullptr)
			<< test_case.from << " -> " << test_case.to;
	}
}

/* Guards against an id that ends the header field in which it is sent. */
TEST(PlatformTarget, RefusesIdsThatAreNoToken)
{
	g_autoptr(GBytes) value = bytes(GOOD_ENTRY);

	for (const char *id : { "", "i 1", "i\r\nX-Other: 1", "i\xc3\xa4" })
		EXPECT_EQ(platform_decode_target(id, value), nullptr) << id;
}

/*
 * Guards against numbers beyond the range of their type that become others in a
 * configuration.
 */
TEST(PlatformConfig, NumbersOutOfRangeStayAtItsEnd)
{
	std::string text = GOOD_CONFIG;
	g_autofree char *reason = NULL;
	struct mesh_config *config;
	const struct mesh_route *route;

	text.replace(text.find("1,\"shop\",\n2"), 10,
		     "4294967296,\"shop\",\n4294967298");
	text.replace(text.find("1000,"), 4, "-1");
	g_autoptr(GBytes) value = bytes(text);
	config = platform_decode_config(value, &reason);
	ASSERT_NE(config, nullptr) << reason;
	route = mesh_config_find_route(config, "a.example", "/o/1");
	EXPECT_EQ(route->priority, G_MAXINT);
	EXPECT_EQ(route->attempts, G_MAXINT);
	EXPECT_EQ(config->limits.head_max_bytes, 16384);
	mesh_config_unref(config);
}

/* Decodes a text as a registration and as a configuration. */
void *decode_value(void *arg)
{
	g_autofree char *reason = NULL;
	GBytes *value = (GBytes *)arg;

	EXPECT_EQ(platform_decode_target("i-1", value), nullptr);
	EXPECT_EQ(platform_decode_config(value, &reason), nullptr);
	return nullptr;
}

/*
 * Guards against an entry of another writer whose nesting ends the daemons of
 * all hosts: they parse it on a thread with a stack of 256 KiB.
 */
TEST(PlatformTarget, DeeplyNestedEntryNamesNoServer)
{
	std::string text = "{\"service\":";
	pthread_attr_t attr;
	pthread_t thread;

	for (int i = 0; i < 2040; i++)
		text += "{\"a\":";
	text += "1" + std::string(2041, '}');
	g_autoptr(GBytes) value = bytes(text);
	pthread_attr_init(&attr);
	pthread_attr_setstacksize(&attr, 256 * 1024);
	ASSERT_EQ(pthread_create(&thread, &attr, decode_value, value), 0);
	pthread_join(thread, nullptr);
	pthread_attr_destroy(&attr);
}

/* Guards against an item being decoded as one of another kind. */
TEST(PlatformItem, KindFollowsFromKey)
{
	const char *name;

	EXPECT_EQ(platform_item_kind("op/config", &name), PLATFORM_ITEM_CONFIG);
	EXPECT_EQ(platform_item_kind("op/evacuate/z1", &name),
		  PLATFORM_ITEM_EVACUATED_ZONE);
	EXPECT_STREQ(name, "z1");
	EXPECT_EQ(platform_item_kind("servers/i-1", &name),
		  PLATFORM_ITEM_TARGET);
	EXPECT_STREQ(name, "i-1");
	EXPECT_EQ(platform_item_kind("op/other", &name), PLATFORM_ITEM_OTHER);
}

struct platform_page *parse(const std::string &text)
{
	g_autoptr(GByteArray) body = g_byte_array_new();

	g_byte_array_append(body, (const guint8 *)text.data(),
			    (guint)text.size());
	return platform_parse_page(body);
}

/* Guards against a deleted item being decoded as one with an empty value. */
TEST(PlatformStore, DecodesPages)
{
	struct platform_page *page = parse(
		R"({"events":[{"key":"a","value":"bm9kZS0x","revision":4},
		{"key":"b","revision":5,"deleted":true}],"at":9})");

	ASSERT_NE(page, nullptr);
	ASSERT_EQ(page->changes->len, 2u);
	auto *first =
		(struct platform_change *)g_ptr_array_index(page->changes, 0);
	auto *second =
		(struct platform_change *)g_ptr_array_index(page->changes, 1);
	EXPECT_EQ(g_bytes_get_size(first->value), 6u);
	EXPECT_EQ(first->revision, 4);
	EXPECT_EQ(second->value, nullptr);
	EXPECT_EQ(page->revision, 9);
	EXPECT_FALSE(page->has_more);
	platform_page_free(page);
}

/*
 * Guards against a key that no server has and that hides all other items of its
 * page, or replaces the item whose key it begins with.
 */
TEST(PlatformStore, KeyWithANulIsPassedOver)
{
	struct platform_page *page = parse(
		R"({"items":[{"key":"servers/i-1\u0000x","revision":4},
		{"key":"servers/i-2","revision":5}],"at":9})");

	ASSERT_NE(page, nullptr);
	ASSERT_EQ(page->changes->len, 1u);
	EXPECT_STREQ(((struct platform_change *)g_ptr_array_index(page->changes,
								  0))
			     ->key,
		     "servers/i-2");
	platform_page_free(page);
}

/* Guards against a malformed response being taken for an empty page. */
TEST(PlatformStore, RefusesMalformedResponses)
{
	for (const char *text :
	     { "", "[]", "{}", R"({"items":[]})", R"({"items":[{}],"at":1})",
	       R"({"items":[{"key":"a"}],"at":1})", R"({"events":7,"at":1})" })
		EXPECT_EQ(parse(text), nullptr) << text;
}

/* Guards against an era that is taken from a value of another form. */
TEST(PlatformStore, DecodesTheEra)
{
	struct http_message *response = http_message_new();
	struct {
		const char *text;
		int64_t era;
	} cases[] = { { nullptr, -1 },	{ "0", 0 },	{ "7", 7 },
		      { "", -1 },	{ "+7", -1 },	{ "-1", -1 },
		      { "7.0", -1 },	{ "7, 8", -1 }, { "8388607", 8388607 },
		      { "8388608", -1 } };

	EXPECT_EQ(platform_field_roles.find("store-era"), HTTP_ROLE_STORE_ERA);
	EXPECT_TRUE(platform_field_roles.is_forwarded(HTTP_ROLE_STORE_ERA));
	for (const auto &one : cases) {
		g_free(response->values[HTTP_ROLE_STORE_ERA]);
		response->values[HTTP_ROLE_STORE_ERA] = g_strdup(one.text);
		EXPECT_EQ(platform_response_era(response), one.era) << one.text;
	}
	http_message_free(response);
}

/* Guards against revisions that reach into the era of a position. */
TEST(PlatformStore, PageTakesItsEra)
{
	struct platform_page *page = parse(
		R"({"events":[{"key":"a","value":"","revision":4}],"at":9})");
	struct platform_page *far =
		parse(R"({"events":[],"at":1099511627776})");

	ASSERT_TRUE(platform_page_set_era(page, 3));
	EXPECT_EQ(page->revision, (INT64_C(3) << 40) + 9);
	EXPECT_EQ(((struct platform_change *)g_ptr_array_index(page->changes,
							       0))
			  ->revision,
		  (INT64_C(3) << 40) + 4);
	EXPECT_FALSE(platform_page_set_era(far, 0));
	platform_page_free(page);
	platform_page_free(far);
}

/* Guards against an entry of a copy that counts as one of its server. */
TEST(PlatformStore, KnowsEntriesOfTheSameStart)
{
	auto is_known = [](const char *known, const char *value) {
		g_autoptr(GBytes) a = g_bytes_new(known, strlen(known));
		g_autoptr(GBytes) b = g_bytes_new(value, strlen(value));

		struct entry_order from, to;

		return platform_entry_order(a, &from) &&
		       platform_entry_order(b, &to) &&
		       entry_order_compare(&from, &to) == ENTRY_FORMER;
	};
	const char *known = R"({"born":5,"sequence":7})";

	EXPECT_TRUE(is_known(known, R"({"born":5,"sequence":7})"));
	EXPECT_TRUE(is_known(known, R"({"born":5,"sequence":6})"));
	EXPECT_FALSE(is_known(known, R"({"born":5,"sequence":8})"));
	EXPECT_FALSE(is_known(known, R"({"born":6,"sequence":1})"));
	EXPECT_FALSE(is_known(known, R"({"born":5})"));
	EXPECT_FALSE(is_known("", known));
}

std::string write_settings(const std::string &text)
{
	char path[] = "/tmp/test-platform-XXXXXX";
	int fd = mkstemp(path);

	EXPECT_EQ(write(fd, text.data(), text.size()), (ssize_t)text.size());
	close(fd);
	return path;
}

const char GOOD_SETTINGS[] = "node=n1\nzone=z1\nregion=r1\nip=10.1.0.35\n"
			     "service=shop\napp_addr=10.1.0.35:8147\n"
			     "listen.egress=10.1.0.35:8141\n"
			     "listen.ingress=10.1.0.35:8145\n"
			     "listen.readiness=10.1.0.35:8140\n"
			     "provider.address=10.200.1.7:8142\n"
			     "port_range=7660,7675\nseed_nodes=\nnew.field=1\n"
			     "zones.z1=r1\nzones.z2=r2\nbootstrap=true\n"
			     "bounds.grace=6s\nbounds.retry_budget_ratio=0.2\n";

/* Guards against fields that are dropped, converted wrongly or swapped. */
TEST(PlatformSettings, DecodesAllFields)
{
	std::string path = write_settings(GOOD_SETTINGS);
	struct findings findings;
	struct mesh_host *host;

	findings_init(&findings);
	host = platform_settings_read(path.c_str(), &findings);
	ASSERT_NE(host, nullptr);
	EXPECT_EQ(host->callers.port, 8141u);
	EXPECT_STREQ(mesh_host_region(host, "z2"), "r2");
	EXPECT_TRUE(host->first_start);
	EXPECT_STREQ(mesh_host_region(host, "unknown"), "r1");
	EXPECT_EQ(host->peers.port, 8145u);
	EXPECT_EQ(host->control.port, 7660u);
	EXPECT_EQ(host->operators.port, 7661u);
	EXPECT_EQ(host->stop_grace_ms, 6000);
	EXPECT_DOUBLE_EQ(host->retry_ratio, 0.2);
	mesh_host_free(host);
	unlink(path.c_str());
}

/* Guards against a report that ends with the first fault of a file. */
TEST(PlatformSettings, ReportsAllFaultsTogether)
{
	std::string path = write_settings("node=n1\nzone=z1\nbounds.grace=6\n"
					  "listen.egress=nowhere\n");
	struct findings findings;

	findings_init(&findings);
	EXPECT_EQ(platform_settings_read(path.c_str(), &findings), nullptr);
	EXPECT_GE(findings.nr_errors, 8u);
	findings_release(&findings);
	EXPECT_EQ(platform_settings_read("/nonexistent", &findings), nullptr);
	findings_release(&findings);
	unlink(path.c_str());
}

/* The errors of settings in which one line is replaced, as "KEY: MESSAGE". */
std::string settings_errors(const std::string &line,
			    const std::string &replacement)
{
	std::string text = GOOD_SETTINGS, errors, path;
	struct findings findings;
	struct finding *finding;

	text.replace(text.find(line), line.size(), replacement);
	path = write_settings(text);
	findings_init(&findings);
	EXPECT_EQ(platform_settings_read(path.c_str(), &findings), nullptr)
		<< replacement;
	cds_list_for_each_entry (finding, &findings.list, node)
		errors += std::string(finding->path) + ": " + finding->message +
			  "\n";
	findings_release(&findings);
	unlink(path.c_str());
	return errors;
}

/*
 * Guards against a range of ports of which only the first is checked, and
 * against a wrong address that is reported as a wrong range.
 */
TEST(PlatformSettings, ChecksPortsAndAddressEachUnderItsKey)
{
	const std::string range = "port_range=7660,7675";

	for (const char *wrong :
	     { "7660", "7660,", "x,7675", "7660,70000", "0,9", "7660,7675x" })
		EXPECT_EQ(settings_errors(range,
					  std::string("port_range=") + wrong),
			  "port_range: not FIRST,LAST\n")
			<< wrong;
	EXPECT_EQ(settings_errors(range, "port_range=7660,7660"),
		  "port_range: has too few ports\n");
	EXPECT_EQ(settings_errors("ip=10.1.0.35\n", "ip=host\n"),
		  "ip: not an IP number\n");
}

/* Guards against load reports that are malformed and taken for figures. */
TEST(PlatformLoad, DecodesThreeOrFourFiguresOnly)
{
	struct platform_load load = {};

	ASSERT_TRUE(platform_decode_load("3,1,13", &load));
	EXPECT_EQ(load.running, 3);
	EXPECT_EQ(load.waiting, 1);
	EXPECT_EQ(load.slots, 13);
	EXPECT_EQ(load.pace_percent, 100);
	ASSERT_TRUE(platform_decode_load("0, 0, 4, 250", &load));
	EXPECT_EQ(load.pace_percent, 250);
	for (const char *wrong :
	     { "", "3", "3,1", "3,1,", "3,1,0", "3,1,13,0", "3,1,13,100,5",
	       "-3,1,13", "3,1,13,x", "3;1;13", "3,1,99999999" })
		EXPECT_FALSE(platform_decode_load(wrong, &load)) << wrong;
	EXPECT_FALSE(platform_decode_load(NULL, &load));
	EXPECT_EQ(load.pace_percent, 250);
}

} // namespace

#include "platform.h"

#include <atomic>
#include <map>
#include <thread>

extern "C" {
#include "base/clock.h"
}

namespace
{

const char *const KEY = "7yx5x42q492cqf75rjvz";
const char *const OTHER_KEY = "48wuakn2ftimaj3nr26t";

std::string key_field(const std::string &key)
{
	return "X-Key: " + key + "\r\n";
}

/* Two organisations without a quota. */
std::string two_organisations()
{
	return R"(["huka270",[")" + std::string(KEY) +
	       R"("],1,0,0],["tern3",[")" + OTHER_KEY + R"("],1,0,0])";
}

/* The host whose server ran a request last, of those with a run; -1: none. */
int host_with_run(Platform &in)
{
	for (size_t i = 0; i < in.hosts.size(); i++)
		if (in.runs((int)i))
			return (int)i;
	return -1;
}

/*
 * Guards against a request that is served without a valid key. Each case is
 * answered 401, and none runs.
 */
TEST(Organisations, RequestWithoutAValidKeyIsRefused)
{
	Platform in(1, { "--service-ms", "2" });
	const std::string key = KEY;
	std::string upper = key;
	const std::vector<std::string> cases = {
		"",
		"X-Key:\r\n",
		"X-Key:   \r\n",
		key_field("unknown"),
		key_field(key.substr(0, key.size() - 1)),
		key_field(key + "x"),
		key_field("7YX5X42Q492CQF75RJVZ"),
		key_field(key + "," + OTHER_KEY),
		key_field(key + ", " + key),
		key_field(key) + key_field(key),
		key_field("unknown") + key_field(key),
		key_field("\xc3\xa9" + key),
		key_field(key + "\xff"),
		key_field("Bearer " + key),
	};

	in.organisations = two_organisations();
	in.start_all();
	for (const std::string &fields : cases)
		EXPECT_EQ(in.send_with_fields(0, "GET", "/stock/1", fields)
				  .status,
			  401)
			<< fields;
	EXPECT_EQ(in.runs(0), 0u);
	EXPECT_EQ(in.send_with_fields(0, "GET", "/stock/1", key_field(key))
			  .status,
		  200);
	EXPECT_EQ(in.send_with_fields(0, "GET", "/none/1", "").status, 404);
}

/*
 * Guards against a server that gets a forged organisation or the caller's key,
 * on the same host and over a second hop.
 */
TEST(Organisations, ServerGetsTheOrganisationAndNoKey)
{
	Platform in(4, { "--service-ms", "2" });
	int host;

	in.organisations = two_organisations();
	in.start_all();
	/* Host 3 is of another service, so the request leaves the host. */
	for (int from : { 3, 0 }) {
		EXPECT_EQ(in.send_with_fields(from, "POST", "/orders/1",
					      key_field(KEY) +
						      "X-Tenant: tern3\r\n"
						      "x-tenant: other\r\n")
				  .status,
			  200);
		host = host_with_run(in);
		ASSERT_GE(host, 0);
		EXPECT_EQ(in.last_run(host, "organisation"), "huka270");
		EXPECT_EQ(in.last_run(host, "key"), "");
		EXPECT_EQ(in.last_run(host, "other"), "kept");
	}
}

/*
 * Guards against an anonymous route that asks for a key or trusts a claimed
 * organisation, and against trust in the server's address, which callers on
 * its host may share.
 */
TEST(Organisations, AnonymousRequestsAndCallsHaveNoOrganisation)
{
	Platform in(1, { "--service-ms", "2" });
	const std::string forged = "X-Tenant: tern3\r\n" + key_field(OTHER_KEY);

	in.organisations = two_organisations();
	in.start_all();
	in.publish_config(2, R"(,["open","mesh.example","/open/","idempotent",
"3s","1s",2,"shop",2,true])");
	ASSERT_TRUE(eventually([&] {
		return in.send_with_fields(0, "GET", "/open/1", forged)
			       .status == 200;
	}));
	EXPECT_EQ(in.last_run(0, "organisation"), "");
	EXPECT_EQ(in.last_run(0, "key"), "");
	EXPECT_EQ(in.call_from_server(0, "/open/2", forged).status, 200);
	EXPECT_EQ(in.last_run(0, "organisation"), "");
	EXPECT_EQ(in.last_run(0, "key"), "");
	EXPECT_EQ(in.call_from_server(0, "/stock/1", "").status, 401);
}

/*
 * Guards against a change for deployments without organisations, and against
 * messages about quotas there.
 */
TEST(Organisations, WithoutOrganisationsTheFieldsAreForwarded)
{
	Platform in(2, { "--service-ms", "2" });

	in.start_all();
	for (int i = 0; i < 20; i++) {
		EXPECT_EQ(
			in.send_with_fields(i % 2, "GET", "/stock/1",
					    "X-Tenant: any\r\nX-Key: mine\r\n")
				.status,
			200);
	}
	for (int i = 0; i < 2; i++) {
		if (in.runs(i)) {
			EXPECT_EQ(in.last_run(i, "organisation"), "any");
			EXPECT_EQ(in.last_run(i, "key"), "mine");
		}
		EXPECT_NE(call(in.hosts[(size_t)i].operators, "GET", "/metrics")
				  .body.find("godwitspur_quota_asks_total 0\n"),
			  std::string::npos);
	}
}

/* Guards against a 401 of a daemon that cannot know any key yet. */
TEST(Organisations, DaemonWithoutConfigurationAnswers503)
{
	Platform in(1);

	in.start_daemon(0);
	EXPECT_EQ(in.send_with_fields(0, "GET", "/stock/1", key_field(KEY))
			  .status,
		  503);
}

/* Guards against a key in the logs, the state dump or the metrics. */
TEST(Organisations, KeysAreNotShown)
{
	Platform in(1, { "--service-ms", "2" });

	in.organisations = two_organisations();
	/* The daemon inherits the redirected output. */
	testing::internal::CaptureStdout();
	in.start_all();
	in.send_with_fields(0, "GET", "/stock/1", key_field(KEY));
	in.send_with_fields(0, "GET", "/stock/1", key_field("wrong-key"));
	for (const char *path :
	     { "/dump", "/metrics", "/explain?host=mesh.example&path=/stock/" })
		EXPECT_EQ(
			call(in.hosts[0].operators, "GET", path).body.find(KEY),
			std::string::npos)
			<< path;
	const std::string text = testing::internal::GetCapturedStdout();

	EXPECT_NE(text.find("reason=key-unknown"), std::string::npos);
	EXPECT_EQ(text.find(KEY), std::string::npos);
	EXPECT_EQ(text.find("wrong-key"), std::string::npos);
}

/* Sends requests with a key through hosts in turn; the statuses by count. */
std::map<int, int> send_many(Platform &in, int nr, const char *key,
			     const char *path = "/stock/1",
			     const std::vector<int> &hosts = { 0 })
{
	std::map<int, int> statuses;

	for (int i = 0; i < nr; i++) {
		CallerAnswer answer =
			in.send_with_fields(hosts[(size_t)i % hosts.size()],
					    "GET", path, key_field(key));

		statuses[answer.status]++;
		if (answer.status == 429) {
			EXPECT_GT(atof(answer.retry_after.c_str()), 0);
			EXPECT_LT(atof(answer.retry_after.c_str()), 5);
		}
	}
	return statuses;
}

/* One organisation of 20 requests/s, a second one without a limit. */
std::string limited_organisation()
{
	return R"(["huka270",[")" + std::string(KEY) +
	       R"("],1,20,20],["tern3",[")" + OTHER_KEY + R"("],1,0,0])";
}

/*
 * Guards against an organisation that exceeds its quota by using several
 * daemons, against a refusal within the quota, and against one organisation's
 * excess that affects another.
 */
TEST(Organisations, QuotaHoldsOverAllDaemons)
{
	Platform in(3, { "--service-ms", "1" });
	std::map<int, int> few, many, other;
	int64_t start;
	double allowed, seconds;

	in.organisations = limited_organisation();
	in.start_all();
	usleep(2500000); /* the buckets fill */
	for (int i = 0; i < 10; i++) {
		few = send_many(in, 1, KEY, "/stock/1", { i % 3 });
		EXPECT_EQ(few[200], 1) << i;
		usleep(60000);
	}
	start = clock_monotonic_ns();
	many = send_many(in, 400, KEY, "/stock/1", { 0, 1, 2 });
	seconds = (double)(clock_monotonic_ns() - start) / 1e9;
	allowed = (20 * seconds + 20) * 1.25 + 20;
	EXPECT_LE(many[200], allowed) << seconds;
	EXPECT_GE(many[200], 10);
	EXPECT_EQ(many[200] + many[429], 400);
	other = send_many(in, 30, OTHER_KEY, "/stock/1", { 0, 1, 2 });
	EXPECT_EQ(other[200], 30);
	EXPECT_NE(call(in.hosts[0].operators, "GET", "/metrics")
			  .body.find("organisation=\"huka270\","
				     "result=\"refused_quota\"} "),
		  std::string::npos);
}

/* The host that owns an organisation: the one that holds its bucket. */
int find_owner(Platform &in)
{
	for (size_t i = 0; i < in.hosts.size(); i++) {
		if (in.dump_number((int)i, { "callers", "quota", "buckets" }) >
		    0)
			return (int)i;
	}
	return -1;
}

/*
 * Guards against requests that hang or exceed the bound when the owner of their
 * quota is killed, and against a quota that is not available again when the
 * owner has restarted.
 */
TEST(Organisations, KilledOwnerLeavesTheFallbackAndReturns)
{
	Platform in(3, { "--service-ms", "1" });
	std::map<int, int> statuses;
	int64_t start;
	int owner, from;

	in.organisations = limited_organisation();
	in.start_all();
	usleep(5200000); /* the fallback begins one window after the start */
	send_many(in, 3, KEY, "/stock/1", { 0, 1, 2 });
	owner = find_owner(in);
	ASSERT_GE(owner, 0);
	from = (owner + 1) % 3;
	process_kill(&in.hosts[(size_t)owner].daemon);
	start = clock_monotonic_ns();
	statuses = send_many(in, 100, KEY, "/stock/1", { from });
	EXPECT_GT(statuses[200], 0);
	/* Tokens in hand, and a third of a quarter of the overage. */
	EXPECT_LE(statuses[200],
		  20 + (int)(0.25 * ((20 * 5 + 20) * 0.25 + 20)));
	EXPECT_GT(statuses[429], 0);
	EXPECT_LT(clock_monotonic_ns() - start, 30 * NS_PER_SEC);
	in.start_daemon(owner);
	EXPECT_TRUE(eventually([&] {
		usleep(50000);
		return send_many(in, 1, KEY, "/stock/1", { from })[200] == 1;
	}));
	usleep(2000000);
	EXPECT_GE(send_many(in, 10, KEY, "/stock/1", { from })[200], 8);
}

/*
 * A key is revoked while requests with it run and wait, some of them at the
 * daemon of another host. Guards against a waiting request that still runs, a
 * running one that is cut off, and a revoked key that is accepted later.
 */
TEST(Organisations, RevokedKeyEndsWaitingRequests)
{
	/* Host 3 is of another service: its requests wait on other hosts. */
	Platform in(4, { "--service-ms", "2500" });
	std::vector<std::thread> threads;
	std::atomic<int> served{ 0 }, refused{ 0 }, other{ 0 };
	size_t started = 0;

	in.organisations = two_organisations();
	in.start_all();
	for (int i = 0; i < 24; i++) {
		threads.emplace_back([&, i] {
			int status =
				in.send_with_fields(i % 2 ? 3 : 0, "POST",
						    "/orders/1", key_field(KEY))
					.status;

			(status == 200	 ? served
			 : status == 401 ? refused
					 : other)++;
		});
	}
	/* 3 servers run 4 requests each. */
	EXPECT_TRUE(eventually([&] {
		started = in.runs(0) + in.runs(1) + in.runs(2);
		return started == 12;
	}));
	usleep(300000);
	in.organisations = R"(["huka270",["new-key"],1,0,0])";
	in.publish_config(2);
	for (std::thread &thread : threads)
		thread.join();
	EXPECT_EQ(in.runs(0) + in.runs(1) + in.runs(2), 12u);
	EXPECT_EQ(served, 12);
	EXPECT_EQ(refused, 12);
	EXPECT_EQ(other, 0);
	EXPECT_EQ(in.send_with_fields(3, "GET", "/stock/1", key_field(KEY))
			  .status,
		  401);
}

/* The runs of a host's server for an organisation. */
int runs_for(Platform &in, int host, const std::string &organisation)
{
	json_t *state = in.server_state(host);
	json_t *run;
	int nr = 0;
	size_t i;

	json_array_foreach (json_object_get(state, "runs"), i, run) {
		const char *name =
			json_string_value(json_object_get(run, "organisation"));

		nr += name && organisation == name;
	}
	json_decref(state);
	return nr;
}

/*
 * A key moves to another organisation while requests with it wait on other
 * hosts. Guards against a waiting request that runs for the former
 * organisation, or is refused.
 */
TEST(Organisations, MovedKeyCountsForItsNewOrganisation)
{
	Platform in(4, { "--service-ms", "1000" });
	std::vector<std::thread> threads;
	std::atomic<int> served{ 0 };

	in.organisations = two_organisations();
	in.start_all();
	for (int i = 0; i < 16; i++) {
		threads.emplace_back([&] {
			served += in.send_with_fields(3, "POST", "/orders/1",
						      key_field(KEY))
					  .status == 200;
		});
	}
	EXPECT_TRUE(eventually(
		[&] { return in.runs(0) + in.runs(1) + in.runs(2) == 12; }));
	usleep(200000);
	in.organisations = R"(["huka270",[],1,0,0],["tern3",[")" +
			   std::string(KEY) + R"("],1,0,0])";
	in.publish_config(2);
	for (std::thread &thread : threads)
		thread.join();
	EXPECT_EQ(served, 16);
	EXPECT_EQ(runs_for(in, 0, "tern3") + runs_for(in, 1, "tern3") +
			  runs_for(in, 2, "tern3"),
		  4);
}

/* Guards against an explanation that hides whether a route needs a key. */
TEST(Organisations, RouteIsExplained)
{
	Platform in(1);
	std::string text;

	in.organisations = two_organisations();
	in.start_all();
	text = call(in.hosts[0].operators, "GET",
		    "/explain?host=mesh.example&path=/stock/")
		       .body;
	EXPECT_NE(text.find("anonymous        false"), std::string::npos)
		<< text;
	EXPECT_NE(text.find("organisations    2"), std::string::npos);
}

} // namespace

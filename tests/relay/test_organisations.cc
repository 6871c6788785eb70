#include "platform.h"

#include <thread>

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
 * organisation, and against a server's own call being treated so.
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
	EXPECT_EQ(in.call_from_server(0, "/stock/1", forged).status, 200);
	EXPECT_EQ(in.last_run(0, "organisation"), "");
	EXPECT_EQ(in.last_run(0, "key"), "");
}

/* Guards against a change for deployments without organisations. */
TEST(Organisations, WithoutOrganisationsTheFieldsAreForwarded)
{
	Platform in(1, { "--service-ms", "2" });

	in.start_all();
	EXPECT_EQ(in.send_with_fields(0, "GET", "/stock/1",
				      "X-Tenant: any\r\nX-Key: mine\r\n")
			  .status,
		  200);
	EXPECT_EQ(in.last_run(0, "organisation"), "any");
	EXPECT_EQ(in.last_run(0, "key"), "mine");
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

} // namespace

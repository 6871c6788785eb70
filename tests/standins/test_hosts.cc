#include "support/standin.hh"

static std::string list(const char *host, const char *state)
{
	return std::string("{\"hosts\":[{\"host\":\"") + host +
	       "\",\"zone\":\"z1\",\"region\":\"be\",\"control\":"
	       "\"127.0.0.11:7003\",\"state\":\"" +
	       state + "\"}]}";
}

static bool shows(const Standin &hosts, const char *text)
{
	return call(hosts.address, "GET", "/v1/hosts").body.find(text) !=
	       std::string::npos;
}

/* Guards against a list that ignores --lag-ms or is never updated. */
TEST(Hosts, ShowsChangesAfterTheLag)
{
	Standin slow(STANDIN_HOSTS, { "--lag-ms", "600000" });
	Standin fast(STANDIN_HOSTS, { "--lag-ms", "50" });

	for (Standin *hosts : { &slow, &fast }) {
		EXPECT_EQ(call(hosts->control, "PUT", "/hosts", "",
			       list("h1", "live"))
				  .status,
			  200);
		EXPECT_TRUE(shows(*hosts, "\"h1\""));
		call(hosts->control, "POST", "/host?host=h1&state=leaving");
	}
	EXPECT_TRUE(eventually([&] { return shows(fast, "leaving"); }));
	EXPECT_FALSE(shows(slow, "leaving"));
	EXPECT_EQ(call(slow.address, "GET", "/v1/hosts").number("revision"), 1);
	EXPECT_EQ(call(fast.address, "GET", "/v1/hosts").number("revision"), 2);
}

/* Guards against POST /host requests that are lost or corrupt the list. */
TEST(Hosts, AppliesChangesOfOneHost)
{
	Standin hosts(STANDIN_HOSTS);
	std::string added = "/host?host=h2&state=live&zone=z2&region=be&"
			    "control=127.0.0.12:7003";

	call(hosts.control, "PUT", "/hosts", "", list("h1", "live"));
	EXPECT_EQ(call(hosts.control, "POST", added).status, 200);
	EXPECT_TRUE(shows(hosts, "\"h2\",\"zone\":\"z2\""));
	EXPECT_EQ(
		call(hosts.control, "POST", "/host?host=h1&state=gone").status,
		200);
	EXPECT_FALSE(shows(hosts, "\"h1\""));
	EXPECT_EQ(
		call(hosts.control, "POST", "/host?host=h3&state=live").status,
		400);
	EXPECT_EQ(call(hosts.control, "PUT", "/hosts", "", list("h1", "odd"))
			  .status,
		  400);
	EXPECT_FALSE(shows(hosts, "\"h1\""));
}

/* Guards against an outage that serves the list, or that does not end. */
TEST(Hosts, OutageAndSlow)
{
	Standin hosts(STANDIN_HOSTS);

	hosts.fault("outage");
	EXPECT_EQ(call(hosts.address, "GET", "/v1/hosts").status, 503);
	hosts.fault("outage&hang=1");
	EXPECT_EQ(call(hosts.address, "GET", "/v1/hosts", "", "", 1).status, 0);
	hosts.fault("slow&ms=1");
	EXPECT_EQ(call(hosts.address, "GET", "/v1/hosts").status, 200);
}

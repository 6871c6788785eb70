#include <gtest/gtest.h>

#include <string>

extern "C" {
#include "base/clock.h"
#include "relay/local_server.h"
}

namespace
{

const int64_t REUSE_AFTER_NS = 2 * NS_PER_SEC;

/* A daemon beside an address, and the servers that answer there. */
class Address
{
      public:
	~Address()
	{
		local_server_forget(&server);
		g_free(server.first_id);
	}

	bool registered(const char *id, int64_t started_ms = 5)
	{
		struct mesh_target target = {};

		target.id = (char *)id;
		target.service = (char *)"shop";
		target.started_ms = started_ms;
		return local_server_register(&server, &target);
	}

	enum local_server_change answers(const char *id, int64_t now_ms,
					 const char *service = "shop",
					 bool is_healthy = true)
	{
		struct local_server_answer answer = {
			.id = id,
			.is_healthy = is_healthy,
			.sent = now_ms * NS_PER_MS,
			.now = now_ms * NS_PER_MS,
			.reuse_after_ns = REUSE_AFTER_NS,
			.service = service,
		};

		return local_server_answered(&server, &answer);
	}

	std::string in_use() const
	{
		return server.is_replaced || !server.id ? "" : server.id;
	}

	struct local_server server = {};
};

/* Guards against a restarted host that waits for the entry of its server. */
TEST(LocalServer, DaemonThatStartsGoesByItsSettings)
{
	Address address;

	EXPECT_TRUE(address.registered("former"));
	EXPECT_EQ(address.answers("next", 100), LOCAL_SERVER_NEXT_BOOT);
	EXPECT_EQ(address.in_use(), "next");
	/* The view still has the former entry, and then the new one. */
	EXPECT_FALSE(address.registered("former"));
	EXPECT_EQ(address.in_use(), "next");
	EXPECT_FALSE(address.registered("next", 6));
	EXPECT_EQ(address.in_use(), "next");
	EXPECT_TRUE(address.registered("next", 7));
}

/* Guards against requests to a server of another service. */
TEST(LocalServer, AnswerIsNotTakenWhereTheAddressMayBeUsedAgain)
{
	Address address;

	address.registered("first");
	EXPECT_EQ(address.answers("first", 1000), LOCAL_SERVER_SAME);
	EXPECT_EQ(address.answers("other", 3000), LOCAL_SERVER_REPLACED);
	EXPECT_EQ(address.in_use(), "");
	EXPECT_EQ(address.answers("other", 3100), LOCAL_SERVER_SAME);
	EXPECT_EQ(address.answers("first", 3200), LOCAL_SERVER_SAME);
	EXPECT_EQ(address.in_use(), "first");
	/* It crashed and is back. */
	EXPECT_EQ(address.answers("next", 5199), LOCAL_SERVER_NEXT_BOOT);
	EXPECT_EQ(address.in_use(), "next");
	EXPECT_TRUE(address.registered("third"));
	/* Nothing is known of when the third one ran. */
	EXPECT_EQ(address.answers("fourth", 5300), LOCAL_SERVER_REPLACED);
}

/* Guards against a service that the settings no longer name. */
TEST(LocalServer, SettingsThatNameAnotherServiceDecide)
{
	Address address;

	address.registered("former");
	EXPECT_EQ(address.answers("next", 100, nullptr), LOCAL_SERVER_REPLACED);
	EXPECT_EQ(address.answers("next", 200, "docs"), LOCAL_SERVER_SAME);
	EXPECT_EQ(address.in_use(), "");
}

/* Guards against the id of a server that is leaving. */
TEST(LocalServer, UnhealthyServerIsNotTaken)
{
	Address address;

	address.registered("former");
	EXPECT_EQ(address.answers("leaving", 100, "shop", false),
		  LOCAL_SERVER_REPLACED);
	EXPECT_EQ(address.answers("leaving", 200), LOCAL_SERVER_NEXT_BOOT);
}

} // namespace

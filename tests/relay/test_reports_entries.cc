#include "reports.h"

#include <algorithm>
#include <atomic>
#include <filesystem>
#include <fstream>
#include <unistd.h>

/*
 * Failures that operators of similar systems have met, each caused here on real
 * processes: entries of servers, and what a restart brings back.
 * docs/incidents.md lists them.
 */

namespace
{

/*
 * A server leaves after a crash: its own entry is deleted, that of the boot
 * that crashed is not yet. Guards against a daemon that restarts then, takes
 * the server's id from a probe, and sends requests to it.
 */
TEST(Reports, RestartedDaemonUsesNoServerThatHasLeft)
{
	std::atomic<int> nr_served{ 0 };
	Platform in(3);

	in.start_all();
	auto server = replace_server(
		in, 0,
		[&](RawBackend &self, int fd, const RawBackend::Request &next) {
			bool expected = next.expected == "i-left";

			if (!RawBackend::read_body(fd, next.body_bytes))
				return false;
			nr_served += expected;
			return self.send(
				fd, expected ? RawBackend::answer(next.id, "x")
					     : "HTTP/1.1 421 Misdirected\r\n"
					       "X-Not-Executed: 1\r\n"
					       "X-Request-Id: " +
						       next.id +
						       "\r\nContent-Length: "
						       "0\r\n\r\n");
		});
	server->probe_answer = "HTTP/1.1 503 Leaving\r\nX-Warmup-Ms: 0\r\n"
			       "X-Instance-Id: i-left\r\n"
			       "Content-Length: 0\r\n\r\n";
	process_kill(&in.hosts[0].daemon);
	in.start_daemon(0);
	EXPECT_TRUE(eventually([&] {
		return call(in.hosts[0].ready, "GET", "/readyz").status == 200;
	}));
	for (int probes = server->nr_probes; server->nr_probes < probes + 3;) {
		for (int i = 0; i < 3; i++)
			EXPECT_EQ(in.send_request(i, "GET", "/stock/1").status,
				  200);
	}
	EXPECT_EQ(nr_served, 0);
}

/* A text that opens a bracket so often, with the inner value, and closes it. */
std::string nested(const std::string &open, const std::string &inner,
		   const std::string &close, int levels)
{
	std::string text;

	for (int i = 0; i < levels; i++)
		text += open;
	text += inner;
	for (int i = 0; i < levels; i++)
		text += close;
	return text;
}

/* The entry of a server with the given values. */
std::string entry(int sequence, const std::string &address,
		  const std::string &slots, const std::string &cold = "0ms")
{
	return R"({"service":"shop","address":")" + address +
	       R"(","zone":"z1","resource_version":"v1","max_concurrency":)" +
	       slots + R"(,"phase":"ready","warmup_left":")" + cold +
	       R"(","sequence":)" + std::to_string(sequence) + R"(,"born":5})";
}

/* How often the threads of a process have run and waited again. */
long nr_waits(pid_t pid)
{
	std::string directory = "/proc/" + std::to_string(pid) + "/task";
	long sum = 0;

	for (const auto &task :
	     std::filesystem::directory_iterator(directory)) {
		std::ifstream file(task.path() / "status");
		std::string word;
		long nr;

		while (file >> word)
			if (word == "voluntary_ctxt_switches:" && file >> nr)
				sum += nr;
	}
	return sum;
}

/*
 * Another writer's entry names an address to which no connection can even be
 * begun. Guards against a daemon that tries it again in each iteration of its
 * event loop, and against other daemons that miss what is published.
 */
TEST(Reports, AddressThatCannotBeReachedIsTriedSeldom)
{
	Platform in(3);
	long before[3];

	in.start_all();
	for (int i = 0; i < 3; i++)
		before[i] = nr_waits(in.hosts[(size_t)i].daemon.pid);
	usleep(2000000);
	long calm = 0;
	for (int i = 0; i < 3; i++)
		calm = std::max(calm, nr_waits(in.hosts[(size_t)i].daemon.pid) -
					      before[i]);
	in.put_item("servers/x-1", entry(9, "255.255.255.255:80", "4"));
	usleep(1000000);
	for (int i = 0; i < 3; i++)
		before[i] = nr_waits(in.hosts[(size_t)i].daemon.pid);
	usleep(2000000);
	for (int i = 0; i < 3; i++)
		EXPECT_LT(nr_waits(in.hosts[(size_t)i].daemon.pid) - before[i],
			  2 * calm + 40)
			<< i;
}

/*
 * Another writer leaves an odd entry among those of the servers. Guards against
 * daemons that end, also after a restart while the entry is there, and against
 * daemons that no longer take up what is published.
 */
TEST(Reports, OddEntryOfAnotherWriterEndsNoDaemon)
{
	const struct {
		const char *name;
		std::string value;
	} cases[] = {
		{ "nested object",
		  "{\"service\":" + nested("{\"a\":", "1", "}", 2040) + "}" },
		{ "nested array", nested("[", "", "]", 2040) },
		{ "unclosed arrays", nested("[", "", "", 500000) },
		{ "too large a number", entry(9, "10.9.9.9:80", "1e999") },
		{ "number beyond its type",
		  entry(9, "10.9.9.9:80", "4294967297") },
		{ "too long a time", entry(9, "10.9.9.9:80", "4", "1e300s") },
		{ "port out of range", entry(9, "10.9.9.9:70000", "4") },
		{ "address of a broadcast",
		  entry(9, "255.255.255.255:80", "4") },
		{ "address of another family", entry(9, "[::1]:80", "4") },
		{ "longest value", std::string(1024 * 1024, 'x') },
	};
	Platform in(2);
	int version = 1;

	in.start_all();
	for (const auto &one : cases) {
		std::string route = "/new" + std::to_string(version) + "/";

		in.put_item("servers/x-1", one.value);
		usleep(300000);
		for (int i = 0; i < 2; i++)
			EXPECT_TRUE(is_running(in.hosts[(size_t)i].daemon))
				<< one.name;
		process_kill(&in.hosts[0].daemon);
		in.start_daemon(0);
		in.publish_config(++version, ",[\"new\",\"mesh.example\",\"" +
						     route +
						     "\",\"idempotent\",\"3s\","
						     "\"1s\",2,\"shop\",2]");
		for (int i = 0; i < 2; i++) {
			EXPECT_TRUE(eventually([&] {
				return in.send_request(i, "GET", route + "1")
					       .status == 200;
			})) << one.name;
			EXPECT_TRUE(is_running(in.hosts[(size_t)i].daemon))
				<< one.name;
		}
	}
}

/*
 * Daemons restart while the store is down, one alone and then all at once.
 * Guards against a server that has left, or a route that a newer version took
 * away, that is in use again.
 */
TEST(Reports, RestartBringsNothingBack)
{
	const char *const route = R"(,["old","mesh.example","/old/",
"idempotent","3s","1s",2,"shop",2])";
	Platform in(4);
	auto left = [&](int host) {
		return in.dump_number(host, { "backend", "in_service" }) == 0;
	};
	size_t before;

	in.start_all();
	in.publish_config(2, route);
	for (int i = 0; i < 4; i++)
		EXPECT_TRUE(eventually([&] {
			return in.send_request(i, "GET", "/old/1").status ==
			       200;
		}));
	in.delete_item("servers/" + in.hosts[0].id);
	in.publish_config(3);
	for (int i = 0; i < 4; i++)
		EXPECT_TRUE(eventually([&] {
			return in.send_request(i, "GET", "/old/1").status ==
			       404;
		}));
	EXPECT_TRUE(eventually([&] { return left(0); }));
	before = in.runs(0);
	in.store->fault("outage");
	/* One alone: it learns from the others. */
	process_kill(&in.hosts[1].daemon);
	in.start_daemon(1);
	EXPECT_TRUE(eventually([&] {
		EXPECT_NE(in.send_request(1, "GET", "/old/1").status, 200);
		return in.send_request(1, "GET", "/stock/1").status == 200;
	}));
	/* All at once: none knows anything until the store is back. */
	for (int i = 0; i < 4; i++)
		process_kill(&in.hosts[(size_t)i].daemon);
	for (int i = 0; i < 4; i++)
		in.start_daemon(i);
	for (int i = 0; i < 20; i++) {
		EXPECT_EQ(in.send_request(i % 4, "GET", "/old/1").status, 503);
		EXPECT_EQ(in.send_request(i % 4, "GET", "/stock/1").status,
			  503);
	}
	ASSERT_EQ(call(in.store->control, "POST", "/forget").status, 200);
	in.store->fault("none");
	for (int i = 0; i < 4; i++)
		EXPECT_TRUE(eventually([&] {
			EXPECT_NE(in.send_request(i, "GET", "/old/1").status,
				  200);
			return in.send_request(i, "GET", "/stock/1").status ==
			       200;
		}));
	EXPECT_EQ(in.runs(0), before);
}

} // namespace

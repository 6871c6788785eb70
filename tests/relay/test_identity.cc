#include "platform.h"
#include "raw_backend.h"

#include <atomic>
#include <thread>
#include <unistd.h>

/* Which server a request may run at: the registered one, and no other. */

namespace
{

/* A route of the service that host 3 is of. */
const char *const DOCS_ROUTE = R"(,["docs","mesh.example","/docs/","idempotent",
"3s","1s",2,"docs",2])";

bool is_replaced(Platform &in, int host)
{
	return in.dump_number(host, { "backend", "replaced" }) == 1;
}

/* The id of the server that a daemon uses; "" if none. */
std::string server_in_use(Platform &in, int host)
{
	return in.dump_text(host, { "backend", "backend" });
}

/* Sends lookups through all hosts; each has to be served. */
void send_lookups(Platform &in, int nr)
{
	for (int i = 0; i < nr; i++)
		EXPECT_EQ(in.send_request(i % (int)in.hosts.size(), "GET",
					  "/stock/1")
				  .status,
			  200);
}

/*
 * A server crashes, and another one answers at its address whose entry is not
 * there yet; it may be of any service. Guards against requests to it under the
 * id that it tells itself, which makes its check of that id worthless.
 */
TEST(Identity, ServerWithoutAnEntryGetsNoRequests)
{
	Platform in(3, { "--service-ms", "2" });

	in.start_all();
	in.restart_server(0, "i-unknown");
	EXPECT_TRUE(eventually([&] {
		in.send_request(0, "GET", "/stock/1");
		return is_replaced(in, 0);
	}));
	send_lookups(in, 60);
	EXPECT_EQ(in.runs(0), 0u);
	in.publish_entry(0);
	EXPECT_TRUE(eventually([&] {
		in.send_request(0, "GET", "/stock/1");
		return in.runs(0) > 0;
	}));
}

std::string probe_answer(const std::string &id)
{
	return "HTTP/1.1 200 OK\r\nX-Warmup-Ms: 0\r\nX-Instance-Id: " + id +
	       "\r\nContent-Length: 0\r\n\r\n";
}

/*
 * A probe that was sent to a server is answered after its successor is
 * registered. Guards against a successor that is out of use by that answer.
 */
TEST(Identity, ProbeOfTheFormerServerSaysNothingOfTheNext)
{
	Platform in(3, { "--service-ms", "2" });
	PlatformHost &host = in.hosts[0];

	in.start_all();
	in.stop_server(0);
	RawBackend server(host.backend, [](RawBackend &self, int fd,
					   const RawBackend::Request &next) {
		return self.send(fd, RawBackend::answer(next.id, ""));
	});
	/* A probe waits for 1 s at most, and an entry takes part of that. */
	for (int i = 0; i < 6; i++) {
		int nr_before = server.nr_probes;

		server.set_probe_answer(probe_answer(host.id));
		server.hold_probes = true;
		EXPECT_TRUE(eventually([&] {
			in.send_request(0, "GET", "/stock/1");
			return server.nr_probes > nr_before;
		}));
		host.id = "i-next-" + std::to_string(i);
		server.set_probe_answer(probe_answer(host.id));
		in.publish_entry(0);
		EXPECT_TRUE(eventually(
			[&] { return server_in_use(in, 0) == host.id; }));
		server.hold_probes = false;
		for (int k = 0; k < 30; k++) {
			EXPECT_FALSE(is_replaced(in, 0));
			usleep(10000);
		}
	}
}

/*
 * Daemon and server of a host start again, and the new entry takes its time.
 * Guards against a host that serves nothing until then, as after a restart of
 * all hosts: a daemon that has seen no other server goes by its settings.
 */
TEST(Identity, NextBootIsUsedBeforeItsEntryByADaemonThatStarts)
{
	Platform in(3, { "--service-ms", "2" });

	in.start_all();
	process_kill(&in.hosts[0].daemon);
	in.restart_server(0, "i-next");
	in.start_daemon(0);
	EXPECT_TRUE(eventually([&] {
		in.send_request(0, "GET", "/stock/1");
		return in.runs(0) > 0;
	}));
	EXPECT_EQ(server_in_use(in, 0), "i-next");
	send_lookups(in, 30);
	in.publish_entry(0);
	usleep(1000000);
	EXPECT_EQ(server_in_use(in, 0), "i-next");
}

/*
 * The same for a daemon that goes on, within the time in which an address is
 * not used again. Guards also against a server of the next service, whose
 * settings came without a signal.
 */
TEST(Identity, NextBootIsUsedUntilItsAddressMayBeUsedAgain)
{
	Platform in(3, { "--service-ms", "2" });
	size_t before;

	in.more_settings = "bounds.reuse_after=5s\n";
	in.start_all();
	/* A server that gets requests is probed each second. */
	send_lookups(in, 30);
	in.restart_server(0, "i-next");
	EXPECT_TRUE(eventually([&] {
		in.send_request(0, "GET", "/stock/1");
		return in.runs(0) > 0;
	}));
	EXPECT_EQ(server_in_use(in, 0), "i-next");
	in.stop_server(0);
	usleep(6500000);
	in.restart_server(0, "i-late");
	EXPECT_TRUE(eventually([&] {
		in.send_request(0, "GET", "/stock/1");
		return is_replaced(in, 0);
	}));
	send_lookups(in, 30);
	EXPECT_EQ(in.runs(0), 0u);
	/* As quickly as the first one, but of another service. */
	in.set(1, "service=docs");
	in.restart_server(1, "i-docs");
	before = in.runs(1);
	send_lookups(in, 60);
	EXPECT_EQ(in.runs(1), before);
}

/* Guards against a service that settings named which are gone by now. */
TEST(Identity, NextBootIsNotUsedWithoutSettings)
{
	Platform in(3, { "--service-ms", "2" });
	PlatformHost &host = in.hosts[0];
	std::string gone = host.settings + ".gone";

	in.more_settings = "bounds.reuse_after=10s\n";
	in.start_all();
	ASSERT_EQ(rename(host.settings.c_str(), gone.c_str()), 0);
	in.restart_server(0, "i-next");
	EXPECT_TRUE(eventually([&] {
		in.send_request(0, "GET", "/stock/1");
		return is_replaced(in, 0);
	}));
	send_lookups(in, 30);
	EXPECT_EQ(in.runs(0), 0u);
	ASSERT_EQ(rename(gone.c_str(), host.settings.c_str()), 0);
	in.publish_entry(0);
	EXPECT_TRUE(eventually([&] {
		in.send_request(0, "GET", "/stock/1");
		return in.runs(0) > 0;
	}));
}

/*
 * The setting names another service before the entry of the new server is
 * there, while the server in use goes on. Guards against requests of the new
 * service to the server of the former one.
 */
TEST(Identity, ServerOfTheFormerServiceGetsNoRequestsOfTheNewOne)
{
	Platform in(4, { "--service-ms", "2" });
	PlatformHost &host = in.hosts[0];
	std::string former = host.id;

	in.start_all(DOCS_ROUTE);
	in.set(0, "service=docs");
	process_signal(&host.daemon, SIGHUP);
	/* Without another change of what is published. */
	EXPECT_TRUE(eventually([&] { return server_in_use(in, 0).empty(); }));
	host.service = "docs";
	in.restart_server(0, "i-docs");
	in.publish_entry(0);
	EXPECT_TRUE(eventually([&] {
		in.send_request(1, "GET", "/docs/1");
		return in.runs(0) > 0;
	}));
	EXPECT_EQ(in.last_run(0, "target"), "/docs/1");
	in.delete_item("servers/" + former);
}

/*
 * Requests wait for a slot of a server, and its address goes over to another
 * service meanwhile. Guards against requests that were accepted for one server
 * and start at its successor.
 */
TEST(Identity, QueuedRequestsDoNotStartAtTheNextService)
{
	Platform in(4, { "--service-ms", "600", "--slots", "4" });
	PlatformHost &host = in.hosts[0];
	std::vector<std::thread> callers;
	std::atomic<int> served{ 0 }, refused{ 0 };

	in.start_all();
	in.publish_entry(1, "draining");
	in.publish_entry(2, "draining");
	EXPECT_TRUE(eventually([&] {
		return call(in.hosts[1].operators, "GET",
			    "/explain?host=mesh.example&path=/stock/1")
			       .body.find(" 1 in service") != std::string::npos;
	}));
	for (int i = 0; i < 8; i++)
		callers.emplace_back([&] {
			int status =
				in.send_request(1, "POST", "/orders/1", "x")
					.status;

			served += status == 200;
			refused += status == 503;
		});
	usleep(300000);
	/* The same server is registered for another service. */
	in.set(0, "service=docs");
	process_signal(&host.daemon, SIGHUP);
	host.service = "docs";
	in.publish_entry(0);
	for (std::thread &caller : callers)
		caller.join();
	EXPECT_EQ(served + refused, 8);
	EXPECT_GE(refused, 4);
	EXPECT_EQ(in.runs(0), (size_t)served);
}

} // namespace

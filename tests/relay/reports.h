#ifndef RELAY_REPORTS_H
#define RELAY_REPORTS_H

#include <memory>
#include <string>
#include <utility>

#include <sys/wait.h>

#include "platform.h"
#include "raw_backend.h"

/* Helpers of the tests of reported failures, test_reports_*.cc. */

/* An order that may last longer than those of the usual route. */
const char *const LONG_ORDERS = R"(,["long","mesh.example","/long/",
"non_idempotent","8s","4s",1,"shop",2])";

/* Replaces the server of a host by one whose bytes the test chooses. */
inline std::unique_ptr<RawBackend> replace_server(Platform &in, int host,
						  RawBackend::Serve serve)
{
	in.stop_server(host);
	return std::make_unique<RawBackend>(in.hosts[(size_t)host].backend,
					    std::move(serve));
}

/* Waits until the daemon has found the replaced server. */
inline bool wait_for_server(Platform &in, int host)
{
	return eventually([&] {
		return in.send_request(host, "GET", "/stock/1").status == 200;
	});
}

/*
 * Takes the servers of the hosts 1 and 2 out of service, so that host 0 has the
 * only one in use, and waits until all daemons know.
 */
inline void keep_server_0_only(Platform &in)
{
	in.publish_entry(1, "draining");
	in.publish_entry(2, "draining");
	for (const PlatformHost &host : in.hosts)
		EXPECT_TRUE(eventually([&] {
			return call(host.operators, "GET",
				    "/explain?host=mesh.example&path=/stock/1")
				       .body.find(" 1 in service") !=
			       std::string::npos;
		}));
}

/* Waits until a daemon serves by a version of the configuration. */
inline void wait_for_version(Platform &in, int host, int version)
{
	EXPECT_TRUE(eventually([&] {
		return in.dump_number(host, { "callers", "version" }) ==
		       version;
	}));
}

/* Publishes the route of long orders and waits until a daemon serves by it. */
inline void publish_long_orders(Platform &in, int host)
{
	in.publish_config(2, LONG_ORDERS);
	wait_for_version(in, host, 2);
}

inline bool is_running(const struct process &process)
{
	siginfo_t info = {};

	return !waitid(P_PID, (id_t)process.pid, &info,
		       WEXITED | WNOHANG | WNOWAIT) &&
	       !info.si_pid;
}

#endif

#include "platform.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <thread>

extern "C" {
#include "base/clock.h"
#include "net/address.h"
}

namespace
{

/*
 * A stopping daemon refuses other daemons after 2.3 s, and may end 150 ms
 * later. Suspended between the two, it decides at once when it resumes.
 */
const int64_t SUSPEND_AFTER_NS = 2400 * NS_PER_MS;
const int64_t SUSPENDED_NS = 300 * NS_PER_MS;

/* Connections of each kind, as the end may overtake a single request. */
const int CONNS = 16;

int connect_to(const std::string &address)
{
	struct net_address parsed;
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	EXPECT_TRUE(net_address_parse(&parsed, address.c_str(), nullptr));
	EXPECT_EQ(connect(fd, (struct sockaddr *)&parsed.storage, parsed.len),
		  0);
	return fd;
}

void send_text(int fd, const std::string &text)
{
	send(fd, text.data(), text.size(), MSG_NOSIGNAL);
}

std::string lookup(const std::string &id)
{
	return "GET /stock/1 HTTP/1.1\r\nHost: mesh.example\r\n"
	       "X-Request-Id: " +
	       id + "\r\nX-Timeout-Ms: 2000\r\n\r\n";
}

/* Reads up to the end of a head or of the connection; "" without an answer. */
std::string read_answer(int fd)
{
	std::string text;
	char buffer[4096];
	ssize_t n;

	while (text.find("\r\n\r\n") == std::string::npos &&
	       (n = recv(fd, buffer, sizeof(buffer), 0)) > 0)
		text.append(buffer, (size_t)n);
	return text;
}

bool has_run(Platform &in, const std::string &id)
{
	for (size_t i = 0; i < in.hosts.size(); i++)
		for (const std::string &run : in.run_ids((int)i))
			if (run == id)
				return true;
	return false;
}

/*
 * Lets a stopping daemon find requests in its last look at its sockets: on a
 * kept connection, and on a new one. The wait of its event loop is interrupted
 * by the suspension, so its timers run before it reads any socket.
 */
void send_into_the_end(Platform &in, PlatformHost &host,
		       const std::string &round)
{
	int64_t suspend_at = clock_monotonic_ns() + SUSPEND_AFTER_NS;
	std::vector<int> fds;
	std::string ids = "end" + round + "-";

	for (int i = 0; i < CONNS; i++)
		fds.push_back(connect_to(host.callers));
	process_signal(&host.daemon, SIGTERM);
	usleep((useconds_t)((suspend_at - clock_monotonic_ns()) / NS_PER_US));
	process_signal(&host.daemon, SIGSTOP);
	usleep(SUSPENDED_NS / NS_PER_US);
	for (int i = 0; i < CONNS; i++)
		fds.push_back(connect_to(host.callers));
	for (size_t i = 0; i < fds.size(); i++)
		send_text(fds[i], lookup(ids + std::to_string(i)));
	process_signal(&host.daemon, SIGCONT);
	for (size_t i = 0; i < fds.size(); i++) {
		std::string id = ids + std::to_string(i);

		EXPECT_TRUE(!read_answer(fds[i]).empty() || !has_run(in, id))
			<< id;
		close(fds[i]);
	}
}

/*
 * Guards against a process that ends with a request in progress that it has
 * read at its very end: another host's server runs it, and its caller gets the
 * end of the connection instead of an answer.
 */
TEST(Stop, RequestThatArrivesAtTheEndIsAnsweredOrNotRun)
{
	Platform in(4, { "--service-ms", "20", "--slots", "32" });
	/* Its own server is of another service, so its lookups go to others. */
	PlatformHost &host = in.hosts[3];

	in.start_all();
	for (int round = 0; round < 3; round++) {
		int status = -1;

		/* Its links to the others are open. */
		for (int i = 0; i < 20; i++)
			EXPECT_EQ(in.send_request(3, "GET", "/stock/1").status,
				  200);
		send_into_the_end(in, host, std::to_string(round));
		EXPECT_TRUE(process_wait(&host.daemon, 10000, &status));
		EXPECT_EQ(status, 0);
		in.start_daemon(3);
		EXPECT_TRUE(eventually([&] {
			return in.send_request(3, "GET", "/stock/1").status ==
			       200;
		}));
	}
}

/* Waits until a daemon has all servers in service, and then all but its own. */
void take_out_of_service(Platform &in, int host)
{
	int nr = 0;

	for (const PlatformHost &other : in.hosts)
		nr += other.service == "shop";
	EXPECT_TRUE(eventually([&] { return in.nr_in_service(host) == nr; }));
	in.publish_entry(host, "draining");
	EXPECT_TRUE(
		eventually([&] { return in.nr_in_service(host) == nr - 1; }));
}

/*
 * A server is at work on a request of a daemon that stops, while the host of
 * the server falls silent for longer than the time after which its link is
 * given up. No other server takes the request. Guards against a request that
 * may be repeated being answered as failed although its answer is to come.
 */
TEST(Stop, RequestAtWorkOnASilentHostIsAnswered)
{
	const int caller = 0, runner = 1;
	Platform in(2, { "--service-ms", "3500" });
	CallerAnswer answer;
	std::thread thread;

	in.start_all(R"(,["long","mesh.example","/long/","idempotent","9s",
"7s",2,"shop",2])");
	take_out_of_service(in, caller);
	thread = std::thread([&] {
		answer = in.send_request(caller, "GET", "/long/1", "", 9000);
	});
	EXPECT_TRUE(eventually([&] { return in.runs(runner) == 1; }));
	process_signal(&in.hosts[caller].daemon, SIGTERM);
	process_signal(&in.hosts[runner].daemon, SIGSTOP);
	usleep(2000000);
	process_signal(&in.hosts[runner].daemon, SIGCONT);
	thread.join();
	EXPECT_EQ(answer.status, 200);
	EXPECT_EQ(in.runs(runner), 1U);
}

/*
 * The host of a server falls silent for longer than the time after which its
 * link is given up, and its daemon ends then. Guards against one lost attempt
 * that causes two retries, the second while the first is at work.
 */
TEST(Link, LostAttemptIsRetriedOnce)
{
	const int hosts = 6, caller = 0;
	Platform in(hosts, { "--service-ms", "4000" });
	CallerAnswer answer;
	std::thread thread;
	int runner = -1;
	auto all_runs = [&] {
		size_t runs = 0;

		for (int i = 0; i < hosts; i++)
			runs += in.runs(i);
		return runs;
	};

	in.start_all(R"(,["long","mesh.example","/long/","idempotent","9s",
"7s",2,"shop",4])");
	take_out_of_service(in, caller);
	thread = std::thread([&] {
		answer = in.send_request(caller, "GET", "/long/1", "", 9000);
	});
	EXPECT_TRUE(eventually([&] {
		for (int i = 0; i < hosts && runner < 0; i++)
			if (in.runs(i))
				runner = i;
		return runner >= 0;
	}));
	process_signal(&in.hosts[(size_t)runner].daemon, SIGSTOP);
	usleep(2200000);
	size_t before = all_runs();

	process_kill(&in.hosts[(size_t)runner].daemon);
	usleep(500000);
	EXPECT_EQ(all_runs(), before);
	thread.join();
	EXPECT_EQ(answer.status, 200);
}

/*
 * Requests reach a daemon that is suspended, and are sent elsewhere meanwhile.
 * Guards against the daemon running them once it goes on, beside the attempts
 * that replace them and with the time that was left as they were sent.
 */
TEST(Link, SuspendedDaemonDoesNotRunWhatWentElsewhere)
{
	const int caller = 0, suspended = 1, other = 2;
	Platform in(3, { "--service-ms", "4000" });
	std::vector<std::thread> threads;

	in.start_all(R"(,["long","mesh.example","/long/","idempotent","9s",
"7s",2,"shop",2])");
	take_out_of_service(in, caller);
	size_t before = in.runs(suspended);

	process_signal(&in.hosts[suspended].daemon, SIGSTOP);
	for (int i = 0; i < 2; i++)
		threads.emplace_back([&] {
			EXPECT_EQ(in.send_request(caller, "GET", "/long/1", "",
						  9000)
					  .status,
				  200);
		});
	usleep(2200000);
	EXPECT_EQ(in.runs(other), 2U);
	process_signal(&in.hosts[suspended].daemon, SIGCONT);
	usleep(500000);
	EXPECT_EQ(in.runs(suspended), before);
	for (std::thread &thread : threads)
		thread.join();
}

} // namespace

#include "reports.h"

#include <algorithm>
#include <arpa/inet.h>
#include <fstream>
#include <mutex>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

/*
 * Failures that operators of similar systems have met, each caused here on real
 * processes: requests and answers at the stop of a daemon.
 * docs/incidents.md lists them.
 */

namespace
{

/*
 * Requests come all through a planned stop, also later than they could end.
 * Guards against one that is taken and cut off, or refused although it ran.
 */
TEST(Reports, LateRequestsOfAStopEndOrAreRefused)
{
	Platform in(1, { "--service-ms", "2300", "--slots", "4" });
	std::vector<std::thread> callers;
	std::mutex lock;
	std::vector<std::pair<std::string, CallerAnswer>> answers;
	std::vector<std::string> ran;
	int served = 0, refused = 0;

	in.start_all();
	publish_long_orders(in, 0);
	/* So that the daemon knows how long a run takes. */
	EXPECT_EQ(in.send_request(0, "POST", "/long/1", "x", 8000).status, 200);
	process_signal(&in.hosts[0].daemon, SIGTERM);
	for (int i = 0; i < 40; i++) {
		callers.emplace_back([&, i] {
			std::string id = "stop-" + std::to_string(i);
			CallerAnswer answer =
				in.send_with_id(id, 0, "POST", "/long/1", "x",
						8000);
			std::lock_guard<std::mutex> guard(lock);

			answers.emplace_back(id, answer);
		});
		usleep(100000);
	}
	for (std::thread &caller : callers)
		caller.join();
	ran = in.run_ids(0);
	for (const auto &[id, answer] : answers) {
		bool has_run =
			std::find(ran.begin(), ran.end(), id) != ran.end();

		served += answer.status == 200;
		refused += answer.status == 503;
		EXPECT_TRUE(answer.status == 200 || answer.status == 503 ||
			    answer.refused)
			<< id << ": " << answer.status;
		if (answer.status != 200) {
			EXPECT_FALSE(has_run) << id << ": " << answer.status;
		}
		if (answer.status == 503) {
			EXPECT_GT(std::stod(answer.retry_after), 0) << id;
		}
	}
	EXPECT_GE(served, 4);
	EXPECT_GT(refused, 0);
	EXPECT_TRUE(process_wait(&in.hosts[0].daemon, 10000, nullptr));
}

/*
 * A run lasts longer than the grace time. Guards against a connection that is
 * cut without an answer as the daemon exits.
 */
TEST(Reports, RunThatOutlastsAStopIsAnswered)
{
	Platform in(4, { "--service-ms", "6000" });
	std::vector<std::thread> callers;
	std::vector<int> statuses(2);

	in.start_all();
	keep_server_0_only(in);
	publish_long_orders(in, 0);
	publish_long_orders(in, 3);
	size_t before = in.runs(0);
	for (int host : { 0, 3 })
		callers.emplace_back([&, host] {
			statuses[host / 3] =
				in.send_request(host, "POST", "/long/1", "x",
						8000)
					.status;
		});
	EXPECT_TRUE(eventually([&] { return in.runs(0) == before + 2; }));
	process_signal(&in.hosts[0].daemon, SIGTERM);
	for (std::thread &caller : callers)
		caller.join();
	EXPECT_EQ(statuses[0], 504);
	EXPECT_EQ(statuses[1], 504);
	EXPECT_TRUE(process_wait(&in.hosts[0].daemon, 10000, nullptr));
}

/* One connection of a caller, on which several requests are sent. */
class KeptConnection
{
      public:
	explicit KeptConnection(const std::string &address)
	    : fd(connect_to(address.c_str()))
	{
		struct timeval limit = { 10, 0 };

		setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
	}

	~KeptConnection()
	{
		close(fd);
	}

	void send_request(const std::string &id)
	{
		std::string text = "POST /orders/1 HTTP/1.1\r\n"
				   "Host: mesh.example\r\nX-Request-Id: " +
				   id + "\r\nContent-Length: 1\r\n\r\nx";

		EXPECT_EQ(send(fd, text.data(), text.size(), MSG_NOSIGNAL),
			  (ssize_t)text.size());
	}

	/* The status of an answer without a body or with a short one. */
	int read_status()
	{
		char buffer[4096];
		ssize_t n = recv(fd, buffer, sizeof(buffer) - 1, 0);

		if (n < 12)
			return 0;
		buffer[n] = '\0';
		return atoi(buffer + strlen("HTTP/1.1 "));
	}

      private:
	int fd;
};

/*
 * Requests wait in the daemon's sockets while it is about to close them in a
 * stop: on new connections that it has not accepted, and on kept ones. Guards
 * against their connections being reset without an answer.
 */
TEST(Reports, RequestsThatAStopFindsInSocketsAreAnswered)
{
	Platform in(1, { "--service-ms", "5" });
	std::vector<std::unique_ptr<KeptConnection>> conns;
	const std::string &callers = in.hosts[0].callers;

	in.start_all();
	ASSERT_TRUE(wait_for_server(in, 0));
	for (int i = 0; i < 4; i++) {
		conns.push_back(std::make_unique<KeptConnection>(callers));
		conns.back()->send_request("kept-" + std::to_string(i));
		EXPECT_EQ(conns.back()->read_status(), 200);
	}
	process_signal(&in.hosts[0].daemon, SIGTERM);
	usleep(2300000);
	process_signal(&in.hosts[0].daemon, SIGSTOP);
	for (int i = 0; i < 4; i++)
		conns.push_back(std::make_unique<KeptConnection>(callers));
	for (size_t i = 0; i < conns.size(); i++)
		conns[i]->send_request("late-" + std::to_string(i));
	usleep(400000);
	process_signal(&in.hosts[0].daemon, SIGCONT);
	for (size_t i = 0; i < conns.size(); i++) {
		int status = conns[i]->read_status();

		EXPECT_TRUE(status == 200 || status == 503)
			<< i << ": " << status;
	}
	EXPECT_TRUE(process_wait(&in.hosts[0].daemon, 10000, nullptr));
}

/* Bytes of an answer that a link of 10 Mbit/s carries in 1.4 s. */
const size_t LONG_ANSWER_BYTES = 1700000;

/* Host 0 has a server with long answers and a slow link, host 3 none of it. */
std::unique_ptr<Platform> start_with_long_answers()
{
	auto in = std::make_unique<Platform>(
		4,
		std::vector<std::string>{ "--service-ms", "5", "--body-bytes",
					  std::to_string(LONG_ANSWER_BYTES) });

	std::ofstream(in->hosts[0].settings, std::ios::app)
		<< "limits.link_mbps=10\n";
	in->start_all();
	in->publish_config(2, "", 2 * LONG_ANSWER_BYTES);
	wait_for_version(*in, 0, 2);
	wait_for_version(*in, 3, 2);
	keep_server_0_only(*in);
	return in;
}

/* When a stopping daemon is about to exit, which it does 2.45 s after SIGTERM.
 */
const int LATE_IN_STOP_US = 2100000;

/* The body of the answer that a caller behind a slow link reads. */
size_t read_slowly(const std::string &address, const std::string &request)
{
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	int small = 16384, segment = 1460;
	size_t colon = address.find(':');
	struct sockaddr_in to = {};
	struct timeval limit = { 10, 0 };
	std::string received;
	char buffer[16384];
	ssize_t n;

	/* Without these the sender's kernel takes the whole answer. */
	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &small, sizeof(small));
	setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof(segment));
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
	to.sin_family = AF_INET;
	to.sin_port = htons((uint16_t)std::stoi(address.substr(colon + 1)));
	inet_pton(AF_INET, address.substr(0, colon).c_str(), &to.sin_addr);
	EXPECT_EQ(connect(fd, (struct sockaddr *)&to, sizeof(to)), 0);
	EXPECT_EQ(send(fd, request.data(), request.size(), MSG_NOSIGNAL),
		  (ssize_t)request.size());
	usleep(800000);
	while ((n = recv(fd, buffer, sizeof(buffer), 0)) > 0)
		received.append(buffer, (size_t)n);
	close(fd);
	return received.size() - received.find("\r\n\r\n") - 4;
}

/*
 * A caller reads a long answer slowly while its daemon stops. Guards against a
 * daemon that exits with the rest of the answer in its memory.
 */
TEST(Reports, StopWaitsForAnAnswerThatACallerReads)
{
	auto in = start_with_long_answers();

	process_signal(&in->hosts[0].daemon, SIGTERM);
	usleep(LATE_IN_STOP_US);
	EXPECT_EQ(read_slowly(in->hosts[0].callers,
			      "GET /stock/1 HTTP/1.1\r\nHost: mesh.example\r\n"
			      "X-Request-Id: slow-1\r\nX-Timeout-Ms: 2000\r\n"
			      "\r\n"),
		  LONG_ANSWER_BYTES);
	EXPECT_TRUE(process_wait(&in->hosts[0].daemon, 10000, nullptr));
}

/*
 * Another daemon reads a long answer over a slow link while the daemon beside
 * the server stops. Guards against one that exits with the rest in its memory.
 */
TEST(Reports, StopWaitsForAnAnswerThatAnotherDaemonReads)
{
	auto in = start_with_long_answers();
	CallerAnswer answer;

	process_signal(&in->hosts[0].daemon, SIGTERM);
	usleep(LATE_IN_STOP_US);
	answer = in->send_request(3, "GET", "/stock/1", "", 2300);
	EXPECT_EQ(answer.status, 200);
	EXPECT_EQ(answer.body.size(), LONG_ANSWER_BYTES);
	EXPECT_TRUE(process_wait(&in->hosts[0].daemon, 10000, nullptr));
}

} // namespace

#include <gtest/gtest.h>

#include <atomic>
#include <netinet/in.h>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

#include "roles.h"

extern "C" {
#include "base/clock.h"
#include "http/server.h"
}

namespace
{

/* A server that echoes bodies, and never responds to requests for "/hold". */
struct Server {
	struct net_loop *loop = nullptr;
	struct timers timers = {};
	struct http_server *server = nullptr;
	std::thread thread;
	std::atomic<int> held{ 0 }, disconnected{ 0 }, iterations{ 0 };
	unsigned port = 0;

	static void on_request(struct http_server_conn *conn,
			       struct http_message *message, void *ctx)
	{
		struct http_reply reply = {};

		reply.status = 200;
		reply.fields = "Kind: echo\r\n";
		reply.body = message->body->data;
		reply.body_len = message->body->len;
		if (!strcmp(message->target->str, "/hold"))
			((Server *)ctx)->held++;
		else
			http_server_reply(conn, &reply);
		http_message_free(message);
	}

	static void on_disconnected(struct http_server_conn *, void *ctx)
	{
		((Server *)ctx)->disconnected++;
	}

	Server()
	{
		static const struct http_server_ops ops = { on_request,
							    on_disconnected };
		struct net_loop_options loop_options = {};
		struct http_server_options options = {};

		timers_init(&timers);
		loop_options.ctx = this;
		loop_options.on_iteration = [](void *ctx, int64_t now) {
			((Server *)ctx)->iterations++;
			timers_run(&((Server *)ctx)->timers, now);
		};
		loop_options.next_deadline = [](void *ctx) {
			return timers_next(&((Server *)ctx)->timers);
		};
		loop = net_loop_new(&loop_options);
		options.loop = loop;
		options.timers = &timers;
		options.roles = &test_roles;
		options.limits.message = { 1000, 1000 };
		options.limits.request_read_max_ns = 200 * NS_PER_MS;
		options.limits.idle_max_ns = 400 * NS_PER_MS;
		options.ops = &ops;
		options.ctx = this;
		/* Test processes run in parallel, so each starts elsewhere. */
		for (port = 20000 + (unsigned)getpid() % 20000; !server;
		     port++) {
			std::string text = "127.0.0.1:" + std::to_string(port);

			net_address_parse(&options.listen, text.c_str(), NULL);
			server = http_server_new(&options, NULL);
		}
		port--;
		thread = std::thread([this] { net_loop_run(loop); });
	}

	~Server()
	{
		net_loop_stop(loop);
		thread.join();
		http_server_stop(server);
		net_loop_free(loop);
		timers_release(&timers);
		g_free(server);
	}

	int connect_to()
	{
		struct sockaddr_in in = {};
		int fd = socket(AF_INET, SOCK_STREAM, 0);

		in.sin_family = AF_INET;
		in.sin_port = htons((uint16_t)port);
		in.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		EXPECT_EQ(connect(fd, (struct sockaddr *)&in, sizeof(in)), 0);
		return fd;
	}
};

void send_text(int fd, const std::string &text)
{
	EXPECT_EQ(send(fd, text.data(), text.size(), MSG_NOSIGNAL),
		  (ssize_t)text.size());
}

/* Reads until the server closes the connection, or until a text arrives. */
std::string receive(int fd, const std::string &until = "")
{
	std::string received;
	char buffer[4096];
	ssize_t n;

	while ((until.empty() || received.find(until) == std::string::npos) &&
	       (n = recv(fd, buffer, sizeof(buffer), 0)) > 0)
		received.append(buffer, (size_t)n);
	return received;
}

/* Guards against lost or reordered responses on a persistent connection. */
TEST(HttpServer, ServesPipelinedRequestsInOrder)
{
	Server fixture;
	int fd = fixture.connect_to();
	std::string received;

	send_text(fd, "POST / HTTP/1.1\r\nContent-Length: 1\r\n\r\na"
		      "POST / HTTP/1.1\r\nContent-Length: 1\r\n\r\nb");
	received = receive(fd, "\r\n\r\nb");
	EXPECT_LT(received.find("\r\n\r\na"), received.find("\r\n\r\nb"));
	send_text(fd, "POST / HTTP/1.1\r\nContent-Length: 1\r\n"
		      "Connection: close\r\n\r\nc");
	received = receive(fd);
	EXPECT_NE(received.find("Connection: close"), std::string::npos);
	EXPECT_EQ(received.substr(received.size() - 1), "c");
	close(fd);
}

/* Guards against a request that keeps running after its caller disconnected. */
TEST(HttpServer, ReportsDisconnectedCaller)
{
	Server fixture;
	int fd = fixture.connect_to();

	send_text(fd, "GET /hold HTTP/1.1\r\n\r\n");
	while (!fixture.held)
		usleep(1000);
	close(fd);
	for (int i = 0; i < 2000 && !fixture.disconnected; i++)
		usleep(1000);
	EXPECT_EQ(fixture.disconnected, 1);
}

/*
 * Guards against a busy loop while a request is served: epoll reports input
 * that is left in the socket until the response on each iteration.
 */
TEST(HttpServer, PipelinedInputDoesNotKeepLoopBusy)
{
	Server fixture;
	int fd = fixture.connect_to();
	int iterations;

	send_text(fd, "GET /hold HTTP/1.1\r\n\r\n");
	while (!fixture.held)
		usleep(1000);
	send_text(fd, "GET / HTTP/1.1\r\n\r\n");
	usleep(20000);
	iterations = fixture.iterations;
	usleep(100000);
	EXPECT_LT(fixture.iterations - iterations, 10);
	close(fd);
	for (int i = 0; i < 2000 && !fixture.disconnected; i++)
		usleep(1000);
	EXPECT_EQ(fixture.disconnected, 1);
}

/* Guards against callers that send too much or hold connections open. */
TEST(HttpServer, EnforcesLimits)
{
	static const struct {
		std::string bytes;
		const char *status;
	} cases[] = {
		{ "GET /" + std::string(2000, 'x') + " HTTP/1.1\r\n\r\n",
		  "HTTP/1.1 431 " },
		{ "POST / HTTP/1.1\r\nContent-Length: 2000\r\n\r\n",
		  "HTTP/1.1 413 " },
		{ "nonsense\r\n\r\n", "HTTP/1.1 400 " },
		{ "GET / HTTP/1.1\r\nSlow:", "HTTP/1.1 408 " },
		{ "", "" }, /* an idle connection is closed silently */
	};
	Server fixture;

	for (const auto &test_case : cases) {
		int fd = fixture.connect_to();

		send_text(fd, test_case.bytes);
		EXPECT_EQ(receive(fd).rfind(test_case.status, 0), 0u)
			<< test_case.bytes;
		close(fd);
	}
}

} // namespace

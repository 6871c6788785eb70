#include "platform.h"
#include "raw_backend.h"

#include <sys/socket.h>
#include <unistd.h>

extern "C" {
#include "base/clock.h"
#include "net/address.h"
}

/*
 * Malformed and incomplete messages between callers, daemons and backend
 * servers, as real processes. docs/design/strict-messages.md has the rules.
 */

namespace
{

/* A platform whose only server in use has bytes that the test chooses. */
struct OneServer {
	Platform in{ 4 };
	std::unique_ptr<RawBackend> server;

	explicit OneServer(RawBackend::Serve serve)
	{
		in.start_all();
		/* The bodies of all uploads, longer than the sockets hold. */
		in.publish_config(2, "", 64 * 1024 * 1024);
		for (int host : { 1, 2, 3 })
			in.publish_entry(host, "draining");
		for (const PlatformHost &host : in.hosts)
			EXPECT_TRUE(eventually([&] {
				std::string text =
					call(host.operators, "GET",
					     "/explain?host=mesh.example&"
					     "path=/stock/1")
						.body;

				return text.find("version 2") !=
					       std::string::npos &&
				       text.find(" 1 in service") !=
					       std::string::npos;
			}));
		in.stop_server(0);
		server = std::make_unique<RawBackend>(in.hosts[0].backend,
						      std::move(serve));
	}

	/* Waits until a host's daemon gets valid responses from the server. */
	void wait_for_answers(int host)
	{
		EXPECT_TRUE(eventually([&] {
			return in.send_request(host, "GET", "/stock/1")
				       .status == 200;
		}));
	}

	/* The number of malformed responses that the server's daemon counts. */
	long malformed(const char *kind)
	{
		std::string name = std::string("godwitspur_malformed_total{"
					       "message=\"response\",kind=\"") +
				   kind + "\"} ";
		std::string text =
			call(in.hosts[0].operators, "GET", "/metrics").body;
		size_t at = text.find(name);

		return at == std::string::npos
			       ? -1
			       : std::stol(text.substr(at + name.size()));
	}
};

std::string identity(const RawBackend::Request &request)
{
	return "X-Request-Id: " + request.id +
	       "\r\nX-Server-Signature: proof\r\n";
}

/*
 * Guards against a response that is not valid reaching the caller, on the
 * server's own host and over another daemon, and against waiting for another
 * one until the deadline.
 */
TEST(Messages, InvalidResponseIsALostResponse)
{
	static const struct {
		const char *start, *fields, *body, *kind;
	} cases[] = {
		{ "HTTP/1.1 000 No", "Content-Length: 6\r\n", "secret",
		  "status" },
		{ "HTTP/1.1 099 No", "Content-Length: 6\r\n", "secret",
		  "status" },
		{ "HTTP/1.1 20 No", "Content-Length: 6\r\n", "secret",
		  "status" },
		{ "HTTP/1.1 101 No", "", "", "status" },
		{ "HTTP/1.1 600 No", "Content-Length: 6\r\n", "secret",
		  "status" },
		{ "HTTP/1.1 999 No", "Content-Length: 6\r\n", "secret",
		  "status" },
		{ "HTTP/2.0 200 OK", "Content-Length: 6\r\n", "secret",
		  "version" },
		{ "HTTP/1.1 200 OK", "A b: x\r\nContent-Length: 6\r\n",
		  "secret", "field-name" },
		{ "HTTP/1.1 200 OK", "Content-Length : 3\r\n", "secret",
		  "field-name" },
		{ "HTTP/1.1 200 OK", "A\x01: x\r\nContent-Length: 6\r\n",
		  "secret", "field-name" },
		{ "HTTP/1.1 200 OK\r\n A: x", "Content-Length: 6\r\n", "secret",
		  "folded-line" },
		{ "HTTP/1.1 200 OK", "Transfer-Encoding: chunked\r\n",
		  "6 \r\nsecret\r\n0\r\n\r\n", "chunk" },
		{ "HTTP/1.1 200 OK", "Transfer-Encoding: secret\r\n", "secret",
		  "coding" },
	};
	std::atomic<int> index{ -1 };
	OneServer fixture([&](RawBackend &self, int fd,
			      const RawBackend::Request &next) {
		int at = index;

		if (!RawBackend::read_body(fd, next.body_bytes))
			return false;
		if (at < 0)
			return self.send(fd, RawBackend::answer(next.id, "x"));
		self.send(fd, std::string(cases[at].start) + "\r\n" +
				      identity(next) + cases[at].fields +
				      "\r\n" + cases[at].body);
		/* The daemon closes the connection. */
		return true;
	});

	for (size_t i = 0; i < std::size(cases); i++) {
		for (int host : { 0, 3 }) {
			long before;
			int64_t started;
			CallerAnswer answer;

			index = -1;
			fixture.wait_for_answers(host);
			before = fixture.malformed(cases[i].kind);
			index = (int)i;
			started = clock_monotonic_ns();
			answer =
				fixture.in.send_request(host, "POST",
							"/orders/1", "x", 8000);
			EXPECT_EQ(answer.status, 502)
				<< cases[i].start << " " << cases[i].fields;
			EXPECT_EQ(answer.body.find("secret"),
				  std::string::npos);
			EXPECT_LT(clock_monotonic_ns() - started,
				  4 * NS_PER_SEC)
				<< cases[i].start;
			EXPECT_EQ(fixture.malformed(cases[i].kind), before + 1)
				<< cases[i].start << " " << cases[i].fields;
		}
	}
}

/* How a connection ends while the upload is still being written. */
enum early_end {
	END_RESET,
	END_SHUTDOWN_THEN_RESET
};

/*
 * A server responds to a long upload at once, without a length, sends a part of
 * its body and breaks the connection while the upload is written to it. Guards
 * against the part reaching the caller as a complete response, on the server's
 * own host and over another daemon.
 */
TEST(Messages, EarlyResponseThatBreaksOffIsLost)
{
	static const struct {
		const char *name, *start, *body;
		size_t read_first;
		enum early_end end;
	} cases[] = {
		{ "reset, part, unread", "HTTP/1.1 200 OK", "part", 0,
		  END_RESET },
		{ "reset, part, some read", "HTTP/1.1 200 OK", "part", 1000000,
		  END_RESET },
		{ "reset, empty, unread", "HTTP/1.1 200 OK", "", 0, END_RESET },
		{ "reset, empty, some read", "HTTP/1.1 200 OK", "", 1000000,
		  END_RESET },
		{ "shutdown, part, unread", "HTTP/1.1 200 OK", "part", 0,
		  END_SHUTDOWN_THEN_RESET },
		{ "shutdown, part, some read", "HTTP/1.1 200 OK", "part",
		  1000000, END_SHUTDOWN_THEN_RESET },
		{ "shutdown, empty, unread", "HTTP/1.1 200 OK", "", 0,
		  END_SHUTDOWN_THEN_RESET },
		{ "shutdown, empty, some read", "HTTP/1.1 200 OK", "", 1000000,
		  END_SHUTDOWN_THEN_RESET },
		{ "HTTP/1.0", "HTTP/1.0 200 OK", "part", 0, END_RESET },
		{ "close", "HTTP/1.1 200 OK\r\nConnection: close", "part", 0,
		  END_RESET },
	};
	const std::string upload(32 * 1024 * 1024, 'u');
	std::atomic<int> index{ -1 };
	OneServer fixture([&](RawBackend &self, int fd,
			      const RawBackend::Request &next) {
		int at = index;

		if (at < 0)
			return RawBackend::read_body(fd, next.body_bytes) &&
			       self.send(fd, RawBackend::answer(next.id, "x"));
		RawBackend::read_body(fd, cases[at].read_first);
		self.send(fd, std::string(cases[at].start) + "\r\n" +
				      identity(next) + "\r\n" + cases[at].body);
		usleep(20000);
		if (cases[at].end == END_SHUTDOWN_THEN_RESET) {
			shutdown(fd, SHUT_WR);
			usleep(20000);
		}
		RawBackend::reset_at_close(fd);
		return false;
	});

	for (size_t i = 0; i < std::size(cases); i++) {
		for (int host : { 0, 3 }) {
			CallerAnswer answer;
			int before;

			index = -1;
			fixture.wait_for_answers(host);
			before = fixture.server->nr_runs;
			index = (int)i;
			answer = fixture.in.send_request(host, "POST",
							 "/orders/1", upload,
							 20000);
			EXPECT_EQ(answer.status, 502)
				<< cases[i].name << " host " << host;
			EXPECT_EQ(fixture.server->nr_runs, before + 1)
				<< cases[i].name;
		}
	}
}

/* Sends bytes to an address and returns what arrives before it closes. */
std::string send_raw(const std::string &address, const std::string &bytes)
{
	struct timeval wait = { 5, 0 };
	struct net_address parsed;
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	std::string received;
	char buffer[4096];
	ssize_t n;

	EXPECT_TRUE(net_address_parse(&parsed, address.c_str(), nullptr));
	EXPECT_EQ(connect(fd, (struct sockaddr *)&parsed.storage, parsed.len),
		  0);
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof(wait));
	EXPECT_EQ(send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL),
		  (ssize_t)bytes.size());
	while ((n = recv(fd, buffer, sizeof(buffer), 0)) > 0)
		received.append(buffer, (size_t)n);
	EXPECT_EQ(n, 0) << "the connection stays open";
	close(fd);
	return received;
}

/*
 * Guards against a request that the backend server could read as two, or with
 * another body.
 */
TEST(Messages, AmbiguousRequestGets400)
{
	const std::string hidden = "GET /stock/hidden HTTP/1.1\r\n"
				   "Host: mesh.example\r\n"
				   "X-Request-Id: hidden\r\n\r\n";
	const std::string cases[] = {
		"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n"
		"0\r\n\r\n" +
			hidden,
		"Content-Length: 1\r\nContent-Length: 3\r\n\r\nabc" + hidden,
		"Content-Length : 3\r\n\r\nabc" + hidden,
		"A: x\r\n folded\r\nContent-Length: 3\r\n\r\nabc" + hidden,
		"A: x\rContent-Length: 3\r\n\r\nabc" + hidden,
		"Transfer-Encoding: gzip\r\n\r\n" + hidden,
		"Transfer-Encoding: chunked\r\n\r\n+3\r\nabc\r\n0\r\n\r\n" +
			hidden,
		"Transfer-Encoding: chunked\r\n\r\n3 \r\nabc\r\n0\r\n\r\n" +
			hidden,
		"A: x\nContent-Length: 3\r\n\r\nabc" + hidden,
		"Host: other.example\r\nContent-Length: 3\r\n\r\nabc" + hidden,
	};
	Platform in(1);

	in.start_all();
	for (const std::string &bytes : cases) {
		size_t before = in.runs(0);
		std::string answer = send_raw(in.hosts[0].callers,
					      "POST /orders/1 HTTP/1.1\r\n"
					      "Host: mesh.example\r\n"
					      "X-Request-Id: 1\r\n" +
						      bytes);

		EXPECT_EQ(answer.rfind("HTTP/1.1 400 ", 0), 0u) << bytes;
		EXPECT_EQ(in.runs(0), before) << bytes;
	}
}

} // namespace

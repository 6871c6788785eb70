#include <gtest/gtest.h>

#include <atomic>
#include <functional>
#include <netinet/in.h>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

#include "roles.h"

extern "C" {
#include "base/clock.h"
#include "http/client.h"
}

namespace
{

/* A socket that listens at a free port of the loopback address. */
struct Listener {
	int fd;
	struct net_address address = {};

	Listener()
	{
		struct sockaddr_in *in = (struct sockaddr_in *)&address.storage;

		fd = socket(AF_INET, SOCK_STREAM, 0);
		in->sin_family = AF_INET;
		in->sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		address.len = sizeof(*in);
		EXPECT_EQ(bind(fd, (struct sockaddr *)in, sizeof(*in)), 0);
		EXPECT_EQ(listen(fd, 4), 0);
		EXPECT_EQ(getsockname(fd, (struct sockaddr *)in, &address.len),
			  0);
	}

	~Listener()
	{
		close(fd);
	}
};

/* A server that responds to the first request with the given bytes. */
struct RawServer : Listener {
	std::thread thread;

	RawServer(const std::string &bytes, bool reset, bool close_after)
	    : thread([=] { serve(bytes, reset, close_after); })
	{
	}

	void serve(const std::string &bytes, bool reset, bool close_after)
	{
		int conn = accept(fd, NULL, NULL);
		struct linger linger = { 1, 0 };
		char buffer[4096];

		EXPECT_GT(recv(conn, buffer, sizeof(buffer), 0), 0);
		EXPECT_EQ(send(conn, bytes.data(), bytes.size(), MSG_NOSIGNAL),
			  (ssize_t)bytes.size());
		if (reset)
			setsockopt(conn, SOL_SOCKET, SO_LINGER, &linger,
				   sizeof(linger));
		if (!close_after)
			/* The client closes first. */
			while (recv(conn, buffer, sizeof(buffer), 0) > 0)
				;
		close(conn);
	}

	~RawServer()
	{
		thread.join();
	}
};

struct Result {
	bool done = false;
	bool closed = false;
	enum http_end end = HTTP_END_LOST;
	int status = 0;
	std::string body;
	bool idle = false;
	int64_t idle_wait = 0; /* for which it may be reused */
};

void on_done(struct http_client *client, enum http_end end,
	     struct http_message *response, void *ctx)
{
	Result *result = (Result *)ctx;

	result->done = true;
	result->end = end;
	result->idle = http_client_is_idle(client);
	result->idle_wait =
		http_client_idle_deadline(client) - clock_monotonic_ns();
	if (response) {
		result->status = response->status;
		result->body.assign((const char *)response->body->data,
				    response->body->len);
	}
	http_message_free(response);
}

void on_closed(struct http_client *, void *ctx)
{
	((Result *)ctx)->closed = true;
}

const struct http_client_ops ops = { on_done, on_closed };

/* How long a request that should end may take on a busy machine. */
const int64_t END_MAX_NS = 10 * NS_PER_SEC;

/* How long a request that should not end is watched. */
const int64_t NO_END_NS = 300 * NS_PER_MS;

/* Sends one request and runs the loop until it has ended, or for a time. */
Result exchange(const struct net_address &address, const std::string &body = "",
		int64_t wait = END_MAX_NS)
{
	struct context {
		struct net_loop *loop;
		Result result;
		int64_t deadline;
	} context;
	struct net_loop_options loop_options = {};
	struct http_client_options options = {};
	struct http_client *client;
	GString *head = g_string_new("GET / HTTP/1.1\r\nRequest-Id: 7\r\n\r\n");

	context.deadline = clock_monotonic_ns() + wait;
	loop_options.ctx = &context;
	loop_options.on_iteration = [](void *ctx, int64_t now) {
		struct context *context = (struct context *)ctx;

		if (context->result.done || now >= context->deadline)
			net_loop_stop(context->loop);
	};
	loop_options.next_deadline = [](void *ctx) {
		return ((struct context *)ctx)->deadline;
	};
	context.loop = net_loop_new(&loop_options);
	options.loop = context.loop;
	options.address = address;
	options.roles = &test_roles;
	options.limits = { 4096, 4096 };
	options.ops = &ops;
	options.ctx = &context.result;
	client = http_client_new(&options);
	http_client_send(client, head, body.data(), body.size(), "7");
	net_loop_run(context.loop);
	http_client_free(client);
	net_loop_free(context.loop);
	g_string_free(head, TRUE);
	return context.result;
}

const char OK[] =
	"HTTP/1.1 200 OK\r\nRequest-Id: 7\r\nContent-Length: 1\r\n\r\nx";

/*
 * Guards against invalid, incomplete or foreign responses being delivered, and
 * against connections being reused after them.
 */
TEST(HttpClient, ClassifiesResponsesOfFaultyServers)
{
	static const struct {
		const char *name;
		std::string bytes;
		bool reset, close_after;
		bool done;
		enum http_end end;
		bool idle;
	} cases[] = {
		{ "valid response", OK, false, false, true, HTTP_END_ANSWERED,
		  true },
		{ "provisional response first",
		  std::string("HTTP/1.1 100 Continue\r\n\r\n") + OK, false,
		  false, true, HTTP_END_ANSWERED, true },
		{ "extra bytes", std::string(OK) + "HTTP/1.1 200", false, false,
		  true, HTTP_END_ANSWERED, false },
		{ "response to another request first",
		  std::string("HTTP/1.1 200 OK\r\nRequest-Id: 6\r\n"
			      "Content-Length: 1\r\n\r\ny") +
			  OK,
		  false, false, true, HTTP_END_ANSWERED, false },
		{ "only a response to another request",
		  "HTTP/1.1 200 OK\r\nRequest-Id: 6\r\nContent-Length: "
		  "1\r\n\r\n"
		  "y",
		  false, true, true, HTTP_END_LOST, false },
		{ "no id", "HTTP/1.1 503 Full\r\nContent-Length: 1\r\n\r\nx",
		  false, false, true, HTTP_END_ANSWERED, false },
		{ "truncated body",
		  "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nx", false, true,
		  true, HTTP_END_LOST, false },
		{ "closed without response", "", false, true, true,
		  HTTP_END_LOST, false },
		{ "reset", "", true, true, true, HTTP_END_LOST, false },
		{ "not HTTP", "hello\r\n\r\n", false, false, true,
		  HTTP_END_MALFORMED, false },
		{ "delimited by close",
		  "HTTP/1.1 200 OK\r\nRequest-Id: 7\r\n\r\nx", false, true,
		  true, HTTP_END_ANSWERED, false },
		{ "delimited by close, but reset",
		  "HTTP/1.1 200 OK\r\nRequest-Id: 7\r\n\r\nx", true, true, true,
		  HTTP_END_LOST, false },
		{ "no response", "", false, false, false, HTTP_END_LOST,
		  false },
	};

	for (const auto &test_case : cases) {
		RawServer server(test_case.bytes, test_case.reset,
				 test_case.close_after);
		Result result =
			exchange(server.address, "",
				 test_case.done ? END_MAX_NS : NO_END_NS);

		EXPECT_EQ(result.done, test_case.done) << test_case.name;
		if (!result.done)
			continue;
		EXPECT_EQ(result.end, test_case.end) << test_case.name;
		EXPECT_EQ(result.idle, test_case.idle) << test_case.name;
		if (result.end == HTTP_END_ANSWERED) {
			EXPECT_EQ(result.body, "x") << test_case.name;
		}
	}
}

/*
 * Guards against an idle timeout that a faulty server announces and that
 * overflows as a deadline.
 */
TEST(HttpClient, AnnouncedIdleTimeoutIsBounded)
{
	static const struct {
		const char *timeout;
		int64_t wait_max;
	} cases[] = {
		{ "9223372036854775807", 3600 * NS_PER_SEC },
		{ "99999999999999999999", 3600 * NS_PER_SEC },
		{ "10", 7 * NS_PER_SEC },
		{ "-9223372036854775808", 0 },
		{ "x", 0 },
	};

	for (const auto &one : cases) {
		RawServer server(std::string("HTTP/1.1 200 OK\r\nRequest-Id: "
					     "7\r\nKeep-Alive: timeout=") +
					 one.timeout +
					 "\r\nContent-Length: 1\r\n\r\nx",
				 false, false);
		Result result = exchange(server.address);

		ASSERT_TRUE(result.done) << one.timeout;
		EXPECT_LE(result.idle_wait, one.wait_max) << one.timeout;
		EXPECT_GE(result.idle_wait, one.wait_max / 2 - NS_PER_SEC)
			<< one.timeout;
	}
}

/* How a server ends a connection while a request is still being sent. */
enum early_end {
	END_RESET,	     /* reset at once */
	END_CLOSE,	     /* closed with unread bytes, which is a reset */
	END_SHUTDOWN,	     /* closed in order, then reset */
	END_CLOSE_AFTER_READ /* closed in order if all bytes so far are read */
};

/* A server that responds early, while most of the request is unread. */
struct EarlyServer : Listener {
	std::thread thread;

	EarlyServer(const std::string &bytes, size_t read_first,
		    enum early_end end)
	    : thread([=] { serve(bytes, read_first, end); })
	{
	}

	static void read_some(int conn, size_t len)
	{
		std::string buffer(65536, 0);
		ssize_t n = 1;

		for (; len && n > 0; len -= (size_t)n)
			n = recv(conn, &buffer[0], std::min(len, buffer.size()),
				 0);
	}

	void serve(const std::string &bytes, size_t read_first,
		   enum early_end end)
	{
		int conn = accept(fd, NULL, NULL);
		struct linger linger = { 1, 0 };
		std::string buffer(65536, 0);

		read_some(conn, read_first);
		EXPECT_EQ(send(conn, bytes.data(), bytes.size(), MSG_NOSIGNAL),
			  (ssize_t)bytes.size());
		/* The client reads the bytes before the end. */
		usleep(5000);
		if (end == END_CLOSE_AFTER_READ)
			for (int i = 0; i < 100; i++)
				if (recv(conn, &buffer[0], buffer.size(),
					 MSG_DONTWAIT) <= 0)
					break;
		if (end == END_SHUTDOWN)
			shutdown(conn, SHUT_WR);
		if (end == END_SHUTDOWN)
			usleep(5000);
		if (end == END_RESET || end == END_SHUTDOWN)
			setsockopt(conn, SOL_SOCKET, SO_LINGER, &linger,
				   sizeof(linger));
		close(conn);
	}

	~EarlyServer()
	{
		thread.join();
	}
};

/*
 * A server responds before it has read the request, and the connection breaks
 * while the request is still being written. Guards against the part of the body
 * that arrived being delivered as a whole one: the error of a failed write is
 * reported once, and the next read looks like an orderly close.
 */
TEST(HttpClient, EarlyResponseThatBreaksOffIsNotComplete)
{
	/* More than the sockets hold and the server reads. */
	const std::string upload(32 * 1024 * 1024, 'u');
	const std::string id = "Request-Id: 7\r\n";
	const std::string heads[] = {
		"HTTP/1.1 200 OK\r\n" + id + "\r\n",
		"HTTP/1.1 200 OK\r\nConnection: close\r\n" + id + "\r\n",
		"HTTP/1.0 200 OK\r\n" + id + "\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 99\r\n" + id + "\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" + id +
			"\r\n9\r\n",
	};
	const enum early_end ends[] = { END_RESET, END_CLOSE, END_SHUTDOWN,
					END_CLOSE_AFTER_READ };

	for (const std::string &head : heads)
		for (enum early_end end : ends)
			for (size_t read_first : { 10, 1000000 })
				for (const char *part : { "", "12345" }) {
					EarlyServer server(head + part,
							   read_first, end);
					Result result =
						exchange(server.address, upload,
							 END_MAX_NS);

					EXPECT_TRUE(result.done)
						<< head << part << " end "
						<< end << " after "
						<< read_first;
					EXPECT_EQ(result.end, HTTP_END_LOST)
						<< head << part << " end "
						<< end << " after "
						<< read_first;
				}
}

/*
 * Guards against losing the response of a server that ends it early, but reads
 * the whole request (RFC 9112, 9.6).
 */
TEST(HttpClient, EarlyResponseIsCompleteWhenTheRequestIsRead)
{
	const std::string upload(8 * 1024 * 1024, 'u');
	Listener server;
	std::thread thread([&] {
		const std::string bytes =
			"HTTP/1.1 413 No\r\nRequest-Id: 7\r\n\r\nx";
		int conn = accept(server.fd, NULL, NULL);

		EXPECT_EQ(send(conn, bytes.data(), bytes.size(), MSG_NOSIGNAL),
			  (ssize_t)bytes.size());
		shutdown(conn, SHUT_WR);
		usleep(20000);
		EarlyServer::read_some(conn, SIZE_MAX);
		close(conn);
	});
	Result result = exchange(server.address, upload, END_MAX_NS);

	thread.join();
	EXPECT_EQ(result.end, HTTP_END_ANSWERED);
	EXPECT_EQ(result.status, 413);
	EXPECT_EQ(result.body, "x");
}

/* A server that repeats a unit after its first bytes until the client closes.
 */
struct EndlessServer : Listener {
	std::atomic<size_t> sent{ 0 };
	std::thread thread;

	EndlessServer(const std::string &first, const std::string &unit)
	    : thread([=] { serve(first, unit); })
	{
	}

	void serve(const std::string &first, const std::string &unit)
	{
		int conn = accept(fd, NULL, NULL);
		std::string block;
		char buffer[4096];
		ssize_t n;

		while (block.size() < 65536)
			block += unit;
		EXPECT_GT(recv(conn, buffer, sizeof(buffer), 0), 0);
		send(conn, first.data(), first.size(), MSG_NOSIGNAL);
		while ((n = send(conn, block.data(), block.size(),
				 MSG_NOSIGNAL)) > 0)
			sent += (size_t)n;
		close(conn);
	}

	~EndlessServer()
	{
		thread.join();
	}
};

/*
 * Guards against bytes without end that are no response: each must end the
 * request as one that may have run, long before its deadline, and close the
 * connection.
 */
TEST(HttpClient, EndsResponsesWithoutEnd)
{
	const std::string head = "HTTP/1.1 200 OK\r\nRequest-Id: 7\r\n";
	const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
	/* More than the sockets of both sides hold. */
	const size_t sent_max = 24 * 1024 * 1024;
	const struct {
		const char *name;
		std::string first, unit;
	} cases[] = {
		{ "garbage", "", "\x01\x02" },
		{ "line ends before the status line", "", "\r\n" },
		{ "reason phrase", "HTTP/1.1 200 ", "O" },
		{ "field name", head, "X" },
		{ "field value", head + "X: ", "y" },
		{ "fields", head, "X: y\r\n" },
		{ "body without length", head + "\r\n", "x" },
		{ "body with a huge length",
		  head + "Content-Length: 99999999999\r\n\r\n", "x" },
		{ "chunks", chunked, "1\r\nx\r\n" },
		{ "chunk size", chunked, "0" },
		{ "chunk extension", chunked + "1;", "a" },
		{ "trailers", chunked + "0\r\n", "X: y\r\n" },
		{ "100 Continue", "", "HTTP/1.1 100 Continue\r\n\r\n" },
		{ "102 Processing", "",
		  "HTTP/1.1 102 Processing\r\nX: y\r\n\r\n" },
		{ "responses to another request", "",
		  "HTTP/1.1 200 OK\r\nRequest-Id: 6\r\n"
		  "Content-Length: 1\r\n\r\ny" },
	};

	for (const auto &test_case : cases) {
		EndlessServer server(test_case.first, test_case.unit);
		Result result = exchange(server.address);

		EXPECT_TRUE(result.done) << test_case.name;
		EXPECT_EQ(result.end, HTTP_END_MALFORMED) << test_case.name;
		EXPECT_FALSE(result.idle) << test_case.name;
		EXPECT_LT(server.sent, sent_max) << test_case.name;
	}
}

/*
 * Guards against a request on a connection that has carried its id, where a
 * second copy of the earlier response would be taken for its own.
 */
TEST(HttpClient, KnowsTheRecentIdsOfAConnection)
{
	struct net_loop_options loop_options = {};
	struct http_client_options options = {};
	GString *head = g_string_new("GET / HTTP/1.1\r\n\r\n");
	struct net_loop *loop = net_loop_new(&loop_options);
	struct http_client *client;
	Listener listener;

	options.loop = loop;
	options.address = listener.address;
	options.roles = &test_roles;
	options.ops = &ops;
	client = http_client_new(&options);
	ASSERT_NE(client, nullptr);
	EXPECT_FALSE(http_client_has_carried(client, "a"));
	http_client_send(client, head, "", 0, "a");
	http_client_send(client, head, "", 0, NULL);
	http_client_send(client, head, "", 0, "b");
	EXPECT_TRUE(http_client_has_carried(client, "a"));
	EXPECT_TRUE(http_client_has_carried(client, "b"));
	EXPECT_FALSE(http_client_has_carried(client, "c"));
	/* Memory stays bounded: the oldest id gives way. */
	for (int i = 0; i < 255; i++)
		http_client_send(client, head, "", 0,
				 std::to_string(i).c_str());
	EXPECT_FALSE(http_client_has_carried(client, "a"));
	EXPECT_TRUE(http_client_has_carried(client, "b"));
	EXPECT_TRUE(http_client_has_carried(client, "254"));
	http_client_free(client);
	net_loop_free(loop);
	g_string_free(head, TRUE);
}

/*
 * Guards against a refused connection being reported as a lost request, which
 * could not be retried safely.
 */
TEST(HttpClient, RefusedConnectionSentNothing)
{
	struct net_address address;

	ASSERT_TRUE(net_address_parse(&address, "127.0.0.1:1", NULL));
	EXPECT_EQ(exchange(address).end, HTTP_END_NOT_SENT);
}

} // namespace

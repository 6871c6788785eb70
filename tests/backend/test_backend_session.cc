#include <sys/socket.h>

#include <string>
#include <thread>
#include <unistd.h>
#include <vector>

#include "support/standin.hh"

extern "C" {
#include "backend.h"
#include "base/clock.h"
}

/* A session with one backend server, like that of a slot worker. */
struct Session {
	struct net_address address;
	struct backend_session *session;
	uint64_t life = 1;
	std::vector<std::string> headers; /* header names of the last answer */

	explicit Session(const char *listen)
	{
		EXPECT_TRUE(net_address_parse(&address, listen, nullptr));
		session = backend_session_new(&address);
	}

	explicit Session(const Standin &backend)
	{
		EXPECT_TRUE(net_address_parse(&address, backend.address.c_str(),
					      nullptr));
		session = backend_session_new(&address);
	}

	Session(const Session &) = delete;

	~Session()
	{
		backend_session_free(session);
	}

	enum failure_reason run(const char *method, const char *path,
				const std::string &body = "")
	{
		struct traffic_request request = {};
		struct traffic_answer answer = {};
		struct backend_call call = {};
		enum failure_reason reason;
		char empty[] = "";
		bool draining;

		request.method = const_cast<char *>(method);
		request.path = const_cast<char *>(path);
		request.ticket = empty;
		request.body.body_val = const_cast<char *>(body.data());
		request.body.body_len = (u_int)body.size();
		call.request = &request;
		call.request_id = "r1";
		call.deadline = clock_monotonic_ns() + 5 * NS_PER_SEC;
		call.may_resend = method_is_idempotent(method);
		call.body_max = 1024;
		call.life = life;
		reason = backend_run(session, &call, &answer, &draining);
		headers.clear();
		for (u_int i = 0; i < answer.headers.headers_len; i++)
			headers.push_back(answer.headers.headers_val[i].name);
		xdr_free((xdrproc_t)xdr_traffic_answer, &answer);
		return reason;
	}
};

/* Waits for the exit of a stand-in after a request to crash. */
static void expect_exit(Standin &backend)
{
	int status = -1;

	EXPECT_TRUE(process_wait(&backend.process, 30000, &status));
	backend.process.pid = 0;
}

static void expect_lost(const char *method)
{
	Standin backend(STANDIN_BACKEND);
	Session session(backend);

	EXPECT_EQ(session.run("GET", "/a"), FAILURE_NONE);
	EXPECT_EQ(session.run(method, "/crash-me"), FAILURE_BACKEND_LOST);
	/* All sockets of a process are closed once it has exited. */
	expect_exit(backend);
	EXPECT_TRUE(backend_refuses(&session.address));
	/* The session has no open connection left, so nothing was sent. */
	EXPECT_EQ(session.run(method, "/a"), FAILURE_BACKEND_REFUSED);
}

/*
 * Guards against a request that crashed the backend server on a kept
 * connection being reported as not-run and not counted as a crash: neon resends
 * an idempotent request, and the second connection is refused.
 */
TEST(BackendSession, CrashOnKeptConnectionIsLost)
{
	expect_lost("GET");
	expect_lost("DELETE");
}

/* Guards against the same fault for a method that neon does not resend. */
TEST(BackendSession, CrashByPostIsLost)
{
	expect_lost("POST");
}

/* Guards against a refusal reported as unknown, which would not be retried. */
TEST(BackendSession, RefusedOnFirstConnection)
{
	Standin backend(STANDIN_BACKEND);
	Session session(backend);

	EXPECT_EQ(call(backend.address, "GET", "/crash-me").status, 0);
	expect_exit(backend);
	EXPECT_EQ(session.run("GET", "/a"), FAILURE_BACKEND_REFUSED);
	EXPECT_EQ(session.run("POST", "/a"), FAILURE_BACKEND_REFUSED);
}

/*
 * Guards against a harmless request being counted as the cause of a crash that
 * another worker has already detected: the same crash closed the connection
 * that this worker kept.
 */
TEST(BackendSession, DetectedCrashIsNotCountedForNextRequest)
{
	Standin backend(STANDIN_BACKEND);
	Session session(backend);

	EXPECT_EQ(session.run("GET", "/a"), FAILURE_NONE);
	EXPECT_EQ(call(backend.address, "GET", "/crash-me").status, 0);
	expect_exit(backend);
	session.life++;
	EXPECT_EQ(session.run("GET", "/a"), FAILURE_BACKEND_REFUSED);
}

/*
 * Guards against a harmless request being counted as the cause of a crash that
 * happened while no request was running.
 */
TEST(BackendSession, IdleConnectionIsNotReused)
{
	Standin backend(STANDIN_BACKEND);
	Session session(backend);

	EXPECT_EQ(session.run("GET", "/a"), FAILURE_NONE);
	EXPECT_EQ(call(backend.address, "GET", "/crash-me").status, 0);
	expect_exit(backend);
	usleep(1100 * 1000);
	EXPECT_EQ(session.run("GET", "/a"), FAILURE_BACKEND_REFUSED);
}

/*
 * Guards against a crash that is not counted because the exiting process closes
 * the connection of the request before its listening socket.
 */
TEST(BackendSession, LateRefusalIsDetected)
{
	const int rounds = 9;
	char text[ADDRESS_CHARS];
	struct net_address address;
	int seen = 0;

	free_address(text);
	ASSERT_TRUE(net_address_parse(&address, text, nullptr));
	/* More than half of the rounds suffice: a thread may run late. */
	for (int i = 0; i < rounds; i++) {
		int fd = net_listen(&address, nullptr);
		std::thread closing;

		ASSERT_GE(fd, 0);
		closing = std::thread([fd] {
			usleep(5000);
			close(fd);
		});
		seen += backend_refuses(&address);
		closing.join();
	}
	EXPECT_GT(seen, rounds / 2);
}

/* Guards against a running server being taken for a crashed one. */
TEST(BackendSession, OpenListenerDoesNotRefuse)
{
	char text[ADDRESS_CHARS];
	struct net_address address;
	int fd;

	free_address(text);
	ASSERT_TRUE(net_address_parse(&address, text, nullptr));
	fd = net_listen(&address, nullptr);
	ASSERT_GE(fd, 0);
	EXPECT_FALSE(backend_refuses(&address));
	close(fd);
}

/* Guards against a backend server that forges the daemon's own headers. */
TEST(BackendSession, DropsReservedHeaders)
{
	const std::string text = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n"
				 "Godwitspur-Outcome: not-run\r\n"
				 "X-Own: 1\r\n\r\n";
	struct net_address address;
	char listen[ADDRESS_CHARS];
	int fd;

	free_address(listen);
	ASSERT_TRUE(net_address_parse(&address, listen, nullptr));
	fd = socket(AF_INET, SOCK_STREAM, 0);
	ASSERT_EQ(bind(fd, (const struct sockaddr *)&address.storage,
		       address.len),
		  0);
	ASSERT_EQ(::listen(fd, 1), 0);
	std::thread server([&] {
		char request[4096];
		int client = accept(fd, nullptr, nullptr);

		EXPECT_GT(recv(client, request, sizeof(request), 0), 0);
		EXPECT_EQ(send(client, text.data(), text.size(), 0),
			  (ssize_t)text.size());
		close(client);
	});
	Session session(listen);

	EXPECT_EQ(session.run("GET", "/a"), FAILURE_NONE);
	server.join();
	close(fd);
	EXPECT_EQ(session.headers, std::vector<std::string>{ "x-own" });
}

/* Sends one request to a server that responds with bytes of the test. */
static enum failure_reason run_once(const std::string &bytes,
				    const std::string &upload, bool reset)
{
	struct net_address address;
	char listen[ADDRESS_CHARS];
	enum failure_reason reason;
	int fd;

	free_address(listen);
	EXPECT_TRUE(net_address_parse(&address, listen, nullptr));
	fd = socket(AF_INET, SOCK_STREAM, 0);
	EXPECT_EQ(bind(fd, (const struct sockaddr *)&address.storage,
		       address.len),
		  0);
	EXPECT_EQ(::listen(fd, 1), 0);
	std::thread server([&] {
		struct linger linger = { 1, 0 };
		char request[4096];
		int client = accept(fd, nullptr, nullptr);

		EXPECT_GT(recv(client, request, sizeof(request), 0), 0);
		EXPECT_EQ(send(client, bytes.data(), bytes.size(), 0),
			  (ssize_t)bytes.size());
		usleep(10000);
		if (reset)
			setsockopt(client, SOL_SOCKET, SO_LINGER, &linger,
				   sizeof(linger));
		close(client);
	});
	{
		Session session(listen);

		reason = session.run("POST", "/a", upload);
	}
	server.join();
	close(fd);
	return reason;
}

/* Guards against an invalid response being delivered to the caller. */
TEST(BackendSession, InvalidResponseIsLost)
{
	const std::string cases[] = {
		"HTTP/1.1 000 No\r\nContent-Length: 1\r\n\r\nx",
		"HTTP/1.1 101 No\r\n\r\n",
		"HTTP/1.1 600 No\r\nContent-Length: 1\r\n\r\nx",
		"HTTP/2.0 200 OK\r\nContent-Length: 1\r\n\r\nx",
		"HTTP/1.1 200 OK\r\n A: x\r\nContent-Length: 1\r\n\r\nx",
		"HTTP/1.1 200 OK\r\nA: x\r\n y\r\nContent-Length: 1\r\n\r\nx",
		"HTTP/1.1 200 OK\r\nA b: x\r\nContent-Length: 1\r\n\r\nx",
		"HTTP/1.1 200 OK\r\nA\x01: x\r\nContent-Length: 1\r\n\r\nx",
		"HTTP/1.1 200 OK\r\nContent-Length : 1\r\n\r\nxy",
		"HTTP/1.1 200 OK\r\nContent-Length: +1\r\n\r\nxy",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nx",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
		"1 \r\nx\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\nContent-Length: 1\r\n\r\nx",
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nx",
	};

	for (const std::string &bytes : cases)
		EXPECT_EQ(run_once(bytes, "", false), FAILURE_BACKEND_LOST)
			<< bytes;
}

/*
 * Guards against a part of an early response being delivered as a whole one
 * when the server breaks the connection while the upload is being written.
 */
TEST(BackendSession, EarlyResponseThatBreaksOffIsLost)
{
	const std::string upload(32 * 1024 * 1024, 'u');

	for (const char *start :
	     { "HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.0 200 OK\r\n\r\n",
	       "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" })
		for (const char *part : { "", "part" })
			for (bool reset : { false, true })
				EXPECT_EQ(run_once(std::string(start) + part,
						   upload, reset),
					  FAILURE_BACKEND_LOST)
					<< start << part << reset;
}

/* Guards against a line end of another daemon's text in the request. */
TEST(BackendSession, InvalidForwardedLinesAreNotSent)
{
	Standin backend(STANDIN_BACKEND);
	Session session(backend);

	EXPECT_EQ(session.run("GET", "/a b"), FAILURE_BAD_REQUEST);
	EXPECT_EQ(session.run("GET", "/a HTTP/1.1\r\nX: y\r\n\r\n"),
		  FAILURE_BAD_REQUEST);
	EXPECT_EQ(session.run("GET /a", "/a"), FAILURE_BAD_REQUEST);
	EXPECT_EQ(session.run("GET", "/a"), FAILURE_NONE);
}

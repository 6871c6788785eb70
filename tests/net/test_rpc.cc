#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <atomic>
#include <cstring>
#include <string>
#include <thread>
#include <unistd.h>
#include <vector>

extern "C" {
#include "base/clock.h"
#include "net/rpc.h"
}

namespace
{

const uint32_t PROGRAM = 77;
const uint32_t ECHO = 1;
const uint32_t NO_REPLY = 2;
const uint32_t TWICE_REVERSED = 3;

/*
 * A server whose procedures return their argument at once (ECHO), never
 * (NO_REPLY), or twice and in reverse order of the calls (TWICE_REVERSED).
 */
struct Server {
	struct rpc_service service = {};
	struct net_loop *loop = nullptr;
	struct rpc_listener *listener = nullptr;
	struct net_address address = {};
	/* Transaction ids and arguments of TWICE_REVERSED calls. */
	std::vector<std::pair<uint32_t, uint64_t>> held;
	std::thread thread;

	static bool handle(struct rpc_conn *conn, void *ctx, uint32_t xid,
			   uint32_t procedure, XDR *args,
			   enum accept_stat *error)
	{
		Server *server = (Server *)ctx;
		u_quad_t value;

		*error = GARBAGE_ARGS;
		if (!xdr_u_quad_t(args, &value))
			return false;
		if (procedure == ECHO) {
			rpc_reply(conn, xid, (xdrproc_t)xdr_u_quad_t, &value);
		} else if (procedure == TWICE_REVERSED) {
			server->held.push_back({ xid, value });
			if (server->held.size() < 8)
				return true;
			for (auto it = server->held.rbegin();
			     it != server->held.rend(); ++it)
				for (int n = 0; n < 2; n++)
					rpc_reply(conn, it->first,
						  (xdrproc_t)xdr_u_quad_t,
						  &it->second);
		} else if (procedure != NO_REPLY) {
			*error = PROC_UNAVAIL;
			return false;
		}
		return true;
	}

	Server()
	{
		struct net_loop_options loop_options = {};
		struct rpc_options options = {};
		struct sockaddr_in in = {};
		socklen_t len = sizeof(in);

		loop = net_loop_new(&loop_options);
		service.program = PROGRAM;
		service.version = 1;
		service.handle = handle;
		service.ctx = this;
		options.loop = loop;
		options.record_max = 4096;
		options.output_max = 65536;
		options.service = &service;
		/* The parser refuses port 0, which lets the kernel choose. */
		EXPECT_TRUE(net_address_parse(&address, "127.0.0.1:1", NULL));
		((struct sockaddr_in *)&address.storage)->sin_port = 0;
		listener = rpc_listen(&options, &address, NULL);
		EXPECT_TRUE(listener);
		/* The listener starts with net_source, which starts with fd. */
		getsockname(*(int *)listener, (struct sockaddr *)&in, &len);
		((struct sockaddr_in *)&address.storage)->sin_port =
			in.sin_port;
		thread = std::thread([this] { net_loop_run(loop); });
	}

	~Server()
	{
		net_loop_stop(loop);
		thread.join();
		rpc_listener_free(listener);
		net_loop_free(loop);
	}
};

struct Client {
	struct net_loop *loop;
	struct rpc_conn *conn;
	std::thread thread;

	explicit Client(const struct net_address *address)
	{
		struct net_loop_options loop_options = {};
		struct rpc_options options = {};

		loop = net_loop_new(&loop_options);
		options.loop = loop;
		options.record_max = 4096;
		options.output_max = 65536;
		conn = rpc_connect(&options, address, NULL);
		thread = std::thread([this] { net_loop_run(loop); });
	}

	~Client()
	{
		rpc_conn_close(conn);
		rpc_conn_unref(conn);
		usleep(20000); /* the loop closes the connection */
		net_loop_stop(loop);
		thread.join();
		net_loop_free(loop);
	}
};

struct Call {
	struct rpc_call call = {};
	std::atomic<int> done{ 0 };
	enum rpc_status status = RPC_TIMED_OUT;
	u_quad_t result = 0;
	/* Abandoned by this call's callback, on conn. */
	Call *to_abandon = nullptr;
	struct rpc_conn *conn = nullptr;
	std::atomic<bool> abandoned_other{ false };

	static void on_done(struct rpc_call *rpc, enum rpc_status status,
			    XDR *xdr)
	{
		Call *call = (Call *)rpc;

		call->status = status;
		if (xdr && !xdr_u_quad_t(xdr, &call->result))
			call->result = 0;
		if (call->to_abandon)
			call->abandoned_other =
				rpc_abandon(call->conn,
					    &call->to_abandon->call);
		call->done++;
	}

	void start(Client &client, uint32_t procedure, u_quad_t value)
	{
		call.done = on_done;
		call.deadline = DEADLINE_NEVER;
		rpc_call_start(client.conn, &call, PROGRAM, 1, procedure,
			       (xdrproc_t)xdr_u_quad_t, &value);
	}

	void wait()
	{
		for (int i = 0; !done && i < 5000; i++)
			usleep(1000);
		EXPECT_EQ(done, 1);
	}
};

/* Sends raw bytes and returns whether the server closes the connection. */
bool closes_after(const struct net_address *address, const std::string &bytes)
{
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	struct timeval wait = { 5, 0 };
	char byte;
	ssize_t n;

	EXPECT_EQ(connect(fd, (const struct sockaddr *)&address->storage,
			  address->len),
		  0);
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof(wait));
	EXPECT_EQ(send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL),
		  (ssize_t)bytes.size());
	n = recv(fd, &byte, 1, 0);
	close(fd);
	return n == 0 || (n < 0 && errno == ECONNRESET);
}

} // namespace

/* Guards against replies that are lost when many calls are outstanding. */
TEST(Rpc, EchoesOverOneConnection)
{
	Server server;
	Client client(&server.address);
	std::vector<Call> calls(200);

	for (size_t i = 0; i < calls.size(); i++)
		calls[i].start(client, ECHO, i + 1);
	for (size_t i = 0; i < calls.size(); i++) {
		calls[i].wait();
		EXPECT_EQ(calls[i].status, RPC_DONE);
		EXPECT_EQ(calls[i].result, i + 1);
	}
}

/* Guards against reordered or duplicate replies completing the wrong call. */
TEST(Rpc, MatchesReorderedAndRepeatedReplies)
{
	Server server;
	Client client(&server.address);
	std::vector<Call> calls(8);
	Call last;

	for (size_t i = 0; i < calls.size(); i++)
		calls[i].start(client, TWICE_REVERSED, 100 + i);
	for (size_t i = 0; i < calls.size(); i++) {
		calls[i].wait();
		EXPECT_EQ(calls[i].result, 100 + i);
	}
	last.start(client, ECHO, 5);
	last.wait();
	EXPECT_EQ(last.result, 5u);
}

/* Guards against a callback for an abandoned call, whose memory may be free. */
TEST(Rpc, AbandonedCallIsNeverDone)
{
	Server server;
	Client client(&server.address);
	Call abandoned, other;

	abandoned.start(client, NO_REPLY, 1);
	EXPECT_TRUE(rpc_abandon(client.conn, &abandoned.call));
	other.start(client, ECHO, 2);
	other.wait();
	EXPECT_EQ(other.result, 2u);
	EXPECT_EQ(abandoned.done, 0);
}

/* Guards against calls that stay outstanding after their deadline. */
TEST(Rpc, ExpiresCallsAtTheirDeadline)
{
	Server server;
	Client client(&server.address);
	Call call;

	call.start(client, NO_REPLY, 1);
	rpc_conn_expire(client.conn, clock_monotonic_ns());
	EXPECT_EQ(call.done, 0);
	rpc_conn_expire(client.conn, DEADLINE_NEVER);
	EXPECT_EQ(call.done, 1);
	EXPECT_EQ(call.status, RPC_TIMED_OUT);
}

/* Guards against RPC_NOT_SENT being reported for a call that may have run. */
TEST(Rpc, DistinguishesLostFromNotSent)
{
	Call lost, not_sent;
	{
		Server server;
		Client client(&server.address);
		Call first;

		first.start(client, ECHO, 1);
		first.wait();
		lost.start(client, NO_REPLY, 1);
		rpc_conn_close(client.conn);
		lost.wait();
		EXPECT_EQ(lost.status, RPC_LOST);
	}
	struct net_address closed_port;

	ASSERT_TRUE(net_address_parse(&closed_port, "127.0.0.1:9", NULL));
	Client client(&closed_port);

	not_sent.start(client, ECHO, 1);
	not_sent.wait();
	EXPECT_EQ(not_sent.status, RPC_NOT_SENT);
}

/*
 * A connection closes with two outstanding calls, and the callback of the first
 * abandons the second. Guards against a callback for the abandoned call, whose
 * memory may have been freed or reused by then.
 */
TEST(Rpc, CallAbandonedDuringCloseIsNotDone)
{
	Server server;
	Client client(&server.address);
	Call first, one, other;

	first.start(client, ECHO, 1);
	first.wait();
	one.conn = other.conn = client.conn;
	one.to_abandon = &other;
	other.to_abandon = &one;
	one.start(client, NO_REPLY, 1);
	other.start(client, NO_REPLY, 1);
	rpc_conn_close(client.conn);
	for (int i = 0; one.done + other.done < 1 && i < 5000; i++)
		usleep(1000);
	usleep(20000);
	EXPECT_EQ(one.done + other.done, 1);
	EXPECT_TRUE(one.abandoned_other || other.abandoned_other);
}

/* Guards against a refused call being reported as lost. */
TEST(Rpc, ReportsRefusedCalls)
{
	Server server;
	Client client(&server.address);
	Call call;

	call.start(client, 99, 1);
	call.wait();
	EXPECT_EQ(call.status, RPC_REFUSED);
}

/* Guards against malformed input that holds a connection open or memory. */
TEST(Rpc, ClosesOnMalformedRecords)
{
	struct {
		const char *name;
		std::string bytes;
	} cases[] = {
		{ "record longer than the limit",
		  std::string("\x80\x10\x00\x00", 4) },
		{ "several fragments", std::string("\x00\x00\x00\x04"
						   "abcd",
						   8) },
		{ "not an RPC message", std::string("\x80\x00\x00\x08"
						    "\x00\x00\x00\x01\x00\x00"
						    "\x00\x09",
						    12) },
		{ "empty record", std::string("\x80\x00\x00\x00", 4) },
		{ "HTTP", "GET / HTTP/1.1\r\n\r\n" },
	};
	Server server;

	for (auto &c : cases)
		EXPECT_TRUE(closes_after(&server.address, c.bytes)) << c.name;
	Client client(&server.address);
	Call call;

	call.start(client, ECHO, 4);
	call.wait();
	EXPECT_EQ(call.result, 4u);
}

/*
 * Guards against name resolution, ports out of range and several text forms of
 * one address.
 */
TEST(Address, ParsesOnlyNumericAddresses)
{
	const char *good[] = { "127.0.0.1:80", "[::1]:7001", "10.1.2.3:65535" };
	const char *bad[] = { "",
			      "localhost:80",
			      "127.0.0.1",
			      "127.0.0.1:0",
			      "127.0.0.1:65536",
			      "::1:80",
			      "[::1]",
			      "127.0.0.1:80x",
			      "127.0.0.1:080",
			      "127.0.0.1:\v80",
			      "[127.0.0.1]:80",
			      "[127.0.0.1]x:80" };
	struct net_address address;

	for (const char *text : good)
		EXPECT_TRUE(net_address_parse(&address, text, NULL)) << text;
	for (const char *text : bad) {
		GError *error = NULL;

		ASSERT_FALSE(net_address_parse(&address, text, &error)) << text;
		EXPECT_NE(strstr(error->message, text), nullptr);
		g_error_free(error);
	}
}

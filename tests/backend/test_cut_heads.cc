#include <cstdio>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

#include "support/standin.hh"

extern "C" {
#include "backend.h"
#include "base/clock.h"
#include "fetch.h"
}

/*
 * A server stops in the middle of the head of its answer and closes the
 * connection in order. Each test guards one reader of answers against taking
 * the part for a whole answer without a body.
 */

namespace
{

/* Heads whose end of line and of field may look like the end of the head. */
const std::string HEADS[] = {
	"HTTP/1.1 200 OK\r\nGodwitspur-Outcome: ok\r\nX-Own: 1\r\n\r\n",
	"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
	"HTTP/1.0 200 OK\r\nConnection: close\r\n\r\n",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
};

/* All parts of the heads that lack at least their last byte. */
std::vector<std::string> parts()
{
	std::vector<std::string> parts;

	for (const std::string &head : HEADS)
		for (size_t len = 0; len < head.size(); len++)
			parts.push_back(head.substr(0, len));
	return parts;
}

/* Answers each connection with the bytes and closes it. */
class Server
{
      public:
	explicit Server(const std::string &bytes)
	{
		free_address(text);
		EXPECT_TRUE(net_address_parse(&address, text, nullptr));
		fd = net_listen(&address, nullptr);
		EXPECT_GE(fd, 0);
		thread = std::thread([this, bytes] { serve(bytes); });
	}

	~Server()
	{
		shutdown(fd, SHUT_RDWR);
		thread.join();
		close(fd);
	}

	char text[ADDRESS_CHARS];
	struct net_address address;

      private:
	void serve(const std::string &bytes)
	{
		char request[4096];
		int conn;

		while ((conn = accept(fd, nullptr, nullptr)) >= 0 ||
		       errno == EAGAIN) {
			if (conn < 0) {
				usleep(1000);
				continue;
			}
			if (recv(conn, request, sizeof(request), 0) > 0)
				send(conn, bytes.data(), bytes.size(),
				     MSG_NOSIGNAL);
			close(conn);
		}
	}

	int fd;
	std::thread thread;
};

} // namespace

/* The answers of backend servers, in the daemon of `godwitspur run`. */
TEST(CutHeads, BackendSessionTakesNoPart)
{
	for (const std::string &part : parts()) {
		Server server(part);
		struct backend_session *session =
			backend_session_new(&server.address);
		struct traffic_request request = {};
		struct traffic_answer answer = {};
		struct backend_call call = {};
		char method[] = "POST", path[] = "/a", empty[] = "";
		bool draining;

		request.method = method;
		request.path = path;
		request.ticket = empty;
		request.body.body_val = empty;
		call.request = &request;
		call.request_id = "r1";
		call.deadline = clock_monotonic_ns() + 5 * NS_PER_SEC;
		call.body_max = 1024;
		call.life = 1;
		EXPECT_EQ(backend_run(session, &call, &answer, &draining),
			  FAILURE_BACKEND_LOST)
			<< part;
		xdr_free((xdrproc_t)xdr_traffic_answer, &answer);
		backend_session_free(session);
	}
}

/* The answers of the source of trees. */
TEST(CutHeads, FetchTakesNoPart)
{
	for (const std::string &part : parts()) {
		struct net_loop_options options = {};
		struct net_loop *loop = net_loop_new(&options);
		struct fetch_pool *pool = fetch_pool_new(loop, 1);
		Server server(part);
		struct result {
			struct net_loop *loop;
			int status;
		} result = { loop, 0 };
		struct fetch *fetch = g_new0(struct fetch, 1);

		fetch->address = server.address;
		fetch->path = g_strdup("/manifest");
		fetch->read_timeout_sec = 5;
		fetch->ctx = &result;
		fetch->done = [](struct fetch *fetch) {
			struct result *result = (struct result *)fetch->ctx;

			result->status = fetch->status;
			net_loop_stop(result->loop);
		};
		fetch_start(pool, fetch);
		net_loop_run(loop);
		EXPECT_EQ(result.status, FETCH_FAILED) << part;
		fetch_pool_free(pool);
		net_loop_free(loop);
	}
}

/* The answers of daemons, in the operators' commands. */
TEST(CutHeads, CommandsTakeNoPart)
{
	for (const std::string &part : parts()) {
		Server server(part);
		std::string command = std::string(GODWITSPUR) + " dump " +
				      server.text + " 2>/dev/null";
		FILE *output = popen(command.c_str(), "r");
		char byte;

		ASSERT_TRUE(output);
		EXPECT_EQ(fread(&byte, 1, 1, output), 0u) << part;
		EXPECT_NE(pclose(output), 0) << part;
	}
}

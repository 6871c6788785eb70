#include "mesh.h"

#include <sys/socket.h>

/* Malformed HTTP sent to the caller address through plain sockets. */

namespace
{

struct MalformedRequest {
	const char *name;
	std::string request;
	/* Keep the sending side open; otherwise it is shut down. */
	bool keep_open;
};

/* Sends a request and reads until the peer closes, for at most 10 s. */
std::string exchange(const std::string &address, const std::string &request,
		     bool keep_open)
{
	struct timeval wait = { 10, 0 };
	std::string answer;
	char buffer[4096];
	ssize_t n;
	int fd = connect_to(address.c_str());

	EXPECT_GE(fd, 0);
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof(wait));
	for (size_t at = 0; at < request.size(); at += (size_t)n) {
		n = send(fd, request.data() + at, request.size() - at,
			 MSG_NOSIGNAL);
		if (n <= 0)
			break; /* the server may close early */
	}
	if (!keep_open)
		shutdown(fd, SHUT_WR);
	while ((n = recv(fd, buffer, sizeof(buffer), 0)) > 0)
		answer.append(buffer, (size_t)n);
	EXPECT_FALSE(n < 0 && errno == EAGAIN)
		<< "no answer within 10 s and not closed";
	close(fd);
	return answer;
}

/* The status of the first response, 0 without one. */
int status_of(const std::string &answer)
{
	return answer.compare(0, 9, "HTTP/1.1 ")
		       ? 0
		       : std::atoi(answer.c_str() + 9);
}

const std::string kHost = "Host: mesh\r\n";

const std::vector<MalformedRequest> kCases = {
	{ "two different Content-Length",
	  "POST /portal/notes HTTP/1.1\r\n" + kHost +
		  "Content-Length: 3\r\nContent-Length: 5\r\n\r\nabcde",
	  false },
	{ "Content-Length with sign",
	  "POST /portal/notes HTTP/1.1\r\n" + kHost +
		  "Content-Length: +3\r\n\r\nabc",
	  false },
	{ "Content-Length above 64 bits",
	  "POST /portal/notes HTTP/1.1\r\n" + kHost +
		  "Content-Length: 99999999999999999999999\r\n\r\nabc",
	  false },
	{ "Content-Length and Transfer-Encoding",
	  "POST /portal/notes HTTP/1.1\r\n" + kHost +
		  "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n"
		  "0\r\n\r\nGET /portal/stock?smuggled HTTP/1.1\r\n" +
		  kHost + "\r\n",
	  false },
	{ "unknown Transfer-Encoding",
	  "POST /portal/notes HTTP/1.1\r\n" + kHost +
		  "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
	  false },
	{ "bad chunk size",
	  "POST /portal/notes HTTP/1.1\r\n" + kHost +
		  "Transfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n",
	  false },
	{ "huge header",
	  "GET /portal/stock HTTP/1.1\r\n" + kHost +
		  "X-Large: " + std::string(1 << 20, 'a') + "\r\n\r\n",
	  true },
	{ "huge path",
	  "GET /portal/stock/" + std::string(1 << 20, 'a') + " HTTP/1.1\r\n" +
		  kHost + "\r\n",
	  true },
	{ "header line without colon",
	  "GET /portal/stock HTTP/1.1\r\n" + kHost + "no colon here\r\n\r\n",
	  false },
	{ "space before the colon",
	  "POST /portal/notes HTTP/1.1\r\n" + kHost +
		  "Content-Length : 3\r\n\r\nabc",
	  false },
	{ "no Host", "GET /portal/stock HTTP/1.1\r\n\r\n", false },
	{ "unknown method",
	  "BREW /portal/stock HTTP/1.1\r\n" + kHost +
		  "Connection: close\r\n\r\n",
	  true },
	{ "path with control bytes",
	  "GET /portal/stock/\x01\x02\x7f HTTP/1.1\r\n" + kHost +
		  "Connection: close\r\n\r\n",
	  true },
	{ "path with a raw line feed",
	  "GET /portal/stock/\nX-Injected: 1 HTTP/1.1\r\n" + kHost +
		  "Connection: close\r\n\r\n",
	  true },
	{ "no HTTP", std::string(2000, '\xff') + "\r\n\r\n", false },
	{ "body shorter than Content-Length",
	  "POST /portal/notes HTTP/1.1\r\n" + kHost +
		  "Content-Length: 100\r\n\r\nabc",
	  false },
};

/*
 * Guards against malformed requests that run, that crash the daemon or that
 * impair its service to others.
 */
TEST(ProcessHostile, MalformedRequestsAreRefusedAndOthersServed)
{
	Mesh mesh;

	/* A valid request sent in the same way succeeds. */
	EXPECT_EQ(status_of(exchange(mesh.hosts[0].caller,
				     "GET /portal/stock HTTP/1.1\r\n" + kHost +
					     "Connection: close\r\n\r\n",
				     true)),
		  200);
	for (const MalformedRequest &malformed : kCases) {
		SCOPED_TRACE(malformed.name);
		std::string answer =
			exchange(mesh.hosts[0].caller, malformed.request,
				 malformed.keep_open);
		int status = status_of(answer);

		if (!answer.empty()) {
			EXPECT_GE(status, 400) << answer;
			EXPECT_LT(status, 600) << answer;
		}
		EXPECT_EQ(answer.find("HTTP/1.1 200"), std::string::npos)
			<< answer;
		EXPECT_EQ(mesh.send(0, "GET", "/portal/stock").status, 200);
	}
	EXPECT_EQ(mesh.runs("/portal/notes"), 0);
}

/*
 * Guards against slow senders that never complete a request: others must be
 * served meanwhile, and the incomplete request must not run.
 */
TEST(ProcessHostile, SlowSendersDelayNoOtherCaller)
{
	const std::string request = "POST /portal/notes HTTP/1.1\r\n" + kHost +
				    "Content-Length: 100\r\n\r\n";
	Mesh mesh;
	std::vector<int> fds;

	for (int i = 0; i < 100; i++)
		fds.push_back(connect_to(mesh.hosts[0].caller.c_str()));
	for (size_t at = 0; at < request.size(); at++) {
		for (int fd : fds)
			EXPECT_EQ(send(fd, &request[at], 1, MSG_NOSIGNAL), 1);
		EXPECT_EQ(mesh.send(0, "GET", "/portal/stock").status, 200);
	}
	for (int fd : fds)
		close(fd);
	EXPECT_EQ(mesh.send(0, "GET", "/portal/stock").status, 200);
	EXPECT_EQ(mesh.runs("/portal/notes"), 0);
}

} // namespace

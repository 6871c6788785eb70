#include <gtest/gtest.h>

#include <string>

#include "roles.h"

extern "C" {
#include "http/reader.h"
}

namespace
{

const std::string RESPONSE = "HTTP/1.1 200 OK\r\n";
const std::string LENGTH = "Content-Length: 3\r\n";
const std::string CHUNKED = "Transfer-Encoding: chunked\r\n";
const std::string POST = "POST /a HTTP/1.1\r\nHost: x\r\n";

/*
 * Parses a message that the end of the connection follows, in pieces of the
 * given size.
 */
enum http_read parse(bool requests, const std::string &bytes, size_t piece,
		     std::string *body)
{
	struct http_limits limits = { 4096, 4096 };
	enum http_read state = HTTP_READ_MORE;
	struct http_reader reader;
	size_t used;

	http_reader_init(&reader, requests, &test_roles, &limits);
	for (size_t at = 0; at < bytes.size() && state == HTTP_READ_MORE;
	     at += piece)
		state = http_reader_feed(&reader, &bytes[at],
					 std::min(piece, bytes.size() - at),
					 &used);
	if (state == HTTP_READ_MORE && !requests)
		state = http_reader_end(&reader);
	if (reader.message)
		body->assign((const char *)reader.message->body->data,
			     reader.message->body->len);
	http_reader_release(&reader);
	return state;
}

void expect_state(bool requests, const std::string &bytes,
		  enum http_read expected)
{
	for (size_t piece : { (size_t)1, (size_t)7, bytes.size() }) {
		std::string body;

		EXPECT_EQ(parse(requests, bytes, piece, &body), expected)
			<< bytes << "\nin pieces of " << piece;
		if (expected == HTTP_READ_DONE && !body.empty()) {
			EXPECT_EQ(body, "abc") << bytes;
		}
	}
}

/* Guards against refusing messages that conform. */
TEST(HttpGrammar, AcceptsValidResponses)
{
	const std::string cases[] = {
		RESPONSE + LENGTH + "\r\nabc",
		RESPONSE + CHUNKED + "\r\n3\r\nabc\r\n0\r\n\r\n",
		RESPONSE + CHUNKED +
			"\r\n1;a=b;c=\"d\"\r\na\r\n02\r\nbc\r\n"
			"000\r\nTrailer: x\r\n\r\n",
		RESPONSE + "Transfer-Encoding:CHUNKED \r\n\r\n0\r\n\r\n",
		RESPONSE + "\r\nabc",
		"HTTP/1.0 200 OK\r\n\r\nabc",
		"HTTP/1.1 200 \r\n" + LENGTH + "\r\nabc",
		"HTTP/1.1 599 \xc3\xa9 \t!\r\n" + LENGTH + "\r\nabc",
		RESPONSE + "Content-Length:\t3 \r\n\r\nabc",
		RESPONSE + "Empty:\r\n" + LENGTH + "\r\nabc",
		RESPONSE + "!#$%&'*+-.^_`|~9aZ: \x80\xff\r\n" + LENGTH +
			"\r\nabc",
		"HTTP/1.1 204 No Content\r\n\r\n",
		"HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 304 Not Modified\r\nContent-Length: 3\r\n\r\n",
		"HTTP/1.1 100 Continue\r\n\r\n",
		"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n",
	};

	for (const std::string &bytes : cases)
		expect_state(false, bytes, HTTP_READ_DONE);
}

/*
 * Guards against a response that is not valid being delivered, with another
 * body than the server's, or being passed over like an interim response.
 */
TEST(HttpGrammar, RefusesInvalidResponses)
{
	const std::string body = LENGTH + "\r\nabc";
	const std::string cases[] = {
		"HTTP/1.1 000 OK\r\n" + body,
		"HTTP/1.1 099 OK\r\n" + body,
		"HTTP/1.1 20 OK\r\n" + body,
		"HTTP/1.1 2000 OK\r\n" + body,
		"HTTP/1.1 600 OK\r\n" + body,
		"HTTP/1.1 999 OK\r\n" + body,
		"HTTP/1.1 101 Switching Protocols\r\n\r\n",
		"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n"
		"Connection: upgrade\r\n\r\n",
		"HTTP/1.1 +20 OK\r\n" + body,
		"HTTP/1.1  200 OK\r\n" + body,
		"HTTP/1.1\t200 OK\r\n" + body,
		"HTTP/1.1 200\tOK\r\n" + body,
		"HTTP/1.1 200\r\n" + body,
		"HTTP/1.1 200 O\x01K\r\n" + body,
		"HTTP/1.1 200 O\rK\r\n" + body,
		"HTTP/1.1 200 OK\n" + body,
		"HTTP/1.2 200 OK\r\n" + body,
		"HTTP/0.9 200 OK\r\n" + body,
		"HTTP/2.0 200 OK\r\n" + body,
		"HTTP/1 200 OK\r\n" + body,
		"HTTP/1.10 200 OK\r\n" + body,
		"HTTP/01.1 200 OK\r\n" + body,
		"http/1.1 200 OK\r\n" + body,
		"ICY 200 OK\r\n" + body,
		"RTSP/1.0 200 OK\r\n" + body,
		"\r\nHTTP/1.1 200 OK\r\n" + body,
		" HTTP/1.1 200 OK\r\n" + body,
		RESPONSE + " First: x\r\n" + body,
		RESPONSE + "\tFirst: x\r\n" + body,
		RESPONSE + "A: x\r\n folded\r\n" + body,
		RESPONSE + "A: x\r\n\tfolded\r\n" + body,
		RESPONSE + "A b: x\r\n" + body,
		RESPONSE + "A : x\r\n" + body,
		RESPONSE + "A\t: x\r\n" + body,
		RESPONSE + "A\x01: x\r\n" + body,
		RESPONSE + "A\x7f: x\r\n" + body,
		RESPONSE + "A\xc3: x\r\n" + body,
		RESPONSE + "A(: x\r\n" + body,
		RESPONSE + "A\"b: x\r\n" + body,
		RESPONSE + ": x\r\n" + body,
		RESPONSE + "A\r\n" + body,
		RESPONSE + "A: x\x01y\r\n" + body,
		RESPONSE + "A: x\x7fy\r\n" + body,
		RESPONSE + "A: x\ry\r\n" + body,
		RESPONSE + "A: x\r\r\n" + body,
		RESPONSE + "A: x\n" + body,
		RESPONSE + "A: x" + std::string(1, '\0') + "y\r\n" + body,
		RESPONSE + std::string(1, '\0') + "A: x\r\n" + body,
		RESPONSE + "Content-Length : 3\r\n\r\nabc",
		RESPONSE + "Content-Length: 3\n\r\nabc",
		RESPONSE + "Content-Length: 3\r\n\nabc",
		RESPONSE + "Content-Length:\r\n\r\n",
		RESPONSE + "Content-Length: +3\r\n\r\nabc",
		RESPONSE + "Content-Length: -3\r\n\r\nabc",
		RESPONSE + "Content-Length: 0x3\r\n\r\nabc",
		RESPONSE + "Content-Length: 3 3\r\n\r\nabc",
		RESPONSE + "Content-Length: 3, 3\r\n\r\nabc",
		RESPONSE + "Content-Length: 3,\r\n\r\nabc",
		RESPONSE + "Content-Length: 18446744073709551619\r\n\r\nabc",
		RESPONSE + LENGTH + LENGTH + "\r\nabc",
		RESPONSE + LENGTH + "Content-Length: 2\r\n\r\nabc",
		RESPONSE + LENGTH + CHUNKED + "\r\n3\r\nabc\r\n0\r\n\r\n",
		RESPONSE + CHUNKED + LENGTH + "\r\n3\r\nabc\r\n0\r\n\r\n",
		RESPONSE + CHUNKED + CHUNKED + "\r\n3\r\nabc\r\n0\r\n\r\n",
		RESPONSE + "Transfer-Encoding: gzip\r\n\r\nabc",
		RESPONSE + "Transfer-Encoding: identity\r\n\r\nabc",
		RESPONSE + "Transfer-Encoding:\r\n\r\nabc",
		RESPONSE + "Transfer-Encoding: xchunked\r\n\r\nabc",
		RESPONSE + "Transfer-Encoding: chunked, gzip\r\n\r\nabc",
		RESPONSE + "Transfer-Encoding: gzip, chunked\r\n\r\n"
			   "3\r\nabc\r\n0\r\n\r\n",
		RESPONSE + "Transfer-Encoding: chunked;a=b\r\n\r\n"
			   "3\r\nabc\r\n0\r\n\r\n",
		"HTTP/1.0 200 OK\r\n" + CHUNKED + "\r\n3\r\nabc\r\n0\r\n\r\n",
		"HTTP/1.1 204 No Content\r\n" + LENGTH + "\r\nabc",
		"HTTP/1.1 204 No Content\r\n" + CHUNKED + "\r\n0\r\n\r\n",
		"HTTP/1.1 100 Continue\r\n" + LENGTH + "\r\nabc",
	};

	for (const std::string &bytes : cases)
		expect_state(false, bytes, HTTP_READ_MALFORMED);
}

/* Guards against chunk framing that two parsers read differently. */
TEST(HttpGrammar, RefusesInvalidChunks)
{
	const std::string cases[] = {
		" 3\r\nabc\r\n0\r\n\r\n",
		"3 \r\nabc\r\n0\r\n\r\n",
		"3 ;a\r\nabc\r\n0\r\n\r\n",
		"3\t\r\nabc\r\n0\r\n\r\n",
		"0 3\r\nabc\r\n0\r\n\r\n",
		"+3\r\nabc\r\n0\r\n\r\n",
		"-3\r\nabc\r\n0\r\n\r\n",
		"0x3\r\nabc\r\n0\r\n\r\n",
		"\r\nabc\r\n0\r\n\r\n",
		";a\r\nabc\r\n0\r\n\r\n",
		"3g\r\nabc\r\n0\r\n\r\n",
		"3\nabc\r\n0\r\n\r\n",
		"3\r\rabc\r\n0\r\n\r\n",
		"3\r\nabc\n0\r\n\r\n",
		"3\r\nabcd\r\n0\r\n\r\n",
		"3\r\nabcx\n0\r\n\r\n",
		"3;a\x01\r\nabc\r\n0\r\n\r\n",
		"3;a\rb\r\nabc\r\n0\r\n\r\n",
		"3;a\nb\r\nabc\r\n0\r\n\r\n",
		"00000000000000000000000000003\r\nabc\r\n0\r\n\r\n",
		"10000000000000003\r\nabc\r\n0\r\n\r\n",
		"3\r\nabc\r\n0\r\n Trailer: x\r\n\r\n",
		"3\r\nabc\r\n0\r\nTrailer : x\r\n\r\n",
		"3\r\nabc\r\n0\r\nTrailer: x\n\r\n",
		"3\r\nabc\r\n0\r\n\n",
		"3;" + std::string(5000, 'a') + "\r\nabc\r\n0\r\n\r\n",
	};

	for (const std::string &bytes : cases) {
		expect_state(false, RESPONSE + CHUNKED + "\r\n" + bytes,
			     HTTP_READ_MALFORMED);
		expect_state(true, POST + CHUNKED + "\r\n" + bytes,
			     HTTP_READ_MALFORMED);
	}
}

TEST(HttpGrammar, AcceptsValidRequests)
{
	const std::string cases[] = {
		POST + LENGTH + "\r\nabc",
		POST + CHUNKED + "\r\n3\r\nabc\r\n0\r\n\r\n",
		"\r\nGET /a?b=c%20&d[]={e}|\"f\" HTTP/1.1\r\nHost: "
		"x:80\r\n\r\n",
		"GET / HTTP/1.0\r\n\r\n",
		"GET / HTTP/1.1\r\n\r\n",
		"GET / HTTP/1.1\r\nHost:\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: [::1]:80\r\n\r\n",
		"GET http://x/a HTTP/1.1\r\nHost: x\r\n\r\n",
		"OPTIONS * HTTP/1.1\r\nHost: x\r\n\r\n",
		"CONNECT x:80 HTTP/1.1\r\nHost: x:80\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: x\r\nConnection: upgrade\r\n"
		"Upgrade: h2c\r\n\r\n",
	};

	for (const std::string &bytes : cases)
		expect_state(true, bytes, HTTP_READ_DONE);
}

/*
 * Guards against requests that the backend server could read in another way
 * than the daemon.
 */
TEST(HttpGrammar, RefusesInvalidRequests)
{
	const std::string end = " HTTP/1.1\r\nHost: x\r\n\r\n";
	const std::string cases[] = {
		"GET /\r\n\r\n",
		"GET / HTTP/1.2\r\nHost: x\r\n\r\n",
		"GET / HTTP/0.9\r\nHost: x\r\n\r\n",
		"GET / HTTP/2.0\r\nHost: x\r\n\r\n",
		"GET / HTTP/1.1 \r\nHost: x\r\n\r\n",
		"GET / HTTP/1.1\nHost: x\r\n\r\n",
		"GET / http/1.1\r\nHost: x\r\n\r\n",
		"GET  /" + end,
		"GET\t/" + end,
		" GET /" + end,
		"GET / /" + end,
		"GET /a\x01" + end,
		"GET /a\x7f" + end,
		"GET /a\xc3" + end,
		"GET /a\\b" + end,
		"GET /a#b" + end,
		"GET /a\rb" + end,
		"GET a" + end,
		"GET *" + end,
		"GET x:80" + end,
		"CONNECT /" + end,
		"G(T /" + end,
		"GET http://y/a" + end,
		"GET http:///a" + end,
		"GET http://u@x/a" + end,
		"GET ftp://x/a" + end,
		POST + "Host: x\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: x\r\nhost: y\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: x y\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: x/y\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: u@x\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: x, y\r\n\r\n",
		"GET / HTTP/1.1\r\nHost : x\r\n\r\n",
		"GET / HTTP/1.1\r\n Host: x\r\n\r\n",
		POST + "A: x\r\n folded\r\n\r\n",
		POST + "A: x\ry\r\n\r\n",
		POST + "A: x" + std::string(1, '\0') + "\r\n\r\n",
		POST + "A b: x\r\n\r\n",
		POST + "Content-Length : 3\r\n\r\nabc",
		POST + "Content-Length: 3, 3\r\n\r\nabc",
		POST + LENGTH + LENGTH + "\r\nabc",
		POST + LENGTH + CHUNKED + "\r\n3\r\nabc\r\n0\r\n\r\n",
		POST + CHUNKED + LENGTH + "\r\n3\r\nabc\r\n0\r\n\r\n",
		POST + "Transfer-Encoding: gzip\r\n\r\n",
		POST + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
		POST + "Transfer-Encoding: identity\r\n\r\n",
		POST + "Transfer-Encoding: \x0b"
		       "chunked\r\n\r\n0\r\n\r\n",
		"POST / HTTP/1.0\r\n" + CHUNKED + "\r\n0\r\n\r\n",
	};

	for (const std::string &bytes : cases)
		expect_state(true, bytes, HTTP_READ_MALFORMED);
}

/*
 * Guards against a trailer that overrides or extends the fields of the head,
 * which the backend server and the caller would not agree on.
 */
TEST(HttpGrammar, TrailersAreNotFields)
{
	const std::string bytes = POST + "Request-Id: 7\r\n" + CHUNKED +
				  "\r\n0\r\nRequest-Id: 8\r\nA: x\r\nB: y\r\n"
				  "\r\n";
	struct http_limits limits = { 4096, 4096 };
	struct http_reader reader;
	size_t used;

	http_reader_init(&reader, true, &test_roles, &limits);
	ASSERT_EQ(http_reader_feed(&reader, bytes.data(), bytes.size(), &used),
		  HTTP_READ_DONE);
	EXPECT_STREQ(http_message_value(reader.message, HTTP_ROLE_REQUEST_ID),
		     "7");
	EXPECT_STREQ(reader.message->fields->str,
		     "Host: x\r\nRequest-Id: 7\r\n");
	http_reader_release(&reader);
}

/*
 * Guards against lines of another daemon that would end the message head or
 * change the length of the body.
 */
TEST(HttpGrammar, ChecksForwardedLines)
{
	static const char *const invalid[] = {
		"A: x",
		"A: x\n",
		"A: x\r\n\r\n",
		"A: x\r\n B\r\n",
		"A : x\r\n",
		"A: x\rB: y\r\n",
		"A\r\n",
		"A: \x01\r\n",
		"Content-Length: 3\r\n",
		": x\r\n",
		"transfer-encoding: chunked\r\n",
	};

	EXPECT_TRUE(http_fields_are_valid(""));
	EXPECT_TRUE(http_fields_are_valid("A: x\r\nB:\r\n"));
	for (const char *fields : invalid)
		EXPECT_FALSE(http_fields_are_valid(fields)) << fields;
	EXPECT_TRUE(http_request_line_is_valid("GET", "/a?b"));
	EXPECT_FALSE(http_request_line_is_valid("GET /", "/a"));
	EXPECT_FALSE(http_request_line_is_valid("GET", "/a b"));
	EXPECT_FALSE(http_request_line_is_valid("GET", "/a\r\nB: x"));
	EXPECT_FALSE(http_request_line_is_valid("", "/a"));
	EXPECT_FALSE(http_request_line_is_valid("GET", ""));
	EXPECT_FALSE(http_value_is_valid("a\r\nB: x"));
}

} // namespace

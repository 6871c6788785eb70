#include <gtest/gtest.h>

#include <string>

#include "roles.h"

extern "C" {
#include "http/reader.h"
}

namespace
{

struct Reader {
	struct http_reader reader;

	explicit Reader(bool requests, size_t head_max = 4096,
			size_t body_max = 4096)
	{
		struct http_limits limits = { head_max, body_max };

		http_reader_init(&reader, requests, &test_roles, &limits);
	}
	~Reader()
	{
		http_reader_release(&reader);
	}

	/* Feeds the bytes one by one until the message ends or is refused. */
	enum http_read feed(const std::string &bytes, size_t *used)
	{
		enum http_read state = HTTP_READ_MORE;
		size_t n;

		*used = 0;
		while (*used < bytes.size() && state == HTTP_READ_MORE) {
			state = http_reader_feed(&reader, &bytes[*used], 1, &n);
			*used += 1;
		}
		return state;
	}
};

/* Guards against bytes of the next request being read into this one. */
TEST(HttpReader, StopsAtEndOfRequest)
{
	const std::string first = "POST /a?b=c HTTP/1.1\r\nHost: x\r\n"
				  "Request-Id: 7\r\nContent-Length: 3\r\n"
				  "Other: y\r\n\r\nabc";
	Reader fixture(true);
	size_t used;

	ASSERT_EQ(http_reader_feed(&fixture.reader,
				   (first + "GET / HTTP/1.1\r\n").data(),
				   first.size() + 16, &used),
		  HTTP_READ_DONE);
	EXPECT_EQ(used, first.size());
	EXPECT_STREQ(fixture.reader.message->method, "POST");
	EXPECT_STREQ(fixture.reader.message->target->str, "/a?b=c");
	EXPECT_STREQ(fixture.reader.message->fields->str,
		     "Host: x\r\nRequest-Id: 7\r\nOther: y\r\n");
	EXPECT_STREQ(http_message_value(fixture.reader.message,
					HTTP_ROLE_REQUEST_ID),
		     "7");
	EXPECT_EQ(fixture.reader.message->body->len, 3u);
	EXPECT_TRUE(fixture.reader.message->keep_alive);
	http_reader_next(&fixture.reader);
	ASSERT_EQ(fixture.feed(first, &used), HTTP_READ_DONE);
	EXPECT_EQ(used, first.size());
}

/* Guards against chunk framing in the body, and against forwarding it. */
TEST(HttpReader, DecodesChunkedBody)
{
	Reader fixture(true);
	size_t used;

	ASSERT_EQ(
		fixture.feed(
			"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
			"2\r\nab\r\n1\r\nc\r\n0\r\n\r\n",
			&used),
		HTTP_READ_DONE);
	EXPECT_EQ(fixture.reader.message->body->len, 3u);
	EXPECT_STREQ(fixture.reader.message->fields->str, "");
}

/*
 * Guards against request smuggling, where two servers disagree about the end of
 * a request, and against messages above the limits.
 */
TEST(HttpReader, RefusesMalformedAndTooLargeMessages)
{
	static const struct {
		const char *bytes;
		enum http_read state;
	} cases[] = {
		{ "POST / HTTP/1.1\r\nContent-Length: 1\r\n"
		  "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		  HTTP_READ_MALFORMED },
		{ "POST / HTTP/1.1\r\nContent-Length: 1\r\n"
		  "Content-Length: 2\r\n\r\nab",
		  HTTP_READ_MALFORMED },
		{ "POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
		  HTTP_READ_MALFORMED },
		{ "NOT HTTP\r\n\r\n", HTTP_READ_MALFORMED },
		{ "POST / HTTP/1.1\r\nContent-Length: 11\r\n\r\n",
		  HTTP_READ_BODY_TOO_LARGE },
		{ "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
		  "b\r\n12345678901\r\n",
		  HTTP_READ_BODY_TOO_LARGE },
		{ "GET / HTTP/1.1\r\nLong: 1234567890123456789012345678901234"
		  "5678901234567890123456789012345678901234567890\r\n\r\n",
		  HTTP_READ_HEAD_TOO_LARGE },
	};

	for (const auto &test_case : cases) {
		Reader fixture(true, 64, 10);
		size_t used;

		EXPECT_EQ(fixture.feed(test_case.bytes, &used), test_case.state)
			<< test_case.bytes;
	}
}

/* Guards against a response without a length that never completes. */
TEST(HttpReader, CloseCompletesResponseWithoutLength)
{
	Reader fixture(false);
	size_t used;

	ASSERT_EQ(fixture.feed("HTTP/1.1 200 OK\r\n\r\nabc", &used),
		  HTTP_READ_MORE);
	EXPECT_EQ(http_reader_end(&fixture.reader), HTTP_READ_DONE);
	EXPECT_EQ(fixture.reader.message->body->len, 3u);
	EXPECT_FALSE(fixture.reader.message->keep_alive);
}

/* Guards against a truncated response being taken for a complete one. */
TEST(HttpReader, CloseDoesNotCompleteTruncatedResponse)
{
	static const char *const cases[] = {
		"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc",
	};

	for (const char *bytes : cases) {
		Reader fixture(false);
		size_t used;

		ASSERT_EQ(fixture.feed(bytes, &used), HTTP_READ_MORE);
		EXPECT_NE(http_reader_end(&fixture.reader), HTTP_READ_DONE)
			<< bytes;
	}
}

} // namespace

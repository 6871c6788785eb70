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

	/* Feeds the bytes one by one, as a slow caller sends them. */
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

TEST(HttpReader, RequestIsReadWholeAndNoFurther)
{
	const std::string first = "POST /a?b=c HTTP/1.1\r\nHost: x\r\n"
				  "Request-Id: 7\r\nContent-Length: 3\r\n"
				  "Other: y\r\n\r\nabc";
	Reader in(true);
	size_t used;

	ASSERT_EQ(http_reader_feed(&in.reader,
				   (first + "GET / HTTP/1.1\r\n").data(),
				   first.size() + 16, &used),
		  HTTP_READ_DONE);
	EXPECT_EQ(used, first.size());
	EXPECT_STREQ(in.reader.message->method, "POST");
	EXPECT_STREQ(in.reader.message->target->str, "/a?b=c");
	EXPECT_STREQ(in.reader.message->fields->str,
		     "Host: x\r\nRequest-Id: 7\r\nOther: y\r\n");
	EXPECT_STREQ(http_message_value(in.reader.message,
					HTTP_ROLE_REQUEST_ID),
		     "7");
	EXPECT_EQ(in.reader.message->body->len, 3u);
	EXPECT_TRUE(in.reader.message->keep_alive);
	http_reader_next(&in.reader);
	ASSERT_EQ(in.feed(first, &used), HTTP_READ_DONE);
	EXPECT_EQ(used, first.size());
}

TEST(HttpReader, ChunksAreJoined)
{
	Reader in(true);
	size_t used;

	ASSERT_EQ(
		in.feed("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
			"2\r\nab\r\n1\r\nc\r\n0\r\n\r\n",
			&used),
		HTTP_READ_DONE);
	EXPECT_EQ(in.reader.message->body->len, 3u);
	EXPECT_STREQ(in.reader.message->fields->str, "");
}

/* Guards against requests whose end another server may see elsewhere. */
TEST(HttpReader, FaultyAndTooLargeMessagesAreRefused)
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

	for (const auto &one : cases) {
		Reader in(true, 64, 10);
		size_t used;

		EXPECT_EQ(in.feed(one.bytes, &used), one.state) << one.bytes;
	}
}

/* Only the end of the connection completes an answer without a length. */
TEST(HttpReader, AnswerWithoutLengthEndsWithItsConnection)
{
	Reader in(false);
	size_t used;

	ASSERT_EQ(in.feed("HTTP/1.1 200 OK\r\n\r\nabc", &used), HTTP_READ_MORE);
	EXPECT_EQ(http_reader_end(&in.reader), HTTP_READ_DONE);
	EXPECT_EQ(in.reader.message->body->len, 3u);
	EXPECT_FALSE(in.reader.message->keep_alive);
}

/* An answer that broke off must not look complete. */
TEST(HttpReader, AnswerThatBreaksOffIsNotComplete)
{
	static const char *const cases[] = {
		"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc",
	};

	for (const char *bytes : cases) {
		Reader in(false);
		size_t used;

		ASSERT_EQ(in.feed(bytes, &used), HTTP_READ_MORE);
		EXPECT_NE(http_reader_end(&in.reader), HTTP_READ_DONE) << bytes;
	}
}

} // namespace

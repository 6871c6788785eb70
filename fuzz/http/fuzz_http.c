#include <glib.h>
#include <string.h>

#include "../expect.h"
#include "http/reader.h"

/*
 * Fuzzes the reader of HTTP messages. The first byte of the input tells whether
 * the rest is a request or a response, and how long its pieces are. Whole and
 * in pieces it must be read alike, and an accepted message must be one that can
 * be forwarded.
 */

#define HEAD_MAX_BYTES 65536
#define BODY_MAX_BYTES 65536

static enum http_field_role find_role(const char *name)
{
	if (!g_ascii_strcasecmp(name, "Content-Length") ||
	    !g_ascii_strcasecmp(name, "Transfer-Encoding"))
		return HTTP_ROLE_HOP_BY_HOP;
	return HTTP_ROLE_NONE;
}

static bool is_forwarded(enum http_field_role role)
{
	return role == HTTP_ROLE_NONE;
}

static const struct http_field_roles roles = { find_role, is_forwarded };

static enum http_read read_pieces(struct http_reader *reader, const char *data,
				  size_t size, size_t piece, size_t *used)
{
	enum http_read state = HTTP_READ_MORE;

	*used = 0;
	while (*used < size && state == HTTP_READ_MORE) {
		size_t n;

		state = http_reader_feed(reader, data + *used,
					 MIN(piece, size - *used), &n);
		*used += n;
	}
	return state;
}

static void check_message(const struct http_message *message, bool is_request)
{
	expect(http_fields_are_valid(message->fields->str));
	if (!is_request)
		expect(message->status >= 100 && message->status <= 599 &&
		       message->status != 101);
	else if (*message->target->str == '/')
		expect(http_request_line_is_valid(message->method,
						  message->target->str));
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	const struct http_limits limits = { HEAD_MAX_BYTES, BODY_MAX_BYTES };
	struct http_reader whole, pieces;
	enum http_read state, in_pieces;
	size_t used, used_pieces;
	bool is_request;

	if (size < 2)
		return 0;
	is_request = data[0] & 1;
	http_reader_init(&whole, is_request, &roles, &limits);
	http_reader_init(&pieces, is_request, &roles, &limits);
	state = read_pieces(&whole, (const char *)data + 1, size - 1, size,
			    &used);
	in_pieces = read_pieces(&pieces, (const char *)data + 1, size - 1,
				(size_t)(data[0] >> 1) + 1, &used_pieces);
	expect((state == HTTP_READ_DONE) == (in_pieces == HTTP_READ_DONE));
	if (state == HTTP_READ_DONE) {
		expect(used == used_pieces);
		expect(g_string_equal(whole.message->fields,
				      pieces.message->fields));
		expect(whole.message->body->len == pieces.message->body->len);
		check_message(whole.message, is_request);
	}
	http_reader_release(&whole);
	http_reader_release(&pieces);
	return 0;
}

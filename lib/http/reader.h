#ifndef HTTP_READER_H
#define HTTP_READER_H

#include <http_parser.h>

#include "http/message.h"

/* Reads one HTTP message after another from the bytes of a connection. */

struct http_limits {
	size_t head_max; /* bytes of the start line and the fields */
	size_t body_max; /* bytes */
};

enum http_read {
	HTTP_READ_MORE, /* the message goes on */
	HTTP_READ_DONE, /* message holds it whole */
	HTTP_READ_MALFORMED,
	HTTP_READ_HEAD_TOO_LARGE,
	HTTP_READ_BODY_TOO_LARGE
};

struct http_reader {
	http_parser parser;
	http_parser_settings settings;
	struct http_limits limits;
	const struct http_roles *roles;
	struct http_message *message;
	GString *name;
	GString *value;
	size_t head_bytes;
	enum http_read state;
	bool in_value;
	bool head_done;
	bool started;
	/* Responses only: the request was HEAD, so no body follows. */
	bool no_body;
};

void http_reader_init(struct http_reader *reader, bool requests,
		      const struct http_roles *roles,
		      const struct http_limits *limits);
void http_reader_release(struct http_reader *reader);

/* Starts the next message. */
void http_reader_next(struct http_reader *reader);

/*
 * Reads up to the end of the message; *used says how many bytes belong to it.
 */
enum http_read http_reader_feed(struct http_reader *reader, const char *data,
				size_t len, size_t *used);

/* The connection was closed in order by the other side. */
enum http_read http_reader_end(struct http_reader *reader);

/* The message, which the calling code owns from now on. */
struct http_message *http_reader_take(struct http_reader *reader);

#endif

#ifndef HTTP_READER_H
#define HTTP_READER_H

#include <http_parser.h>

#include "http/grammar.h"
#include "http/message.h"

/*
 * Parses the successive HTTP messages of one direction of a connection. Each
 * byte is checked by http/grammar.h before libhttp-parser gets it, and both
 * must find the same end of the message.
 */

struct http_limits {
	size_t head_max; /* bytes of the request target and the fields */
	size_t body_max; /* bytes */
};

enum http_read {
	HTTP_READ_MORE, /* the message is incomplete */
	HTTP_READ_DONE, /* the message is complete */
	HTTP_READ_MALFORMED,
	HTTP_READ_HEAD_TOO_LARGE,
	HTTP_READ_BODY_TOO_LARGE
};

struct http_reader {
	http_parser parser;
	http_parser_settings settings;
	struct http_limits limits;
	struct http_grammar grammar;
	const struct http_field_roles *roles;
	struct http_message *message;
	GString *name;
	GString *value;
	size_t head_bytes;
	enum http_read state;
	bool in_value;	/* a field value has begun */
	bool head_done; /* the start line and all fields were read */
	bool started;	/* the first byte of the message was read */
	bool no_body;	/* responses to HEAD: no body follows */
};

/* Initialises a reader of requests or, when requests is false, of responses. */
void http_reader_init(struct http_reader *reader, bool requests,
		      const struct http_field_roles *roles,
		      const struct http_limits *limits);
void http_reader_release(struct http_reader *reader);

/* Drops the current message, if any, and starts the next one. */
void http_reader_next(struct http_reader *reader);

/*
 * Parses bytes up to the end of the message. *used is set to the number of
 * bytes that belong to it.
 */
enum http_read http_reader_feed(struct http_reader *reader, const char *data,
				size_t len, size_t *used);

/*
 * Ends the message when the peer has closed the connection in an orderly way,
 * which completes a response without a length.
 */
enum http_read http_reader_end(struct http_reader *reader);

/* Returns the message and passes its ownership to the caller. */
struct http_message *http_reader_take(struct http_reader *reader);

#endif

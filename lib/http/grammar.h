#ifndef HTTP_GRAMMAR_H
#define HTTP_GRAMMAR_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * Checks the bytes of HTTP/1.0 and HTTP/1.1 messages against the grammar of
 * RFC 9110 and RFC 9112. libhttp-parser accepts more than that: unknown
 * versions, status codes and transfer codings, blanks in field names, bare line
 * feeds and blanks in chunk sizes. What two parsers could read in two ways is
 * malformed here, also where an RFC lets a recipient repair it: equal repeated
 * lengths, bare line feeds, folded lines and blanks around a chunk size.
 */

/* The first violation of the grammar in a message. */
enum http_defect {
	HTTP_DEFECT_NONE,
	HTTP_DEFECT_START_LINE,	 /* request line or status line */
	HTTP_DEFECT_VERSION,	 /* neither HTTP/1.0 nor HTTP/1.1 */
	HTTP_DEFECT_STATUS,	 /* 101, below 100 or above 599 */
	HTTP_DEFECT_TARGET,	 /* form or bytes of a request target */
	HTTP_DEFECT_HOST,	 /* repeated or invalid Host */
	HTTP_DEFECT_LINE_END,	 /* a bare CR or LF, a NUL */
	HTTP_DEFECT_LINE_LENGTH, /* a line that is too long */
	HTTP_DEFECT_FIELD_NAME,
	HTTP_DEFECT_FIELD_VALUE,
	HTTP_DEFECT_FOLDED_LINE,
	HTTP_DEFECT_LENGTH,    /* invalid or repeated Content-Length */
	HTTP_DEFECT_CODING,    /* other Transfer-Encoding than chunked */
	HTTP_DEFECT_CHUNK,     /* chunk size, extension or end */
	HTTP_DEFECT_FORWARDED, /* invalid lines from another daemon */
	HTTP_DEFECT_PARSER,    /* refused by libhttp-parser only */
	HTTP_NR_DEFECTS
};

/* The part of a message that the next byte belongs to. */
enum http_grammar_step {
	HTTP_STEP_START_LINE,
	HTTP_STEP_FIELDS,
	HTTP_STEP_BODY, /* delimited by its length */
	HTTP_STEP_BODY_TO_CLOSE,
	HTTP_STEP_CHUNK_SIZE,
	HTTP_STEP_CHUNK_DATA,
	HTTP_STEP_CHUNK_END,
	HTTP_STEP_TRAILERS,
	HTTP_STEP_DONE
};

struct http_grammar {
	GString *line; /* the current line up to the last byte read */
	enum http_grammar_step step;
	enum http_defect defect;
	uint64_t body_left; /* bytes of the body or the chunk */
	uint64_t length;    /* Content-Length */
	GString *target;    /* requests in absolute form: their authority */
	GString *host;
	size_t extension_bytes; /* of all chunks */
	int empty_lines;	/* before the start line */
	int status;
	bool requests;
	bool no_body; /* responses to HEAD, set by the owner */
	bool is_http10;
	bool has_length;
	bool has_host;
	bool is_chunked;
};

void http_grammar_init(struct http_grammar *grammar, bool requests);
void http_grammar_release(struct http_grammar *grammar);

/* Starts the next message. */
void http_grammar_next(struct http_grammar *grammar);

/*
 * Checks the next bytes of a message. Returns how many bytes belong to it;
 * fewer than len only at its end. On a violation, sets grammar->defect.
 */
size_t http_grammar_check(struct http_grammar *grammar, const char *data,
			  size_t len);

/* Returns whether responses with this status never have a body. */
bool http_status_has_no_body(int status);

/* Returns whether text may be the value of a field. */
bool http_value_is_valid(const char *text);

/* Returns whether text is a sequence of valid field lines without framing. */
bool http_fields_are_valid(const char *text);

/* Returns whether a method and a target in origin form are valid. */
bool http_request_line_is_valid(const char *method, const char *target);

/* Returns the name of a kind of violation, for logs and metrics. */
const char *http_defect_name(enum http_defect defect);

/* Counts malformed messages of the process by kind; thread-safe. */
void http_defect_count(bool requests, enum http_defect defect);
uint64_t http_defect_total(bool requests, enum http_defect defect);

#endif

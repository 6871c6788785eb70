#include <stdatomic.h>
#include <string.h>

#include "http/grammar.h"

/* The longest line; libhttp-parser ends longer message heads as well. */
#define LINE_MAX_BYTES (80 * 1024)

/* The longest line of a chunk size with its extensions. */
#define CHUNK_LINE_MAX_BYTES 4096

/* Bytes of the chunk extensions of one message, which are not used. */
#define EXTENSIONS_MAX_BYTES 16384

/* Digits of a chunk size; more could overflow the number in a parser. */
#define CHUNK_DIGITS_MAX 16

/* Empty lines that are ignored before a request line. */
#define EMPTY_LINES_MAX 8

static _Atomic uint64_t defect_totals[2][HTTP_NR_DEFECTS];

/* Bytes and tokens. */

static bool is_token_char(char c)
{
	return g_ascii_isalnum(c) || (c && strchr("!#$%&'*+-.^_`|~", c));
}

static bool is_token(const char *text, size_t len)
{
	for (size_t i = 0; i < len; i++)
		if (!is_token_char(text[i]))
			return false;
	return len > 0;
}

/* HTAB, SP, VCHAR or obs-text. */
static bool is_text_char(char c)
{
	unsigned char byte = (unsigned char)c;

	return byte == '\t' || (byte >= 0x20 && byte != 0x7f);
}

static bool is_text(const char *text, size_t len)
{
	for (size_t i = 0; i < len; i++)
		if (!is_text_char(text[i]))
			return false;
	return true;
}

/*
 * A target holds visible ASCII. Backslashes and fragments are refused because
 * some servers read them as the end or as a part of the path.
 */
static bool is_target_text(const char *text, size_t len)
{
	for (size_t i = 0; i < len; i++)
		if (!g_ascii_isgraph(text[i]) || text[i] == '\\' ||
		    text[i] == '#')
			return false;
	return len > 0;
}

/* Whether text may be a host with an optional port; user names are refused. */
static bool is_authority(const char *text, size_t len)
{
	for (size_t i = 0; i < len; i++)
		if (!g_ascii_isalnum(text[i]) &&
		    (!text[i] || !strchr("-._~%!$&'()*+;=:[]", text[i])))
			return false;
	return true;
}

/* Reads digits only; false when there are none or the number is too large. */
static bool read_number(const char *text, size_t len, unsigned base,
			uint64_t *number)
{
	*number = 0;
	for (size_t i = 0; i < len; i++) {
		int digit = g_ascii_xdigit_value(text[i]);

		if (digit < 0 || digit >= (int)base ||
		    *number > ((uint64_t)INT64_MAX - (uint64_t)digit) / base)
			return false;
		*number = *number * base + (uint64_t)digit;
	}
	return len > 0;
}

/* Start lines. */

/* Reads the version at the beginning of text, which is followed by any byte. */
static enum http_defect check_version(struct http_grammar *grammar,
				      const char *text, size_t len)
{
	if (len < strlen("HTTP/1.1") || strncmp(text, "HTTP/", 5) != 0)
		return HTTP_DEFECT_START_LINE;
	if (text[5] != '1' || text[6] != '.' ||
	    (text[7] != '0' && text[7] != '1'))
		return HTTP_DEFECT_VERSION;
	grammar->is_http10 = text[7] == '0';
	return HTTP_DEFECT_NONE;
}

static enum http_defect check_status_line(struct http_grammar *grammar,
					  const char *line, size_t len)
{
	enum http_defect defect = check_version(grammar, line, len);
	uint64_t status;

	if (defect != HTTP_DEFECT_NONE)
		return defect;
	/* The blank after the status is required without a reason, too. */
	if (len < strlen("HTTP/1.1 200 ") || line[8] != ' ')
		return HTTP_DEFECT_START_LINE;
	if (!read_number(line + 9, 3, 10, &status) || line[12] != ' ')
		return HTTP_DEFECT_STATUS;
	if (status < 100 || status > 599 || status == 101)
		return HTTP_DEFECT_STATUS;
	if (!is_text(line + 13, len - 13))
		return HTTP_DEFECT_START_LINE;
	grammar->status = (int)status;
	return HTTP_DEFECT_NONE;
}

/* The form of a target must be the one that its method has. */
static enum http_defect check_target(struct http_grammar *grammar,
				     const char *method, size_t method_len,
				     const char *target, size_t len)
{
	static const char scheme[] = "http://";
	size_t scheme_len = strlen(scheme);
	size_t authority_len;

	if (!is_target_text(target, len))
		return HTTP_DEFECT_TARGET;
	if (method_len == 7 && !memcmp(method, "CONNECT", 7))
		return is_authority(target, len) ? HTTP_DEFECT_NONE
						 : HTTP_DEFECT_TARGET;
	if (*target == '/')
		return HTTP_DEFECT_NONE;
	if (len == 1 && *target == '*' && method_len == 7 &&
	    !memcmp(method, "OPTIONS", 7))
		return HTTP_DEFECT_NONE;
	if (len <= scheme_len ||
	    g_ascii_strncasecmp(target, scheme, scheme_len) != 0)
		return HTTP_DEFECT_TARGET;
	target += scheme_len;
	len -= scheme_len;
	for (authority_len = 0; authority_len < len; authority_len++)
		if (strchr("/?", target[authority_len]))
			break;
	if (!authority_len || !is_authority(target, authority_len))
		return HTTP_DEFECT_TARGET;
	g_string_append_len(grammar->target, target, (gssize)authority_len);
	return HTTP_DEFECT_NONE;
}

static enum http_defect check_request_line(struct http_grammar *grammar,
					   const char *line, size_t len)
{
	const char *end = line + len;
	const char *target = memchr(line, ' ', len);
	const char *version;
	enum http_defect defect;

	if (!target || !is_token(line, (size_t)(target - line)))
		return HTTP_DEFECT_START_LINE;
	target++;
	version = memchr(target, ' ', (size_t)(end - target));
	if (!version)
		return HTTP_DEFECT_START_LINE;
	version++;
	defect = check_version(grammar, version, (size_t)(end - version));
	if (defect != HTTP_DEFECT_NONE)
		return defect;
	if (end - version != (ptrdiff_t)strlen("HTTP/1.1"))
		return HTTP_DEFECT_START_LINE;
	return check_target(grammar, line, (size_t)(target - 1 - line), target,
			    (size_t)(version - 1 - target));
}

/* Field lines. */

/* Returns the length of the name, or 0 and the violation. */
static size_t check_field(const char *line, size_t len,
			  enum http_defect *defect)
{
	const char *colon = memchr(line, ':', len);
	size_t name_len = colon ? (size_t)(colon - line) : 0;

	*defect = HTTP_DEFECT_NONE;
	if (len && (*line == ' ' || *line == '\t'))
		*defect = HTTP_DEFECT_FOLDED_LINE;
	else if (!colon || !is_token(line, name_len))
		*defect = HTTP_DEFECT_FIELD_NAME;
	else if (!is_text(colon + 1, len - name_len - 1))
		*defect = HTTP_DEFECT_FIELD_VALUE;
	return *defect == HTTP_DEFECT_NONE ? name_len : 0;
}

static bool is_name(const char *line, size_t len, const char *name)
{
	return len == strlen(name) && !g_ascii_strncasecmp(line, name, len);
}

static enum http_defect check_length(struct http_grammar *grammar,
				     const char *value)
{
	if (grammar->has_length ||
	    !read_number(value, strlen(value), 10, &grammar->length))
		return HTTP_DEFECT_LENGTH;
	grammar->has_length = true;
	return HTTP_DEFECT_NONE;
}

static enum http_defect check_coding(struct http_grammar *grammar,
				     const char *value)
{
	if (grammar->is_chunked || grammar->is_http10 ||
	    g_ascii_strcasecmp(value, "chunked") != 0)
		return HTTP_DEFECT_CODING;
	grammar->is_chunked = true;
	return HTTP_DEFECT_NONE;
}

static enum http_defect check_host(struct http_grammar *grammar,
				   const char *value)
{
	if (grammar->has_host || !is_authority(value, strlen(value)))
		return HTTP_DEFECT_HOST;
	grammar->has_host = true;
	g_string_assign(grammar->host, value);
	return HTTP_DEFECT_NONE;
}

/* Checks a field line of the head, and notes how the body is delimited. */
static enum http_defect check_head_field(struct http_grammar *grammar,
					 const char *line, size_t len)
{
	g_autofree char *value = NULL;
	enum http_defect defect;
	size_t name_len = check_field(line, len, &defect);

	if (!name_len)
		return defect;
	value = g_strndup(line + name_len + 1, len - name_len - 1);
	/* A valid value has no other white space than blanks and tabs. */
	g_strstrip(value);
	if (is_name(line, name_len, "Content-Length"))
		return check_length(grammar, value);
	if (is_name(line, name_len, "Transfer-Encoding"))
		return check_coding(grammar, value);
	if (grammar->requests && is_name(line, name_len, "Host"))
		return check_host(grammar, value);
	return HTTP_DEFECT_NONE;
}

bool http_status_has_no_body(int status)
{
	return status < 200 || status == 204 || status == 304;
}

static enum http_defect begin_chunks(struct http_grammar *grammar)
{
	grammar->step = HTTP_STEP_CHUNK_SIZE;
	return HTTP_DEFECT_NONE;
}

static enum http_defect begin_response_body(struct http_grammar *grammar)
{
	bool announced = grammar->is_chunked || grammar->length > 0;

	if (grammar->no_body && grammar->status >= 200) {
		grammar->step = HTTP_STEP_DONE;
		return HTTP_DEFECT_NONE;
	}
	if (http_status_has_no_body(grammar->status)) {
		/* Only the response to a conditional request may announce. */
		grammar->step = HTTP_STEP_DONE;
		return announced && grammar->status != 304 ? HTTP_DEFECT_LENGTH
							   : HTTP_DEFECT_NONE;
	}
	if (grammar->is_chunked)
		return begin_chunks(grammar);
	grammar->body_left = grammar->length;
	grammar->step = HTTP_STEP_BODY_TO_CLOSE;
	if (grammar->has_length)
		grammar->step =
			grammar->length ? HTTP_STEP_BODY : HTTP_STEP_DONE;
	return HTTP_DEFECT_NONE;
}

static enum http_defect end_head(struct http_grammar *grammar)
{
	if (grammar->is_chunked && grammar->has_length)
		return HTTP_DEFECT_CODING;
	if (!grammar->requests)
		return begin_response_body(grammar);
	if (grammar->target->len && grammar->has_host &&
	    g_ascii_strcasecmp(grammar->target->str, grammar->host->str) != 0)
		return HTTP_DEFECT_HOST;
	if (grammar->is_chunked)
		return begin_chunks(grammar);
	grammar->body_left = grammar->length;
	grammar->step = grammar->length ? HTTP_STEP_BODY : HTTP_STEP_DONE;
	return HTTP_DEFECT_NONE;
}

/* Chunks. */

static enum http_defect check_chunk_size(struct http_grammar *grammar,
					 const char *line, size_t len)
{
	const char *extension = memchr(line, ';', len);
	size_t digits = extension ? (size_t)(extension - line) : len;

	grammar->extension_bytes += len - digits;
	if (digits > CHUNK_DIGITS_MAX ||
	    grammar->extension_bytes > EXTENSIONS_MAX_BYTES ||
	    !read_number(line, digits, 16, &grammar->body_left) ||
	    !is_text(line + digits, len - digits))
		return HTTP_DEFECT_CHUNK;
	grammar->step =
		grammar->body_left ? HTTP_STEP_CHUNK_DATA : HTTP_STEP_TRAILERS;
	return HTTP_DEFECT_NONE;
}

static enum http_defect check_chunk_end(struct http_grammar *grammar,
					size_t len)
{
	grammar->step = HTTP_STEP_CHUNK_SIZE;
	return len ? HTTP_DEFECT_CHUNK : HTTP_DEFECT_NONE;
}

/* Lines. */

static enum http_defect check_start_line(struct http_grammar *grammar,
					 const char *line, size_t len)
{
	if (grammar->requests && !len)
		return ++grammar->empty_lines > EMPTY_LINES_MAX
			       ? HTTP_DEFECT_START_LINE
			       : HTTP_DEFECT_NONE;
	grammar->step = HTTP_STEP_FIELDS;
	return grammar->requests ? check_request_line(grammar, line, len)
				 : check_status_line(grammar, line, len);
}

/* Checks a line without its CRLF. */
static enum http_defect check_line(struct http_grammar *grammar,
				   const char *line, size_t len)
{
	enum http_defect defect = HTTP_DEFECT_NONE;

	switch (grammar->step) {
	case HTTP_STEP_START_LINE:
		return check_start_line(grammar, line, len);
	case HTTP_STEP_FIELDS:
		return len ? check_head_field(grammar, line, len)
			   : end_head(grammar);
	case HTTP_STEP_CHUNK_SIZE:
		return check_chunk_size(grammar, line, len);
	case HTTP_STEP_CHUNK_END:
		return check_chunk_end(grammar, len);
	case HTTP_STEP_TRAILERS:
		if (len)
			check_field(line, len, &defect);
		else
			grammar->step = HTTP_STEP_DONE;
		return defect;
	default:
		return HTTP_DEFECT_NONE;
	}
}

/* Checks a line with its line feed. */
static enum http_defect check_whole_line(struct http_grammar *grammar,
					 const char *line, size_t len)
{
	if (len < 2 || line[len - 2] != '\r' || memchr(line, '\r', len - 2) ||
	    memchr(line, '\0', len))
		return HTTP_DEFECT_LINE_END;
	return check_line(grammar, line, len - 2);
}

static size_t line_max(const struct http_grammar *grammar)
{
	switch (grammar->step) {
	case HTTP_STEP_CHUNK_SIZE:
		return CHUNK_LINE_MAX_BYTES;
	case HTTP_STEP_CHUNK_END:
		return strlen("\r\n");
	default:
		return LINE_MAX_BYTES;
	}
}

/* Reads up to the end of the current line. Returns the bytes that it read. */
static size_t read_line(struct http_grammar *grammar, const char *data,
			size_t len)
{
	const char *end = memchr(data, '\n', len);
	size_t used = end ? (size_t)(end - data) + 1 : len;

	if (grammar->line->len + used > line_max(grammar)) {
		grammar->defect =
			grammar->step == HTTP_STEP_START_LINE ||
					grammar->step == HTTP_STEP_FIELDS
				? HTTP_DEFECT_LINE_LENGTH
				: HTTP_DEFECT_CHUNK;
		return used;
	}
	if (end && !grammar->line->len) {
		grammar->defect = check_whole_line(grammar, data, used);
		return used;
	}
	g_string_append_len(grammar->line, data, (gssize)used);
	if (!end)
		return used;
	grammar->defect = check_whole_line(grammar, grammar->line->str,
					   grammar->line->len);
	g_string_truncate(grammar->line, 0);
	return used;
}

/* Passes over bytes of the body. Returns their number. */
static size_t skip_body(struct http_grammar *grammar, size_t len)
{
	size_t used = MIN(len, grammar->body_left);

	grammar->body_left -= used;
	if (!grammar->body_left)
		grammar->step = grammar->step == HTTP_STEP_BODY
					? HTTP_STEP_DONE
					: HTTP_STEP_CHUNK_END;
	return used;
}

size_t http_grammar_check(struct http_grammar *grammar, const char *data,
			  size_t len)
{
	size_t used = 0;

	while (used < len && grammar->step != HTTP_STEP_DONE &&
	       grammar->defect == HTTP_DEFECT_NONE) {
		switch (grammar->step) {
		case HTTP_STEP_BODY_TO_CLOSE:
			return len;
		case HTTP_STEP_BODY:
		case HTTP_STEP_CHUNK_DATA:
			used += skip_body(grammar, len - used);
			break;
		default:
			used += read_line(grammar, data + used, len - used);
		}
	}
	return used;
}

/* Construction and single texts. */

void http_grammar_init(struct http_grammar *grammar, bool requests)
{
	memset(grammar, 0, sizeof(*grammar));
	grammar->requests = requests;
	grammar->line = g_string_new(NULL);
	grammar->target = g_string_new(NULL);
	grammar->host = g_string_new(NULL);
}

void http_grammar_release(struct http_grammar *grammar)
{
	g_string_free(grammar->line, TRUE);
	g_string_free(grammar->target, TRUE);
	g_string_free(grammar->host, TRUE);
}

void http_grammar_next(struct http_grammar *grammar)
{
	struct http_grammar next = {
		.line = grammar->line,
		.target = grammar->target,
		.host = grammar->host,
		.requests = grammar->requests,
	};

	*grammar = next;
	g_string_truncate(grammar->line, 0);
	g_string_truncate(grammar->target, 0);
	g_string_truncate(grammar->host, 0);
}

bool http_value_is_valid(const char *text)
{
	return is_text(text, strlen(text));
}

bool http_fields_are_valid(const char *text)
{
	while (*text) {
		const char *end = strstr(text, "\r\n");
		enum http_defect defect;
		size_t name_len;

		if (!end)
			return false;
		name_len = check_field(text, (size_t)(end - text), &defect);
		if (!name_len || is_name(text, name_len, "Content-Length") ||
		    is_name(text, name_len, "Transfer-Encoding"))
			return false;
		text = end + 2;
	}
	return true;
}

bool http_request_line_is_valid(const char *method, const char *target)
{
	return is_token(method, strlen(method)) && *target == '/' &&
	       is_target_text(target, strlen(target));
}

const char *http_defect_name(enum http_defect defect)
{
	static const char *const names[] = {
		[HTTP_DEFECT_NONE] = "none",
		[HTTP_DEFECT_START_LINE] = "start-line",
		[HTTP_DEFECT_VERSION] = "version",
		[HTTP_DEFECT_STATUS] = "status",
		[HTTP_DEFECT_TARGET] = "target",
		[HTTP_DEFECT_HOST] = "host",
		[HTTP_DEFECT_LINE_END] = "line-end",
		[HTTP_DEFECT_LINE_LENGTH] = "line-length",
		[HTTP_DEFECT_FIELD_NAME] = "field-name",
		[HTTP_DEFECT_FIELD_VALUE] = "field-value",
		[HTTP_DEFECT_FOLDED_LINE] = "folded-line",
		[HTTP_DEFECT_LENGTH] = "length",
		[HTTP_DEFECT_CODING] = "coding",
		[HTTP_DEFECT_CHUNK] = "chunk",
		[HTTP_DEFECT_FORWARDED] = "forwarded",
		[HTTP_DEFECT_PARSER] = "parser",
	};

	return names[defect];
}

void http_defect_count(bool requests, enum http_defect defect)
{
	atomic_fetch_add_explicit(&defect_totals[requests][defect], 1,
				  memory_order_relaxed);
}

uint64_t http_defect_total(bool requests, enum http_defect defect)
{
	return atomic_load_explicit(&defect_totals[requests][defect],
				    memory_order_relaxed);
}

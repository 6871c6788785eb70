#include <string.h>

#include "http/reader.h"

static int stop(struct http_reader *reader, enum http_read state)
{
	reader->state = state;
	return 1; /* ends http_parser_execute() with an error */
}

static int count_head(struct http_reader *reader, size_t len)
{
	reader->head_bytes += len;
	if (reader->head_bytes > reader->limits.head_max)
		return stop(reader, HTTP_READ_HEAD_TOO_LARGE);
	return 0;
}

static int on_begin(http_parser *parser)
{
	struct http_reader *reader = parser->data;

	reader->started = true;
	return 0;
}

static int on_url(http_parser *parser, const char *at, size_t len)
{
	struct http_reader *reader = parser->data;

	g_string_append_len(reader->message->target, at, (gssize)len);
	return count_head(reader, len);
}

/* Stores the current field. Called when the next field or the body begins. */
static void finish_field(struct http_reader *reader)
{
	struct http_message *message = reader->message;
	enum http_field_role role;

	if (!reader->in_value)
		return;
	reader->in_value = false;
	/* libhttp-parser keeps the blanks after a value. */
	g_strchomp(reader->value->str);
	role = reader->roles->find(reader->name->str);
	if (role != HTTP_ROLE_NONE) {
		if (message->values[role])
			message->repeated |= 1u << role;
		g_free(message->values[role]);
		message->values[role] = g_strdup(reader->value->str);
	}
	if (reader->roles->is_forwarded(role))
		http_field_append(message->fields, reader->name->str,
				  reader->value->str);
	g_string_truncate(reader->name, 0);
	g_string_truncate(reader->value, 0);
}

static int on_field(http_parser *parser, const char *at, size_t len)
{
	struct http_reader *reader = parser->data;

	/*
	 * Trailers are no fields of the head (RFC 9110, 6.5): they could set
	 * fields that were already acted on.
	 */
	if (reader->head_done)
		return count_head(reader, len);
	finish_field(reader);
	g_string_append_len(reader->name, at, (gssize)len);
	return count_head(reader, len);
}

static int on_value(http_parser *parser, const char *at, size_t len)
{
	struct http_reader *reader = parser->data;

	if (reader->head_done)
		return count_head(reader, len);
	reader->in_value = true;
	g_string_append_len(reader->value, at, (gssize)len);
	return count_head(reader, len);
}

/* Changes a target in absolute form to origin form. */
static void strip_authority(struct http_reader *reader)
{
	GString *target = reader->message->target;
	size_t authority_len = reader->grammar.target->len;

	if (!authority_len)
		return;
	g_string_erase(target, 0, (gssize)(strlen("http://") + authority_len));
	if (*target->str != '/')
		g_string_prepend_c(target, '/');
}

static int on_head_done(http_parser *parser)
{
	struct http_reader *reader = parser->data;
	struct http_message *message = reader->message;

	finish_field(reader);
	reader->head_done = true;
	if (parser->type == HTTP_REQUEST) {
		strip_authority(reader);
		g_strlcpy(message->method,
			  http_method_str((enum http_method)parser->method),
			  sizeof(message->method));
	} else {
		message->status = (int)parser->status_code;
	}
	/* libhttp-parser reads an announced body of a 304 response. */
	if (parser->type == HTTP_RESPONSE &&
	    (reader->no_body || http_status_has_no_body(message->status)))
		return 1;
	/*
	 * No memory is reserved for the announced length, as the peer could
	 * announce any.
	 */
	if (parser->content_length != UINT64_MAX &&
	    parser->content_length > reader->limits.body_max)
		return -stop(reader, HTTP_READ_BODY_TOO_LARGE);
	return 0;
}

static int on_body(http_parser *parser, const char *at, size_t len)
{
	struct http_reader *reader = parser->data;

	if (reader->message->body->len + len > reader->limits.body_max)
		return stop(reader, HTTP_READ_BODY_TOO_LARGE);
	g_byte_array_append(reader->message->body, (const guint8 *)at,
			    (guint)len);
	return 0;
}

static int on_complete(http_parser *parser)
{
	struct http_reader *reader = parser->data;

	reader->message->keep_alive = http_should_keep_alive(parser);
	reader->state = HTTP_READ_DONE;
	http_parser_pause(parser, 1);
	return 0;
}

void http_reader_init(struct http_reader *reader, bool requests,
		      const struct http_field_roles *roles,
		      const struct http_limits *limits)
{
	memset(reader, 0, sizeof(*reader));
	reader->roles = roles;
	reader->limits = *limits;
	reader->name = g_string_new(NULL);
	reader->value = g_string_new(NULL);
	http_parser_settings_init(&reader->settings);
	reader->settings.on_message_begin = on_begin;
	reader->settings.on_url = on_url;
	reader->settings.on_header_field = on_field;
	reader->settings.on_header_value = on_value;
	reader->settings.on_headers_complete = on_head_done;
	reader->settings.on_body = on_body;
	reader->settings.on_message_complete = on_complete;
	http_grammar_init(&reader->grammar, requests);
	reader->parser.type = requests ? HTTP_REQUEST : HTTP_RESPONSE;
	http_reader_next(reader);
}

void http_reader_release(struct http_reader *reader)
{
	http_message_free(reader->message);
	http_grammar_release(&reader->grammar);
	g_string_free(reader->name, TRUE);
	g_string_free(reader->value, TRUE);
}

void http_reader_next(struct http_reader *reader)
{
	http_parser_init(&reader->parser, reader->parser.type);
	reader->parser.data = reader;
	http_grammar_next(&reader->grammar);
	http_message_free(reader->message);
	reader->message = http_message_new();
	g_string_truncate(reader->name, 0);
	g_string_truncate(reader->value, 0);
	reader->head_bytes = 0;
	reader->in_value = false;
	reader->head_done = false;
	reader->started = false;
	reader->state = HTTP_READ_MORE;
}

/* Passes bytes to libhttp-parser. Returns how many it has used. */
static size_t parse(struct http_reader *reader, const char *data, size_t len)
{
	size_t used = http_parser_execute(&reader->parser, &reader->settings,
					  data, len);

	if (reader->state != HTTP_READ_MORE)
		return used;
	/* Protocol upgrades are not supported. */
	if (HTTP_PARSER_ERRNO(&reader->parser) != HPE_OK ||
	    reader->parser.upgrade)
		reader->state = HTTP_READ_MALFORMED;
	return used;
}

/* Ends the message as malformed, by the violation that was found first. */
static enum http_read refuse(struct http_reader *reader)
{
	if (reader->grammar.defect == HTTP_DEFECT_NONE)
		reader->grammar.defect = HTTP_DEFECT_PARSER;
	http_defect_count(reader->grammar.requests, reader->grammar.defect);
	reader->state = HTTP_READ_MALFORMED;
	return reader->state;
}

enum http_read http_reader_feed(struct http_reader *reader, const char *data,
				size_t len, size_t *used)
{
	struct http_grammar *grammar = &reader->grammar;
	size_t checked;

	*used = 0;
	grammar->no_body = reader->no_body;
	checked = http_grammar_check(grammar, data, len);
	if (grammar->defect != HTTP_DEFECT_NONE)
		return refuse(reader);
	/* libhttp-parser reads no bytes as the end of the connection. */
	if (!checked)
		return reader->state;
	*used = parse(reader, data, checked);
	/* Both must find the same end of the message. */
	if (reader->state == HTTP_READ_MALFORMED ||
	    (reader->state == HTTP_READ_MORE &&
	     grammar->step == HTTP_STEP_DONE) ||
	    (reader->state == HTTP_READ_DONE &&
	     (grammar->step != HTTP_STEP_DONE || *used != checked)))
		return refuse(reader);
	return reader->state;
}

enum http_read http_reader_end(struct http_reader *reader)
{
	reader->message->until_close = reader->head_done;
	if (reader->state == HTTP_READ_MORE)
		parse(reader, NULL, 0);
	return reader->state;
}

struct http_message *http_reader_take(struct http_reader *reader)
{
	struct http_message *message = reader->message;

	reader->message = NULL;
	return message;
}

#include <http_parser.h>
#include <string.h>

#include "http/message.h"

struct http_message *http_message_new(void)
{
	struct http_message *message = g_new0(struct http_message, 1);

	message->target = g_string_new(NULL);
	message->fields = g_string_new(NULL);
	message->body = g_byte_array_new();
	return message;
}

void http_message_free(struct http_message *message)
{
	if (!message)
		return;
	for (int i = 0; i < HTTP_NR_ROLES; i++)
		g_free(message->values[i]);
	g_string_free(message->target, TRUE);
	g_string_free(message->fields, TRUE);
	g_byte_array_unref(message->body);
	g_free(message);
}

const char *http_message_value(const struct http_message *message,
			       enum http_field_role role)
{
	return message->values[role];
}

int64_t http_message_number(const struct http_message *message,
			    enum http_field_role role, int64_t fallback)
{
	const char *text = message->values[role];
	gint64 number;

	if (!text ||
	    !g_ascii_string_to_signed(text, 10, 0, G_MAXINT32, &number, NULL))
		return fallback;
	return number;
}

char *http_message_field(const struct http_message *message, const char *name)
{
	const char *line = message->fields->str;
	size_t len = strlen(name);
	const char *end;

	for (; (end = strstr(line, "\r\n")); line = end + 2)
		if (!g_ascii_strncasecmp(line, name, len) && line[len] == ':')
			return g_strndup(line + len + 2,
					 (gsize)(end - line) - len - 2);
	return NULL;
}

bool http_message_is_repeated(const struct http_message *message,
			      enum http_field_role role)
{
	return message->repeated & 1u << role;
}

/* The role of the field whose line begins at `line`. */
static enum http_field_role line_role(const char *line,
				      const struct http_field_roles *roles)
{
	g_autofree char *name = g_strndup(line, strcspn(line, ":\r\n"));

	return roles->find(name);
}

void http_fields_strip(GString *fields, const struct http_field_roles *roles,
		       enum http_field_role role)
{
	gsize start = 0;

	while (start < fields->len) {
		const char *line = fields->str + start;
		const char *end = strstr(line, "\r\n");
		gsize len = end ? (gsize)(end + 2 - line) : fields->len - start;

		if (line_role(line, roles) == role)
			g_string_erase(fields, (gssize)start, (gssize)len);
		else
			start += len;
	}
}

void http_field_append(GString *fields, const char *name, const char *value)
{
	g_string_append(fields, name);
	g_string_append(fields, ": ");
	g_string_append(fields, value);
	g_string_append(fields, "\r\n");
}

const char *http_status_phrase(int status)
{
	return http_status_str((enum http_status)status);
}

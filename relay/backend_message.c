#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "platform/platform.h"
#include "relay/backend_message.h"

/*
 * Removes keys and claimed organisations from the forwarded lines that begin at
 * `start`. The sender has done so unless its configuration had no organisations
 * yet.
 */
static void strip_organisation(GString *head, gsize start)
{
	g_autoptr(GString) fields = g_string_new(head->str + start);

	http_fields_strip(fields, &platform_field_roles, HTTP_ROLE_KEY);
	http_fields_strip(fields, &platform_field_roles,
			  HTTP_ROLE_ORGANISATION);
	g_string_truncate(head, start);
	g_string_append(head, fields->str);
}

GString *backend_message_head(const struct relay_request *request,
			      const char *backend_id, int64_t time_left_ms,
			      bool has_organisations)
{
	GString *head = g_string_sized_new(512);
	char number[24];
	gsize start;

	g_string_printf(head, "%s %s HTTP/1.1\r\n", request->method,
			request->target);
	start = head->len;
	g_string_append(head, request->fields);
	if (has_organisations || *request->organisation)
		strip_organisation(head, start);
	if (*request->organisation)
		platform_add_field(head, HTTP_ROLE_ORGANISATION,
				   request->organisation);
	snprintf(number, sizeof(number), "%" PRId64,
		 MAX(time_left_ms, INT64_C(1)));
	platform_add_field(head, HTTP_ROLE_TIME_LEFT_MS, number);
	platform_add_field(head, HTTP_ROLE_CALLER_SERVICE,
			   request->caller_service);
	platform_add_field(head, HTTP_ROLE_EXPECTED_BACKEND, backend_id);
	if (request->body.body_len || strcmp(request->method, "GET") != 0)
		g_string_append_printf(head, "Content-Length: %u\r\n",
				       request->body.body_len);
	g_string_append(head, "\r\n");
	return head;
}

static enum failure_reason check_response(const struct http_message *response)
{
	if (http_message_value(response, HTTP_ROLE_NOT_RUN))
		return response->status == 421 ? FAILURE_VERSION
					       : FAILURE_BACKEND_SHED;
	if (response->status == 421)
		return FAILURE_VERSION;
	/* The request accepts only bodies without content encoding. */
	if (http_message_value(response, HTTP_ROLE_ENCODING))
		return FAILURE_BACKEND_LOST;
	/* The backend server sets its signature in all of its responses. */
	if (!http_message_value(response, HTTP_ROLE_SERVER_SIGNATURE))
		return FAILURE_BACKEND_LOST;
	return FAILURE_NONE;
}

enum failure_reason
backend_message_classify(enum http_end end, const struct http_message *response)
{
	switch (end) {
	case HTTP_END_ANSWERED:
		return check_response(response);
	case HTTP_END_NOT_SENT:
		return FAILURE_BACKEND_REFUSED;
	default:
		return FAILURE_BACKEND_LOST;
	}
}

/* xdr_free() uses free(), so the copies are allocated with malloc(). */
void backend_message_to_answer(struct relay_answer *answer,
			       const struct http_message *response)
{
	answer->status = response->status;
	answer->fields = strdup(response->fields->str);
	answer->body.body_len = response->body->len;
	answer->body.body_val = malloc(response->body->len + 1);
	if (!answer->body.body_val || !answer->fields)
		abort();
	if (response->body->len)
		memcpy(answer->body.body_val, response->body->data,
		       response->body->len);
}

#include <pthread.h>
#include <stdlib.h>
#include <string.h>

#include <neon/ne_request.h>
#include <neon/ne_session.h>
#include <neon/ne_socket.h>

#include "http.h"

/* Longer than the longest watch of the configuration service, 60 s. */
#define DEFAULT_TIMEOUT_S 70
#define BLOCK_BYTES 16384

static void init_neon(void)
{
	ne_sock_init();
}

/* Returns the value of the field Host among the headers, or NULL. */
static char *find_host(const char *headers)
{
	g_auto(GStrv) lines = g_strsplit(headers ? headers : "", "\r\n", -1);

	for (char **line = lines; *line; line++)
		if (!g_ascii_strncasecmp(*line, "Host:", 5))
			return g_strdup(g_strstrip(*line + 5));
	return NULL;
}

/*
 * neon sends the name of its session as Host, and a request with two of them is
 * malformed. So the session has the name that the test gives, and *target,
 * which is freed after the session, holds where it connects to.
 */
static ne_session *open_session(const struct http_request *request,
				ne_inet_addr **target)
{
	g_auto(GStrv) parts = g_strsplit(request->address, ":", 2);
	g_autofree char *host = find_host(request->headers);
	unsigned port = parts[1] ? (unsigned)atoi(parts[1]) : 0;
	int timeout =
		request->timeout_s ? request->timeout_s : DEFAULT_TIMEOUT_S;
	ne_session *session = ne_session_create("http", host ? host : parts[0],
						host ? 80 : port);

	*target = NULL;
	if (host) {
		const ne_inet_addr *list[1];

		list[0] = *target = ne_iaddr_parse(parts[0], ne_iaddr_ipv4);
		ne_set_addrlist2(session, port, list, 1);
	}

	ne_set_read_timeout(session, timeout);
	ne_set_connect_timeout(session, timeout);
	/* neon resends requests only on a persistent connection. */
	ne_set_session_flag(session, NE_SESSFLAG_PERSIST, 0);
	return session;
}

static void add_headers(ne_request *req, const char *headers)
{
	g_auto(GStrv) lines = g_strsplit(headers ? headers : "", "\r\n", -1);

	for (char **line = lines; *line; line++) {
		char *value = strchr(*line, ':');

		if (!value)
			continue;
		*value++ = '\0';
		if (!g_ascii_strcasecmp(*line, "Host"))
			continue;
		ne_add_request_header(req, *line, value + strspn(value, " "));
	}
}

static void copy_headers(ne_request *req, struct http_response *response)
{
	const char *name, *value;
	void *cursor = NULL;

	while ((cursor =
			ne_response_header_iterate(req, cursor, &name, &value)))
		g_hash_table_replace(response->headers,
				     g_ascii_strdown(name, -1),
				     g_strdup(value));
}

/* Sends the request; returns a result of neon, NE_OK for a complete answer. */
static int dispatch(ne_request *req, struct http_response *response)
{
	char block[BLOCK_BYTES];
	ssize_t len;
	int result = ne_begin_request(req);

	if (result != NE_OK)
		return result;
	copy_headers(req, response);
	while ((len = ne_read_response_block(req, block, sizeof(block))) > 0)
		g_byte_array_append(response->body, (const guint8 *)block,
				    (guint)len);
	return len < 0 ? NE_ERROR : ne_end_request(req);
}

int http_send(const struct http_request *request,
	      struct http_response *response)
{
	static pthread_once_t once = PTHREAD_ONCE_INIT;
	ne_inet_addr *source = NULL, *target;
	ne_session *session;
	ne_request *req;
	int result;

	pthread_once(&once, init_neon);
	memset(response, 0, sizeof(*response));
	response->headers =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	response->body = g_byte_array_new();

	session = open_session(request, &target);
	if (request->source) {
		source = ne_iaddr_parse(request->source, ne_iaddr_ipv4);
		ne_set_localaddr(session, source);
	}
	req = ne_request_create(session,
				request->method ? request->method : "GET",
				request->target ? request->target : "/");
	ne_set_request_flag(req, NE_REQFLAG_IDEMPOTENT, 0);
	add_headers(req, request->headers);
	if (request->body)
		ne_set_request_body_buffer(req, request->body,
					   request->body_len);
	result = dispatch(req, response);
	if (result == NE_OK)
		response->status = ne_get_status(req)->code;
	else
		response->error = g_strdup(ne_get_error(session));
	response->refused = result == NE_CONNECT;
	g_byte_array_append(response->body, (const guint8 *)"", 1);
	g_byte_array_set_size(response->body, response->body->len - 1);
	ne_request_destroy(req);
	ne_session_destroy(session);
	if (target)
		ne_iaddr_free(target);
	if (source)
		ne_iaddr_free(source);
	return response->status;
}

const char *http_header(const struct http_response *response, const char *name)
{
	return g_hash_table_lookup(response->headers, name);
}

void http_response_release(struct http_response *response)
{
	g_hash_table_unref(response->headers);
	g_byte_array_unref(response->body);
	g_free(response->error);
	memset(response, 0, sizeof(*response));
}

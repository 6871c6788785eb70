#include <microhttpd.h>
#include <string.h>

#include "http/defect_metrics.h"
#include "operator.h"

struct operator_server {
	struct operator_options options;
	struct http_defect_metrics *defects;
	struct MHD_Daemon *http;
};

/* An HTTP reply; libmicrohttpd frees the text. */
struct reply {
	unsigned status;
	const char *type;
	char *text;
};

static struct reply error_reply(unsigned status, const char *message)
{
	struct reply reply = { status, "application/json", NULL };
	json_t *json = json_pack("{s:s}", "error", message);

	reply.text = json_dumps(json, JSON_COMPACT);
	json_decref(json);
	return reply;
}

static struct reply json_reply(json_t *json)
{
	struct reply reply = { 200, "application/json", NULL };

	if (!json)
		return error_reply(503, "the control thread did not answer");
	reply.text = json_dumps(json, JSON_INDENT(2) | JSON_SORT_KEYS);
	json_decref(json);
	return reply;
}

static struct reply metrics_reply(struct operator_server *server)
{
	struct reply reply = { 200, "text/plain; version=0.0.4", NULL };
	GString *text = g_string_new(NULL);

	http_defect_metrics_update(server->defects);
	metrics_render(server->options.metrics, text);
	reply.text = strdup(text->str);
	g_string_free(text, TRUE);
	return reply;
}

static const char *argument(struct MHD_Connection *connection, const char *name)
{
	return MHD_lookup_connection_value(connection, MHD_GET_ARGUMENT_KIND,
					   name);
}

static struct reply explain_reply(struct operator_server *server,
				  struct MHD_Connection *connection)
{
	struct operator_explain query = {
		.path = argument(connection, "path"),
		.method = argument(connection, "method"),
		.target = argument(connection, "target"),
	};
	g_autoptr(GError) error = NULL;
	json_t *answer;

	if (!query.path)
		return error_reply(400, "the query lacks path=");
	answer = server->options.ops->explain(server->options.ctx, &query,
					      &error);
	return answer ? json_reply(answer) : error_reply(404, error->message);
}

static struct reply get(struct operator_server *server,
			struct MHD_Connection *connection, const char *path)
{
	const struct operator_ops *ops = server->options.ops;
	void *ctx = server->options.ctx;

	if (!strcmp(path, "/status"))
		return json_reply(ops->status(ctx));
	if (!strcmp(path, "/fleet"))
		return json_reply(ops->fleet(ctx));
	if (!strcmp(path, "/dump"))
		return json_reply(ops->dump(ctx));
	if (!strcmp(path, "/metrics"))
		return metrics_reply(server);
	if (!strcmp(path, "/explain"))
		return explain_reply(server, connection);
	return error_reply(404, "no such page; there are /status, /fleet, "
				"/dump, /metrics, /explain and POST /drain");
}

static struct reply route(struct operator_server *server,
			  struct MHD_Connection *connection, const char *method,
			  const char *path)
{
	if (!strcmp(method, "GET") || !strcmp(method, "HEAD"))
		return get(server, connection, path);
	if (strcmp(method, "POST") != 0)
		return error_reply(405, "only GET, HEAD and POST are served");
	if (strcmp(path, "/drain") != 0)
		return error_reply(404, "only /drain takes POST");
	server->options.ops->drain(server->options.ctx);
	return json_reply(json_pack("{s:b}", "draining", 1));
}

static enum MHD_Result on_request(void *ctx, struct MHD_Connection *connection,
				  const char *url, const char *method,
				  const char *version, const char *upload_data,
				  size_t *upload_size, void **connection_ctx)
{
	struct MHD_Response *response;
	enum MHD_Result result;
	struct reply reply;

	(void)version;
	(void)upload_data;
	if (!*connection_ctx) {
		*connection_ctx = ctx;
		return MHD_YES;
	}
	if (*upload_size) {
		*upload_size = 0; /* request bodies are ignored */
		return MHD_YES;
	}
	reply = route(ctx, connection, method, url);
	response =
		MHD_create_response_from_buffer(strlen(reply.text), reply.text,
						MHD_RESPMEM_MUST_FREE);
	MHD_add_response_header(response, "Content-Type", reply.type);
	if (reply.status == 405)
		MHD_add_response_header(response, "Allow", "GET, HEAD, POST");
	result = MHD_queue_response(connection, reply.status, response);
	MHD_destroy_response(response);
	return result;
}

struct operator_server *
operator_server_new(const struct operator_options *options, GError **error)
{
	struct operator_server *server = g_new0(struct operator_server, 1);
	unsigned flags = MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_POLL;

	server->options = *options;
	server->defects = http_defect_metrics_new(options->metrics);
	if (options->listen.storage.ss_family == AF_INET6)
		flags |= MHD_USE_IPv6;
	server->http = MHD_start_daemon(
		flags, 0, NULL, NULL, on_request, server, MHD_OPTION_SOCK_ADDR,
		(struct sockaddr *)&server->options.listen.storage,
		MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U,
		MHD_OPTION_CONNECTION_LIMIT, 16U, MHD_OPTION_CONNECTION_TIMEOUT,
		30U, MHD_OPTION_END);
	if (server->http)
		return server;
	g_set_error(error, NET_ERROR, NET_ERROR_SOCKET,
		    "%s:%u: cannot listen on the operator address",
		    options->listen.host, options->listen.port);
	g_free(server);
	return NULL;
}

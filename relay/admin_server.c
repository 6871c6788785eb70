#include <string.h>

#include "base/clock.h"
#include "http/defect_metrics.h"
#include "http/server.h"
#include "platform/platform.h"
#include "relay/admin_server.h"
#include "relay/memory_limits.h"

#define HEAD_MAX_BYTES 8192
#define HEAD_WAIT_NS (3 * NS_PER_SEC)
#define IDLE_WAIT_NS (30 * NS_PER_SEC)

/* The query follows; see reply_explanation(). */
#define EXPLAIN_PATH "/explain?"

struct admin_server {
	const struct relay_context *context;
	const struct admin_server_ops *ops;
	void *ctx;
	struct http_server *ready;
	struct http_server *operators;
	struct http_defect_metrics *defects;
};

static void reply_text(struct http_server_conn *conn, int status,
		       const char *type, const char *text)
{
	g_autofree char *fields = g_strdup_printf("Content-Type: %s\r\n", type);
	struct http_reply reply = {
		.status = status,
		.fields = fields,
		.body = text,
		.body_len = strlen(text),
	};

	http_server_reply(conn, &reply);
}

static void on_ready_request(struct http_server_conn *conn,
			     struct http_message *message, void *ctx)
{
	CLEANUP(http_message_freep) struct http_message *owned = message;
	struct admin_server *server = ctx;

	if (strcmp(message->target->str, platform_readiness_path) != 0)
		reply_text(conn, 404, "text/plain", "");
	else
		reply_text(conn, server->ops->is_ready(server->ctx) ? 200 : 503,
			   "text/plain", "");
}

/* The query is host=HOST&path=PATH; PATH extends to its end. */
static void reply_explanation(struct admin_server *server,
			      struct http_server_conn *conn, const char *query)
{
	g_autofree char *text = NULL;
	g_autofree char *host = NULL;
	const char *path = strstr(query, "&path=");

	if (strncmp(query, "host=", 5) != 0 || !path) {
		reply_text(conn, 400, "text/plain",
			   "expected host=HOST&path=PATH\n");
		return;
	}
	host = g_strndup(query + 5, (gsize)(path - query - 5));
	text = server->ops->explain(server->ctx, host, path + strlen("&path="));
	if (text)
		reply_text(conn, 200, "text/plain", text);
	else
		reply_text(conn, 404, "text/plain", "no route\n");
}

static void on_operator_request(struct http_server_conn *conn,
				struct http_message *message, void *ctx)
{
	CLEANUP(http_message_freep) struct http_message *owned = message;
	g_autoptr(GString) metrics = g_string_new(NULL);
	struct admin_server *server = ctx;

	if (!strcmp(message->target->str, "/dump")) {
		g_autofree char *dump = server->ops->dump(server->ctx);

		reply_text(conn, 200, "application/json", dump);
	} else if (g_str_has_prefix(message->target->str, EXPLAIN_PATH)) {
		reply_explanation(server, conn,
				  message->target->str + strlen(EXPLAIN_PATH));
	} else if (!strcmp(message->target->str, "/metrics")) {
		http_defect_metrics_update(server->defects);
		metrics_render(server->context->metrics, metrics);
		server->ops->render_metrics(server->ctx, metrics);
		reply_text(conn, 200, "text/plain; version=0.0.4",
			   metrics->str);
	} else {
		reply_text(conn, 404, "text/plain", "");
	}
}

/* Every request is answered at once, so no state has to be released. */
static void on_closed(struct http_server_conn *conn, void *ctx)
{
	(void)conn;
	(void)ctx;
}

static const struct http_server_ops ready_ops = {
	.request = on_ready_request,
	.disconnected = on_closed,
};

static const struct http_server_ops operator_ops = {
	.request = on_operator_request,
	.disconnected = on_closed,
};

static struct http_server *listen_at(struct admin_server *server,
				     const struct net_address *address,
				     const struct http_server_ops *ops,
				     GError **error)
{
	struct http_server_options options = {
		.loop = server->context->loop,
		.timers = server->context->timers,
		.listen = *address,
		.roles = &platform_field_roles,
		.limits = { .message = { .head_max = HEAD_MAX_BYTES },
			    .request_read_max_ns = HEAD_WAIT_NS,
			    .idle_max_ns = IDLE_WAIT_NS },
		/* Outside the account, so that a shortage does not hide it. */
		.conns_max = memory_limits_admin_max(server->context->host),
		.ops = ops,
		.ctx = server,
	};

	return http_server_new(&options, error);
}

struct admin_server *admin_server_new(const struct relay_context *context,
				      const struct admin_server_ops *ops,
				      void *ctx, GError **error)
{
	const struct mesh_host *host = context->host;
	struct admin_server *server = g_new0(struct admin_server, 1);

	server->context = context;
	server->ops = ops;
	server->ctx = ctx;
	server->defects = http_defect_metrics_new(context->metrics);
	server->ready = listen_at(server, &host->ready, &ready_ops, error);
	if (!server->ready)
		return NULL;
	server->operators =
		listen_at(server, &host->operators, &operator_ops, error);
	return server->operators ? server : NULL;
}

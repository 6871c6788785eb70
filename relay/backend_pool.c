#include "base/clock.h"
#include "platform/platform.h"
#include "relay/backend_pool.h"

#define HEAD_MAX_BYTES 65536
/* Until the first configuration sets the limit. */
#define BODY_MAX_BYTES_INITIAL (64 * 1024 * 1024)

/*
 * A request is lost when the server has already dropped the idle connection
 * that it is sent on. One that runs at most once cannot be retried, so it
 * reuses a connection only within this time after another request.
 */
#define FRESH_NS (250 * NS_PER_MS)

struct backend_pool {
	const struct relay_context *context;
	struct cds_list_head idle; /* most recently used first */
	unsigned nr_conns;
	uint64_t nr_opened;
	size_t body_max;
	struct timer reaper;
};

struct backend_conn {
	struct cds_list_head node; /* in pool->idle while is_idle */
	struct backend_pool *pool;
	struct http_client *client;
	bool is_idle;
	backend_done done;
	void *ctx;
};

static void close_conn(struct backend_conn *conn)
{
	if (conn->is_idle)
		cds_list_del(&conn->node);
	conn->pool->nr_conns--;
	http_client_free(conn->client);
	g_free(conn);
}

static void add_idle(struct backend_conn *conn)
{
	struct backend_pool *pool = conn->pool;

	conn->is_idle = true;
	cds_list_add(&conn->node, &pool->idle);
	if (!pool->reaper.position)
		timers_set(pool->context->timers, &pool->reaper,
			   http_client_idle_deadline(conn->client));
}

static void on_done(struct http_client *client, enum http_end end,
		    struct http_message *response, void *ctx)
{
	struct backend_conn *conn = ctx;
	backend_done done = conn->done;
	void *done_ctx = conn->ctx;

	conn->done = NULL;
	/* done() may send the next request, which can reuse the connection. */
	if (http_client_is_idle(client))
		add_idle(conn);
	else
		close_conn(conn);
	done(end, response, done_ctx);
}

static void on_closed(struct http_client *client, void *ctx)
{
	(void)client;
	close_conn(ctx);
}

static const struct http_client_ops client_ops = {
	.done = on_done,
	.closed = on_closed,
};

/*
 * Closes idle connections before the server does, so that no request is sent on
 * a connection that the server is closing.
 */
static void reap_idle(struct timer *timer, int64_t now)
{
	struct backend_pool *pool =
		caa_container_of(timer, struct backend_pool, reaper);
	int64_t next = DEADLINE_NEVER;
	struct backend_conn *conn, *after;

	cds_list_for_each_entry_safe (conn, after, &pool->idle, node) {
		int64_t deadline = http_client_idle_deadline(conn->client);

		if (deadline <= now)
			close_conn(conn);
		else
			next = MIN(next, deadline);
	}
	if (next != DEADLINE_NEVER)
		timers_set(pool->context->timers, timer, next);
}

struct backend_pool *backend_pool_new(const struct relay_context *context)
{
	struct backend_pool *pool = g_new0(struct backend_pool, 1);

	pool->context = context;
	pool->reaper.fire = reap_idle;
	pool->body_max = BODY_MAX_BYTES_INITIAL;
	CDS_INIT_LIST_HEAD(&pool->idle);
	return pool;
}

void backend_pool_set_body_max(struct backend_pool *pool, size_t body_max)
{
	pool->body_max = body_max;
}

static struct backend_conn *open_conn(struct backend_pool *pool)
{
	struct backend_conn *conn = g_new0(struct backend_conn, 1);
	struct http_client_options options = {
		.loop = pool->context->loop,
		.address = pool->context->host->backend,
		.roles = &platform_field_roles,
		.limits = { .head_max = HEAD_MAX_BYTES,
			    .body_max = pool->body_max },
		.ops = &client_ops,
		.ctx = conn,
	};

	conn->pool = pool;
	conn->client = http_client_new(&options);
	if (!conn->client) {
		g_free(conn);
		return NULL;
	}
	pool->nr_conns++;
	pool->nr_opened++;
	return conn;
}

static struct backend_conn *take_idle(struct backend_pool *pool,
				      const char *request_id, bool fresh)
{
	int64_t now = clock_monotonic_ns();
	struct backend_conn *conn;

	if (cds_list_empty(&pool->idle))
		return NULL;
	conn = cds_list_first_entry(&pool->idle, struct backend_conn, node);
	if (now >= http_client_idle_deadline(conn->client) ||
	    (request_id && http_client_has_carried(conn->client, request_id)))
		return NULL;
	if (fresh && now - http_client_idle_since(conn->client) > FRESH_NS)
		return NULL;
	cds_list_del(&conn->node);
	conn->is_idle = false;
	return conn;
}

struct backend_conn *backend_pool_send(struct backend_pool *pool,
				       const GString *head, const void *body,
				       size_t body_len, const char *request_id,
				       bool fresh, backend_done done, void *ctx)
{
	struct backend_conn *conn = take_idle(pool, request_id, fresh);

	if (!conn)
		conn = open_conn(pool);
	if (!conn)
		return NULL;
	conn->done = done;
	conn->ctx = ctx;
	http_client_send(conn->client, head, body, body_len, request_id);
	return conn;
}

void backend_pool_cancel(struct backend_pool *pool, struct backend_conn *conn)
{
	(void)pool;
	close_conn(conn);
}

void backend_pool_close_idle(struct backend_pool *pool)
{
	struct backend_conn *conn, *after;

	cds_list_for_each_entry_safe (conn, after, &pool->idle, node)
		close_conn(conn);
}

unsigned backend_pool_nr_conns(const struct backend_pool *pool)
{
	return pool->nr_conns;
}

uint64_t backend_pool_nr_opened(const struct backend_pool *pool)
{
	return pool->nr_opened;
}

#include <pthread.h>
#include <stdlib.h>

#include "base/clock.h"
#include "fetch.h"
#include "http/session.h"

#define CONNECT_WAIT_NS (2 * NS_PER_SEC)

/* Bytes of the fields of a response. */
#define HEAD_MAX_BYTES 65536

struct fetch_pool {
	struct net_loop *loop;
	pthread_mutex_t lock; /* guards queue and stopping */
	pthread_cond_t wake;
	struct cds_list_head queue;
	bool stopping;
	int nr_threads;
	pthread_t *threads;
};

static void fetch_free(struct fetch *fetch)
{
	if (fetch->body)
		g_byte_array_unref(fetch->body);
	g_free(fetch->path);
	g_free(fetch);
}

/* No field is forwarded; all are kept as lines to be looked up. */
static enum http_field_role find_role(const char *name)
{
	(void)name;
	return HTTP_ROLE_NONE;
}

static bool is_forwarded(enum http_field_role role)
{
	(void)role;
	return true;
}

static const struct http_field_roles roles = {
	.find = find_role,
	.is_forwarded = is_forwarded,
};

static void take_response(struct fetch *fetch, struct http_message *response)
{
	g_autofree char *revision = http_message_field(response, "Revision");

	fetch->status = response->status;
	fetch->revision = revision ? atoll(revision) : 0;
	fetch->body = g_byte_array_ref(response->body);
}

static void perform(struct fetch *fetch)
{
	CLEANUP(http_message_freep) struct http_message *response = NULL;
	g_autoptr(GString) head = g_string_new(NULL);
	struct http_session_options options = {
		.address = fetch->address,
		.roles = &roles,
		.head_max = HEAD_MAX_BYTES,
		.connect_wait_ns = CONNECT_WAIT_NS,
	};
	struct http_session *session = http_session_new(&options);
	struct http_session_call call = {
		.head = head,
		.body = "",
		.body_max = FETCH_BODY_MAX,
		.deadline = clock_monotonic_ns() + CONNECT_WAIT_NS +
			    fetch->read_timeout_sec * NS_PER_SEC,
	};

	g_string_printf(head, "GET %s HTTP/1.1\r\n", fetch->path);
	http_host_append(head, &fetch->address);
	g_string_append(head, "User-Agent: godwitspur\r\n"
			      "Connection: close\r\n\r\n");
	fetch->status = FETCH_FAILED;
	if (http_session_run(session, &call, &response) == HTTP_END_ANSWERED)
		take_response(fetch, response);
	http_session_free(session);
}

static void deliver(void *arg)
{
	struct fetch *fetch = arg;

	fetch->done(fetch);
	fetch_free(fetch);
}

static struct fetch *next_fetch(struct fetch_pool *pool)
{
	struct fetch *fetch = NULL;

	pthread_mutex_lock(&pool->lock);
	while (!pool->stopping && cds_list_empty(&pool->queue))
		pthread_cond_wait(&pool->wake, &pool->lock);
	if (!pool->stopping) {
		fetch = cds_list_first_entry(&pool->queue, struct fetch, node);
		cds_list_del(&fetch->node);
	}
	pthread_mutex_unlock(&pool->lock);
	return fetch;
}

static void *fetch_thread(void *arg)
{
	struct fetch_pool *pool = arg;
	struct fetch *fetch;

	pthread_setname_np(pthread_self(), "fetch");
	while ((fetch = next_fetch(pool))) {
		perform(fetch);
		net_loop_defer(pool->loop, deliver, fetch);
	}
	return NULL;
}

struct fetch_pool *fetch_pool_new(struct net_loop *loop, int nr_threads)
{
	struct fetch_pool *pool = g_new0(struct fetch_pool, 1);

	pool->loop = loop;
	pool->threads = g_new0(pthread_t, nr_threads);
	pthread_mutex_init(&pool->lock, NULL);
	pthread_cond_init(&pool->wake, NULL);
	CDS_INIT_LIST_HEAD(&pool->queue);
	for (int i = 0; i < nr_threads; i++) {
		if (pthread_create(&pool->threads[i], NULL, fetch_thread, pool))
			break;
		pool->nr_threads++;
	}
	return pool;
}

void fetch_pool_free(struct fetch_pool *pool)
{
	struct fetch *fetch, *next;

	pthread_mutex_lock(&pool->lock);
	pool->stopping = true;
	pthread_cond_broadcast(&pool->wake);
	pthread_mutex_unlock(&pool->lock);
	for (int i = 0; i < pool->nr_threads; i++)
		pthread_join(pool->threads[i], NULL);
	cds_list_for_each_entry_safe (fetch, next, &pool->queue, node)
		fetch_free(fetch);
	pthread_cond_destroy(&pool->wake);
	pthread_mutex_destroy(&pool->lock);
	g_free(pool->threads);
	g_free(pool);
}

void fetch_start(struct fetch_pool *pool, struct fetch *fetch)
{
	pthread_mutex_lock(&pool->lock);
	cds_list_add_tail(&fetch->node, &pool->queue);
	pthread_cond_signal(&pool->wake);
	pthread_mutex_unlock(&pool->lock);
}

#include <ne_request.h>
#include <ne_session.h>
#include <pthread.h>
#include <stdlib.h>

#include "fetch.h"

#define CONNECT_TIMEOUT_SEC 2
#define READ_BYTES 16384

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

/* Returns NE_OK, or NE_ERROR when a read fails or the body is too long. */
static int read_body(ne_request *request, struct fetch *fetch)
{
	char buffer[READ_BYTES];
	ssize_t n;

	fetch->body = g_byte_array_new();
	while ((n = ne_read_response_block(request, buffer, sizeof(buffer))) >
	       0) {
		if (fetch->body->len + (size_t)n > FETCH_BODY_MAX) {
			fetch->status = FETCH_TOO_LONG;
			return NE_ERROR;
		}
		g_byte_array_append(fetch->body, (guint8 *)buffer, (guint)n);
	}
	return n < 0 ? NE_ERROR : NE_OK;
}

static void perform(struct fetch *fetch)
{
	ne_session *session = ne_session_create("http", fetch->address.host,
						fetch->address.port);
	ne_request *request;
	const char *revision;

	ne_set_connect_timeout(session, CONNECT_TIMEOUT_SEC);
	ne_set_read_timeout(session, fetch->read_timeout_sec);
	ne_set_useragent(session, "godwitspur");
	request = ne_request_create(session, "GET", fetch->path);
	fetch->status = FETCH_FAILED;
	if (ne_begin_request(request) == NE_OK &&
	    read_body(request, fetch) == NE_OK) {
		revision = ne_get_response_header(request, "Revision");
		fetch->revision = revision ? atoll(revision) : 0;
		if (ne_end_request(request) == NE_OK)
			fetch->status = ne_get_status(request)->code;
	}
	ne_request_destroy(request);
	ne_session_destroy(session);
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

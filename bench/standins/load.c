/*
 * Generates closed-loop load on an HTTP server: every thread has one persistent
 * connection and sends its next request when the previous one is answered.
 */
#include <pthread.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <neon/ne_request.h>
#include <neon/ne_session.h>
#include <neon/ne_socket.h>

#include <glib.h>

#include "base/clock.h"

struct client {
	pthread_t thread;
	const char *host, *method, *target;
	unsigned int port;
	int64_t deadline;
	GArray *times;	 /* ns, of each response with status 200 */
	size_t nr_other; /* other statuses and errors */
};

static bool send_request(ne_session *session, const struct client *client)
{
	ne_request *req =
		ne_request_create(session, client->method, client->target);
	bool done = ne_request_dispatch(req) == NE_OK &&
		    ne_get_status(req)->code == 200;

	ne_request_destroy(req);
	return done;
}

static void *run_client(void *arg)
{
	struct client *client = arg;
	ne_session *session =
		ne_session_create("http", client->host, client->port);
	int64_t start, time;

	while ((start = clock_monotonic_ns()) < client->deadline) {
		if (!send_request(session, client)) {
			client->nr_other++;
			continue;
		}
		time = clock_monotonic_ns() - start;
		g_array_append_val(client->times, time);
	}
	ne_session_destroy(session);
	return NULL;
}

static int compare_times(const void *a, const void *b)
{
	const int64_t *x = a, *y = b;

	return (*x > *y) - (*x < *y);
}

static void report(GArray *times, size_t nr_other, int seconds)
{
	int64_t *sorted = (int64_t *)(void *)times->data;
	size_t nr = times->len;

	qsort(sorted, nr, sizeof(*sorted), compare_times);
	printf("requests_per_second=%zu other=%zu", nr / seconds, nr_other);
	if (nr)
		printf(" p50_us=%lld p99_us=%lld max_us=%lld",
		       (long long)(sorted[nr / 2] / NS_PER_US),
		       (long long)(sorted[nr * 99 / 100] / NS_PER_US),
		       (long long)(sorted[nr - 1] / NS_PER_US));
	putchar('\n');
}

int main(int argc, char **argv)
{
	int seconds = argc == 7 ? atoi(argv[4]) : 0;
	int nr = argc == 7 ? atoi(argv[3]) : 0;
	struct client *clients;
	GArray *all = g_array_new(FALSE, FALSE, sizeof(int64_t));
	size_t nr_other = 0;

	if (seconds < 1 || nr < 1) {
		fprintf(stderr,
			"usage: %s IP PORT THREADS SECONDS METHOD "
			"TARGET\n",
			argv[0]);
		return 2;
	}
	ne_sock_init();
	clients = g_new0(struct client, nr);
	for (int i = 0; i < nr; i++) {
		clients[i] = (struct client){
			.host = argv[1],
			.port = (unsigned int)atoi(argv[2]),
			.method = argv[5],
			.target = argv[6],
			.deadline = clock_monotonic_ns() + seconds * NS_PER_SEC,
			.times = g_array_new(FALSE, FALSE, sizeof(int64_t)),
		};
		pthread_create(&clients[i].thread, NULL, run_client,
			       &clients[i]);
	}
	for (int i = 0; i < nr; i++) {
		pthread_join(clients[i].thread, NULL);
		g_array_append_vals(all, clients[i].times->data,
				    clients[i].times->len);
		nr_other += clients[i].nr_other;
		g_array_unref(clients[i].times);
	}
	report(all, nr_other, seconds);
	g_array_unref(all);
	g_free(clients);
	return 0;
}

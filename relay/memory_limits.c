#include <malloc.h>

#include "relay/memory_limits.h"

/* Descriptors of the limit that are not for sockets. */
#define FILE_DESCRIPTORS 200

/*
 * Callers get this share of the other descriptors. Daemons need up to four for
 * each other daemon, and the backend server one for each of its slots.
 */
#define CALLERS_SHARE 3

/*
 * Connections of each of the two addresses of the admin server. A head has at
 * most 8 KB and a body none, so these need no account.
 */
#define ADMIN_CONNS 32

/*
 * Buffers of at least this size are mapped, so that freeing them returns their
 * memory. By default the allocator raises its bound to 32 MB as it frees such
 * buffers, and keeps memory of that size. Bodies that grow by doubling leave
 * the smaller sizes behind as free memory of the heap, so the bound is low.
 */
#define MAPPED_BYTES (32 * 1024)

/* Free memory that the heap keeps at its end. */
#define TRIM_BYTES (128 * 1024)

struct limits {
	struct memory_account account;
	struct counter evicted;
};

struct memory_account *memory_limits_new(const struct mesh_host *host,
					 struct metrics *metrics)
{
	struct limits *limits;

	if (host->memory_bytes <= 0)
		return NULL;
	mallopt(M_MMAP_THRESHOLD, MAPPED_BYTES);
	mallopt(M_TRIM_THRESHOLD, TRIM_BYTES);
	limits = g_new0(struct limits, 1);
	memory_account_init(&limits->account, (size_t)host->memory_bytes);
	limits->evicted.name = "godwitspur_memory_evicted_total";
	limits->evicted.help =
		"Requests and responses that gave way for lack of memory.";
	metrics_add_counter(metrics, &limits->evicted);
	limits->account.evicted = &limits->evicted;
	return &limits->account;
}

static void add_counter(struct metrics *metrics, struct counter *counter,
			const char *name, const char *help)
{
	counter->name = name;
	counter->help = help;
	metrics_add_counter(metrics, counter);
}

void memory_limits_add_counters(struct metrics *metrics,
				struct http_server_counters *counters)
{
	add_counter(metrics, &counters->no_room,
		    "godwitspur_memory_refused_total",
		    "Requests refused with 503 for lack of memory.");
	add_counter(metrics, &counters->stalled, "godwitspur_stalled_total",
		    "Bodies and responses without progress.");
	add_counter(metrics, &counters->closed,
		    "godwitspur_connections_displaced_total",
		    "Callers' connections closed for new ones.");
}

struct shared_body {
	GByteArray *bytes;
	struct memory_hold hold;
};

static void free_shared_body(void *arg)
{
	struct shared_body *shared = arg;

	memory_hold_release(&shared->hold);
	g_byte_array_unref(shared->bytes);
	g_free(shared);
}

GBytes *memory_limits_share_body(struct memory_account *account,
				 GByteArray *body)
{
	struct shared_body *shared = g_new0(struct shared_body, 1);

	shared->bytes = g_byte_array_ref(body);
	memory_hold_init(&shared->hold, account, 0);
	memory_hold_set(&shared->hold, body->len);
	return g_bytes_new_with_free_func(body->data, body->len,
					  free_shared_body, shared);
}

unsigned memory_limits_callers_max(const struct mesh_host *host)
{
	if (!host->descriptors_max)
		return 0;
	return (unsigned)MAX(host->descriptors_max - FILE_DESCRIPTORS, 3) /
	       CALLERS_SHARE;
}

unsigned memory_limits_admin_max(const struct mesh_host *host)
{
	return host->descriptors_max || host->memory_bytes ? ADMIN_CONNS : 0;
}

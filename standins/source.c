/*
 * Test double of the configuration service. Clients read and watch values, at
 * a limited rate; a test publishes values on the control address.
 */
#include <string.h>

#include "base/clock.h"
#include "standin.h"

#define VALUE_MAX_BYTES 1048576
#define WAIT_MAX_MS 60000
#define KEY_MAX_CHARS 256
#define KEY_CHARS                    \
	"abcdefghijklmnopqrstuvwxyz" \
	"ABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-"

enum {
	FAULT_NONE,
	FAULT_OUTAGE,
	FAULT_STALE,
	FAULT_SLOW
};
static const char *const modes[] = { "none", "outage", "stale", "slow", NULL };

static struct setting settings[] = {
	{ "rate", "N", "most calls in any second, 0 for no limit", 2000, NULL },
	{ NULL },
};

/* The last write of a key. */
struct value {
	GBytes *bytes; /* NULL after a delete */
	int64_t revision;
};

/* Everything below is protected by standin.lock. */
static GHashTable *values; /* key to struct value */
static GHashTable *stale;  /* copy of values in mode stale, else NULL */
static int64_t last_revision;
static int64_t total, refused, waiting, max_second;
/* Times of all calls and of the allowed calls during the last second. */
static GQueue call_times = G_QUEUE_INIT, allowed_times = G_QUEUE_INIT;

static void value_free(void *pointer)
{
	struct value *value = pointer;

	g_clear_pointer(&value->bytes, g_bytes_unref);
	g_free(value);
}

static void store(GHashTable *table, const char *key, GBytes *bytes,
		  int64_t revision)
{
	struct value *value = g_new0(struct value, 1);

	value->bytes = bytes ? g_bytes_ref(bytes) : NULL;
	value->revision = revision;
	g_hash_table_replace(table, g_strdup(key), value);
}

static GHashTable *new_table(void)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
				     value_free);
}

static void on_fault(void)
{
	GHashTableIter iter;
	void *key, *pointer;

	g_clear_pointer(&stale, g_hash_table_unref);
	if (standin.fault.mode != FAULT_STALE)
		return;
	stale = new_table();
	g_hash_table_iter_init(&iter, values);
	while (g_hash_table_iter_next(&iter, &key, &pointer)) {
		const struct value *value = pointer;

		store(stale, key, value->bytes, value->revision);
	}
}

static void remove_expired(GQueue *times, int64_t now)
{
	int64_t *oldest;

	while ((oldest = g_queue_peek_head(times)) &&
	       *oldest <= now - NS_PER_SEC)
		g_free(g_queue_pop_head(times));
}

/* Counts a call; returns false if it exceeds the rate limit. */
static bool count_call(void)
{
	guint rate = (guint)settings[0].number;
	int64_t now = clock_monotonic_ns();

	total++;
	remove_expired(&call_times, now);
	g_queue_push_tail(&call_times, g_memdup2(&now, sizeof(now)));
	max_second = MAX(max_second, call_times.length);
	remove_expired(&allowed_times, now);
	if (rate && allowed_times.length >= rate) {
		refused++;
		return false;
	}
	g_queue_push_tail(&allowed_times, g_memdup2(&now, sizeof(now)));
	return true;
}

/* Returns the key that follows the prefix in the path; NULL if invalid. */
static const char *parse_key(const char *path, const char *prefix)
{
	const char *key, *rest;

	if (!g_str_has_prefix(path, prefix))
		return NULL;
	key = path + strlen(prefix);
	rest = key + strspn(key, KEY_CHARS);
	if (rest != key && *rest == '/' && rest[1]) {
		rest++;
		rest += strspn(rest, KEY_CHARS);
	}
	if (!*key || *rest || strlen(key) > KEY_MAX_CHARS)
		return NULL;
	return key;
}

static const struct value *find(const char *key)
{
	static const struct value none;
	const struct value *value =
		g_hash_table_lookup(stale ? stale : values, key);

	return value ? value : &none;
}

/* Answers with the value's state; call with the lock held. */
static enum MHD_Result reply_value(const struct request *request,
				   const struct value *value, int64_t after)
{
	char revision[24];
	size_t len = 0;
	const void *data = NULL;
	unsigned int status = value->bytes ? 200 : 404;

	g_snprintf(revision, sizeof(revision), "%" G_GINT64_FORMAT,
		   value->revision);
	if (value->revision <= after)
		status = 304;
	else if (value->bytes)
		data = g_bytes_get_data(value->bytes, &len);
	return reply(request, status, data, len, "Revision", revision);
}

/* Answers a read, or a watch if after >= 0; call with the lock held. */
static enum MHD_Result read_value(const struct request *request,
				  const char *key, int64_t after,
				  int64_t wait_ms)
{
	int64_t until = clock_monotonic_ns() + wait_ms * NS_PER_MS;

	if (standin.fault.mode == FAULT_SLOW)
		fault_delay();
	waiting++;
	while (standin.fault.mode != FAULT_OUTAGE &&
	       find(key)->revision <= after && standin_wait(until))
		;
	waiting--;
	if (standin.fault.mode != FAULT_OUTAGE)
		return reply_value(request, find(key), after);
	if (!standin.fault.hang)
		return reply_text(request, 503, "outage");
	while (standin.fault.mode == FAULT_OUTAGE && standin.fault.hang &&
	       standin_wait(clock_monotonic_ns() + NS_PER_SEC))
		;
	return MHD_NO;
}

static enum MHD_Result on_call(struct request *request)
{
	const char *key = parse_key(request->path, "/v1/values/");
	int64_t after, wait_ms;
	enum MHD_Result result;
	bool counted;

	pthread_mutex_lock(&standin.lock);
	counted = count_call();
	pthread_mutex_unlock(&standin.lock);
	if (!g_str_equal(request->method, "GET") &&
	    !g_str_equal(request->method, "HEAD"))
		return reply(request, 405, "read only", 9, "Allow",
			     "GET, HEAD");
	if (!counted)
		return reply_text(request, 429, "too many calls");
	if (!key)
		return reply_text(request, 400, "key is invalid");
	if (!request_number(request, "after", INT64_MAX, -1, &after) ||
	    !request_number(request, "wait_ms", WAIT_MAX_MS, 0, &wait_ms))
		return reply_text(request, 400, "after or wait_ms is invalid");
	pthread_mutex_lock(&standin.lock);
	result = read_value(request, key, after, wait_ms);
	pthread_mutex_unlock(&standin.lock);
	return result;
}

static enum MHD_Result write_value(const struct request *request,
				   const char *key, bool delete)
{
	g_autoptr(GBytes) bytes = NULL;
	enum MHD_Result result;

	if (!delete)
		bytes = g_bytes_new(request->body->data, request->body->len);
	pthread_mutex_lock(&standin.lock);
	store(values, key, bytes, ++last_revision);
	result = reply_json(request, 200,
			    json_pack("{s:I}", "revision",
				      (json_int_t)last_revision));
	standin_notify();
	pthread_mutex_unlock(&standin.lock);
	return result;
}

static enum MHD_Result reply_calls(const struct request *request)
{
	json_t *json;

	pthread_mutex_lock(&standin.lock);
	remove_expired(&call_times, clock_monotonic_ns());
	json = json_pack("{s:I, s:I, s:I, s:I, s:I}", "total",
			 (json_int_t)total, "last_second",
			 (json_int_t)call_times.length, "max_second",
			 (json_int_t)max_second, "refused", (json_int_t)refused,
			 "waiting", (json_int_t)waiting);
	pthread_mutex_unlock(&standin.lock);
	return reply_json(request, 200, json);
}

static enum MHD_Result on_control(struct request *request)
{
	const char *key = parse_key(request->path, "/values/");

	if (request_is(request, "POST", "/fault"))
		return fault_control(request, modes, on_fault);
	if (request_is(request, "GET", "/calls"))
		return reply_calls(request);
	if (key && g_str_equal(request->method, "PUT"))
		return write_value(request, key, false);
	if (key && g_str_equal(request->method, "DELETE"))
		return write_value(request, key, true);
	return reply_text(request, 404, "unknown control request");
}

static void init(void)
{
	values = new_table();
}

int main(int argc, char **argv)
{
	static const struct server listen = { .handle = on_call };
	static const struct server control = { .body_max = VALUE_MAX_BYTES,
					       .handle = on_control };

	return standin_main(argc, argv, settings, init, &listen, &control);
}

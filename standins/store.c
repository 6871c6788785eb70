/*
 * Test double of the platform's key-value store: items with revisions, paged
 * range reads and watches. Tests write and delete items on the control address.
 */
#include <string.h>

#include "base/clock.h"
#include "standin.h"

#define VALUE_MAX_BYTES (1024 * 1024)
#define PAGE_ITEMS 50
#define WAIT_MAX_MS 30000

enum {
	FAULT_NONE,
	FAULT_OUTAGE, /* 503, or no answer with hang=1 */
	FAULT_SLOW,
	FAULT_LOST /* processes the call, but closes without an answer */
};
static const char *const modes[] = { "none", "outage", "slow", "lost", NULL };

static struct setting settings[] = { { NULL } };

/* A write or deletion; the last one of a key is the state of its item. */
struct change {
	char *key;
	char *value; /* base64; NULL for a deletion */
	int64_t revision;
};

/* Everything below is protected by standin.lock. */
static GPtrArray *changes; /* struct change, oldest first */
static int64_t revision = 100;
static int64_t compacted_revision = 100; /* history starts after it */
static int64_t nr_calls;

static void init(void)
{
	changes = g_ptr_array_new();
}

static void add_change(const char *key, char *value)
{
	struct change *change = g_new0(struct change, 1);

	change->key = g_strdup(key);
	change->value = value;
	change->revision = ++revision;
	g_ptr_array_add(changes, change);
	standin_notify();
}

static json_t *change_json(const struct change *change)
{
	if (!change->value)
		return json_pack("{s:s, s:I, s:b}", "key", change->key,
				 "revision", (json_int_t)change->revision,
				 "deleted", 1);
	return json_pack("{s:s, s:s, s:I, s:I, s:i}", "key", change->key,
			 "value", change->value, "revision",
			 (json_int_t)change->revision, "created",
			 (json_int_t)change->revision, "lease", 0);
}

static bool is_last_of_key(guint index)
{
	const struct change *change = g_ptr_array_index(changes, index);

	for (guint i = index + 1; i < changes->len; i++) {
		const struct change *later = g_ptr_array_index(changes, i);

		if (!strcmp(later->key, change->key))
			return false;
	}
	return true;
}

static int compare_changes(gconstpointer a, gconstpointer b)
{
	const struct change *const *x = a, *const *y = b;

	return strcmp((*x)->key, (*y)->key);
}

/* Items whose key has the prefix and sorts behind after, sorted by key. */
static GPtrArray *find_items(const char *prefix, const char *after)
{
	GPtrArray *items = g_ptr_array_new();

	for (guint i = 0; i < changes->len; i++) {
		struct change *change = g_ptr_array_index(changes, i);

		if (change->value && g_str_has_prefix(change->key, prefix) &&
		    (!after || strcmp(change->key, after) > 0) &&
		    is_last_of_key(i))
			g_ptr_array_add(items, change);
	}
	g_ptr_array_sort(items, compare_changes);
	return items;
}

static json_t *range(const struct request *request)
{
	const char *prefix = request_query(request, "path_prefix");
	g_autoptr(GPtrArray) items =
		find_items(prefix ? prefix : "",
			   request_query(request, "after"));
	json_t *array = json_array();

	for (guint i = 0; i < MIN(items->len, PAGE_ITEMS); i++)
		json_array_append_new(array,
				      change_json(g_ptr_array_index(items, i)));
	return json_pack("{s:o, s:b, s:I}", "items", array, "has_more",
			 items->len > PAGE_ITEMS, "at", (json_int_t)revision);
}

static json_t *events_after(const char *prefix, int64_t after)
{
	json_t *array = json_array();

	for (guint i = 0; i < changes->len; i++) {
		const struct change *change = g_ptr_array_index(changes, i);

		if (change->revision > after &&
		    g_str_has_prefix(change->key, prefix))
			json_array_append_new(array, change_json(change));
	}
	return array;
}

/* Returns NULL if the history after the requested revision is compacted. */
static json_t *watch(const struct request *request)
{
	const char *prefix = request_query(request, "path_prefix");
	int64_t after, wait_ms, deadline;
	json_t *events;

	request_number(request, "after", INT64_MAX, 0, &after);
	request_number(request, "wait_ms", WAIT_MAX_MS, 0, &wait_ms);
	deadline = clock_monotonic_ns() + wait_ms * NS_PER_MS;
	for (;;) {
		if (after < compacted_revision)
			return NULL;
		events = events_after(prefix ? prefix : "", after);
		if (json_array_size(events) || !standin_wait(deadline))
			break;
		json_decref(events);
	}
	return json_pack("{s:o, s:I}", "events", events, "at",
			 (json_int_t)revision);
}

static enum MHD_Result on_call(struct request *request)
{
	json_t *answer = NULL;
	unsigned status = 410;

	pthread_mutex_lock(&standin.lock);
	nr_calls++;
	if (standin.fault.mode == FAULT_SLOW)
		fault_delay();
	while (standin.fault.mode == FAULT_OUTAGE && standin.fault.hang &&
	       standin_wait(clock_monotonic_ns() + NS_PER_SEC))
		;
	if (standin.fault.mode == FAULT_OUTAGE)
		status = 503;
	else if (request_is(request, "GET", "/kv-range"))
		answer = range(request);
	else if (request_is(request, "GET", "/kv-watch"))
		answer = watch(request);
	else
		status = 404;
	pthread_mutex_unlock(&standin.lock);
	if (standin.fault.mode == FAULT_LOST) {
		json_decref(answer);
		return MHD_NO;
	}
	return answer ? reply_json(request, 200, answer)
		      : reply_text(request, status, "");
}

static enum MHD_Result on_control(struct request *request)
{
	const char *key = request_query(request, "key");

	if (request_is(request, "POST", "/fault"))
		return fault_control(request, modes, NULL);
	if (request_is(request, "GET", "/calls"))
		return reply_json(request, 200,
				  json_integer((json_int_t)nr_calls));
	pthread_mutex_lock(&standin.lock);
	if (request_is(request, "PUT", "/item") && key)
		add_change(key, g_base64_encode(request->body->data,
						request->body->len));
	else if (request_is(request, "DELETE", "/item") && key)
		add_change(key, NULL);
	else if (request_is(request, "POST", "/forget"))
		compacted_revision = ++revision;
	pthread_mutex_unlock(&standin.lock);
	return reply_text(request, 200, "");
}

int main(int argc, char **argv)
{
	static const struct server listen = { .handle = on_call };
	static const struct server control = { .body_max = VALUE_MAX_BYTES,
					       .handle = on_control };

	return standin_main(argc, argv, settings, init, &listen, &control);
}

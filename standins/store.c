/*
 * Test double of the platform's key-value store: items with revisions, paged
 * range reads and watches. Tests write and delete items on the control address,
 * take a copy of all items and restore it.
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
	FAULT_LOST,   /* processes the call, but closes without an answer */
	FAULT_FORMER, /* answers with the state before the last restore */
	FAULT_MIXED   /* the same for every second call */
};
static const char *const modes[] = { "none",   "outage", "slow", "lost",
				     "former", "mixed",	 NULL };

static struct setting settings[] = { { NULL } };

/* A write or deletion; the last one of a key is the state of its item. */
struct change {
	char *key;
	char *value; /* base64; NULL for a deletion */
	int64_t revision;
};

/* What the store holds; a restored copy replaces it as a whole. */
struct state {
	GPtrArray *changes; /* struct change, oldest first */
	int64_t revision;
	int64_t compacted_revision; /* history starts after it */
	int64_t era;
};

/* Everything below is protected by standin.lock. */
static GPtrArray *states; /* all, as a watch may continue in a former one */
static struct state *current;
static struct state *copy;   /* the next restore returns to it */
static struct state *former; /* before the last restore; NULL: none */
static bool sends_era;
static char *era_text; /* sent instead of the era; NULL: the era itself */
static int64_t nr_calls;

static struct state *copy_state(const struct state *state)
{
	struct state *result = g_new0(struct state, 1);

	g_ptr_array_add(states, result);
	*result = *state;
	result->changes = g_ptr_array_new();
	for (guint i = 0; i < state->changes->len; i++)
		g_ptr_array_add(result->changes,
				g_ptr_array_index(state->changes, i));
	return result;
}

static void init(void)
{
	states = g_ptr_array_new();
	current = g_new0(struct state, 1);
	current->changes = g_ptr_array_new();
	current->revision = 100;
	current->compacted_revision = 100;
	current->era = 1;
	g_ptr_array_add(states, current);
}

static void restore(void)
{
	int64_t era = current->era + 1;

	former = current;
	current = copy_state(copy);
	current->era = era;
	standin_notify();
}

static void add_change(const char *key, char *value)
{
	struct change *change = g_new0(struct change, 1);

	change->key = g_strdup(key);
	change->value = value;
	change->revision = ++current->revision;
	g_ptr_array_add(current->changes, change);
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

static bool is_last_of_key(const GPtrArray *changes, guint index)
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
static GPtrArray *find_items(const GPtrArray *changes, const char *prefix,
			     const char *after)
{
	GPtrArray *items = g_ptr_array_new();

	for (guint i = 0; i < changes->len; i++) {
		struct change *change = g_ptr_array_index(changes, i);

		if (change->value && g_str_has_prefix(change->key, prefix) &&
		    (!after || strcmp(change->key, after) > 0) &&
		    is_last_of_key(changes, i))
			g_ptr_array_add(items, change);
	}
	g_ptr_array_sort(items, compare_changes);
	return items;
}

static json_t *range(const struct request *request, const struct state *state)
{
	const char *prefix = request_query(request, "path_prefix");
	g_autoptr(GPtrArray) items =
		find_items(state->changes, prefix ? prefix : "",
			   request_query(request, "after"));
	json_t *array = json_array();

	for (guint i = 0; i < MIN(items->len, PAGE_ITEMS); i++)
		json_array_append_new(array,
				      change_json(g_ptr_array_index(items, i)));
	return json_pack("{s:o, s:b, s:I}", "items", array, "has_more",
			 items->len > PAGE_ITEMS, "at",
			 (json_int_t)state->revision);
}

static json_t *events_after(const GPtrArray *changes, const char *prefix,
			    int64_t after)
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

/*
 * Returns NULL if the history after the requested revision is compacted, or the
 * state does not have that revision. A watch that was begun before a restore
 * ends in the state in which it began.
 */
static json_t *watch(const struct request *request, const struct state *state)
{
	const char *prefix = request_query(request, "path_prefix");
	int64_t after, wait_ms, deadline;
	json_t *events;

	request_number(request, "after", INT64_MAX, 0, &after);
	request_number(request, "wait_ms", WAIT_MAX_MS, 0, &wait_ms);
	deadline = clock_monotonic_ns() + wait_ms * NS_PER_MS;
	for (;;) {
		if (after < state->compacted_revision ||
		    after > state->revision)
			return NULL;
		events = events_after(state->changes, prefix ? prefix : "",
				      after);
		if (json_array_size(events) || !standin_wait(deadline))
			break;
		json_decref(events);
	}
	return json_pack("{s:o, s:I}", "events", events, "at",
			 (json_int_t)state->revision);
}

/* Answers with the era of the state from which the answer was made. */
static enum MHD_Result reply_in_era(struct request *request, unsigned status,
				    json_t *answer, const char *era)
{
	char *text = answer ? json_dumps(answer, JSON_COMPACT) : NULL;
	enum MHD_Result result =
		reply(request, answer ? 200 : status, text,
		      text ? strlen(text) : 0, era ? "Store-Era" : NULL, era);

	json_decref(answer);
	free(text);
	return result;
}

/* The state that serves a call; some faults take the one before a restore. */
static const struct state *state_of_call(void)
{
	if (former && (standin.fault.mode == FAULT_FORMER ||
		       (standin.fault.mode == FAULT_MIXED && nr_calls % 2)))
		return former;
	return current;
}

static enum MHD_Result on_call(struct request *request)
{
	g_autofree char *era = NULL;
	const struct state *state;
	json_t *answer = NULL;
	unsigned status = 410;

	pthread_mutex_lock(&standin.lock);
	nr_calls++;
	state = state_of_call();
	if (standin.fault.mode == FAULT_SLOW)
		fault_delay();
	while (standin.fault.mode == FAULT_OUTAGE && standin.fault.hang &&
	       standin_wait(clock_monotonic_ns() + NS_PER_SEC))
		;
	if (standin.fault.mode == FAULT_OUTAGE)
		status = 503;
	else if (request_is(request, "GET", "/kv-range"))
		answer = range(request, state);
	else if (request_is(request, "GET", "/kv-watch"))
		answer = watch(request, state);
	else
		status = 404;
	if (sends_era)
		era = era_text ? g_strdup(era_text)
			       : g_strdup_printf("%" G_GINT64_FORMAT,
						 state->era);
	pthread_mutex_unlock(&standin.lock);
	if (standin.fault.mode == FAULT_LOST) {
		json_decref(answer);
		return MHD_NO;
	}
	return reply_in_era(request, status, answer, era);
}

/* Sends the era from now on, or another text instead of it. */
static void set_era(const char *text)
{
	sends_era = true;
	g_free(era_text);
	era_text = g_strdup(text);
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
		current->compacted_revision = ++current->revision;
	else if (request_is(request, "POST", "/copy"))
		copy = copy_state(current);
	else if (request_is(request, "POST", "/restore") && copy)
		restore();
	else if (request_is(request, "POST", "/era"))
		set_era(request_query(request, "text"));
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

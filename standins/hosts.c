/*
 * Test double of the host list. Lists the live and leaving hosts with a
 * configurable lag.
 */
#include <string.h>

#include "base/clock.h"
#include "standin.h"

#define LIST_MAX_BYTES (16 * 1024 * 1024)

enum {
	FAULT_NONE,
	FAULT_OUTAGE,
	FAULT_SLOW
};
static const char *const modes[] = { "none", "outage", "slow", NULL };

static struct setting settings[] = {
	{ "lag-ms", "N", "age of the reported host list", 0, NULL },
	{ NULL },
};

/* The list after one change. */
struct snapshot {
	int64_t at; /* monotonic ns */
	json_t *list;
};

/* Everything below is protected by standin.lock. */
static GQueue snapshots = G_QUEUE_INIT; /* oldest first */
static int64_t revision;

/* Appends a snapshot; steals the reference to the array of hosts. */
static void publish(json_t *hosts)
{
	struct snapshot *snapshot = g_new0(struct snapshot, 1);

	snapshot->at = clock_monotonic_ns();
	snapshot->list = json_pack("{s:I, s:o}", "revision",
				   (json_int_t)++revision, "hosts", hosts);
	g_queue_push_tail(&snapshots, snapshot);
}

/*
 * Returns the newest snapshot that is at least --lag-ms old, and frees those
 * before it. The first snapshot has no lag, as if it existed before the test.
 */
static json_t *visible_list(void)
{
	int64_t until = clock_monotonic_ns() - settings[0].number * NS_PER_MS;
	struct snapshot *next;

	while ((next = g_queue_peek_nth(&snapshots, 1)) && next->at <= until) {
		struct snapshot *old = g_queue_pop_head(&snapshots);

		json_decref(old->list);
		g_free(old);
	}
	if (g_queue_is_empty(&snapshots))
		return json_pack("{s:i, s:[]}", "revision", 0, "hosts");
	return json_incref(
		((struct snapshot *)g_queue_peek_head(&snapshots))->list);
}

static enum MHD_Result on_read(struct request *request)
{
	enum MHD_Result result = MHD_NO;

	if (!request_is(request, "GET", "/v1/hosts"))
		return reply_text(request, 404, "unknown path");
	pthread_mutex_lock(&standin.lock);
	if (standin.fault.mode == FAULT_SLOW)
		fault_delay();
	while (standin.fault.mode == FAULT_OUTAGE && standin.fault.hang &&
	       standin_wait(clock_monotonic_ns() + NS_PER_SEC))
		;
	if (standin.fault.mode == FAULT_OUTAGE && !standin.fault.hang)
		result = reply_text(request, 503, "outage");
	else if (!standin.stopping)
		result = reply_json(request, 200, visible_list());
	pthread_mutex_unlock(&standin.lock);
	return result;
}

static bool is_state(const char *state)
{
	return state &&
	       (g_str_equal(state, "live") || g_str_equal(state, "leaving"));
}

static bool is_host(json_t *host)
{
	const char *name, *zone, *region, *control, *state;

	return !json_unpack(host, "{s:s, s:s, s:s, s:s, s:s !}", "host", &name,
			    "zone", &zone, "region", &region, "control",
			    &control, "state", &state) &&
	       is_state(state);
}

static enum MHD_Result put_hosts(const struct request *request)
{
	json_t *list =
		json_loadb((const char *)request->body->data,
			   request->body->len, JSON_REJECT_DUPLICATES, NULL);
	json_t *hosts = json_object_get(list, "hosts");
	bool valid = json_is_array(hosts);
	json_t *host;
	size_t i;

	json_array_foreach (hosts, i, host)
		valid = valid && is_host(host);
	if (valid) {
		pthread_mutex_lock(&standin.lock);
		publish(json_incref(hosts));
		pthread_mutex_unlock(&standin.lock);
	}
	json_decref(list);
	return valid ? reply_text(request, 200, "published")
		     : reply_text(request, 400,
				  "body is no valid list of hosts");
}

/* Copies the newest array of hosts; empty before the first snapshot. */
static json_t *copy_hosts(void)
{
	struct snapshot *newest = g_queue_peek_tail(&snapshots);

	if (!newest)
		return json_array();
	return json_deep_copy(json_object_get(newest->list, "hosts"));
}

/* Applies POST /host to the array; returns false if the request is invalid. */
static bool change_host(const struct request *request, json_t *hosts)
{
	const char *name = request_query(request, "host");
	const char *state = request_query(request, "state");
	json_t *host;
	size_t i;

	if (!name || !state ||
	    (!is_state(state) && !g_str_equal(state, "gone")))
		return false;
	json_array_foreach (hosts, i, host) {
		if (!g_str_equal(json_string_value(
					 json_object_get(host, "host")),
				 name))
			continue;
		if (g_str_equal(state, "gone"))
			return !json_array_remove(hosts, i);
		return !json_object_set_new(host, "state", json_string(state));
	}
	host = json_pack("{s:o, s:o, s:o, s:o, s:o}", "host", json_text(name),
			 "zone", json_text(request_query(request, "zone")),
			 "region", json_text(request_query(request, "region")),
			 "control",
			 json_text(request_query(request, "control")), "state",
			 json_text(state));
	if (is_host(host))
		return !json_array_append_new(hosts, host);
	json_decref(host);
	return false;
}

static enum MHD_Result post_host(const struct request *request)
{
	json_t *hosts;
	bool valid;

	pthread_mutex_lock(&standin.lock);
	hosts = copy_hosts();
	valid = change_host(request, hosts);
	if (valid)
		publish(hosts);
	else
		json_decref(hosts);
	pthread_mutex_unlock(&standin.lock);
	return valid ? reply_text(request, 200, "published")
		     : reply_text(request, 400,
				  "unknown host, or a parameter is invalid");
}

static enum MHD_Result on_control(struct request *request)
{
	if (request_is(request, "POST", "/fault"))
		return fault_control(request, modes, NULL);
	if (request_is(request, "PUT", "/hosts"))
		return put_hosts(request);
	if (request_is(request, "POST", "/host"))
		return post_host(request);
	return reply_text(request, 404, "unknown control request");
}

int main(int argc, char **argv)
{
	static const struct server listen = { .handle = on_read };
	static const struct server control = { .body_max = LIST_MAX_BYTES,
					       .handle = on_control };

	return standin_main(argc, argv, settings, NULL, &listen, &control);
}

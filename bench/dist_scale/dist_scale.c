/*
 * Counts the messages and bytes of lib/dist in fleets of 13, 100 and 870
 * instances, with the gossip policy and with the baseline, in which every
 * instance reads from the source. All instances run in this process in
 * simulated time; every message takes the same time. Hosts, links and load are
 * not simulated.
 */
#include <glib.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "dist/dist.h"

#define DELAY (1500 * NS_PER_US)
#define TREE_BYTES (4 * 1024 * 1024)
#define NR_SERVICES 88
#define NR_CHANGES 20
#define IDLE_SECONDS 60
#define CONVERGE_TIMEOUT (300 * NS_PER_SEC)

/* Sizes on the wire: ONC RPC headers with record mark, HTTP headers. */
#define RPC_CALL_BYTES 44
#define RPC_ANSWER_BYTES 28
#define HTTP_BYTES 200

struct node {
	struct member *member;
	struct dist *dist;
	struct rng rng;
	char host[32], zone[32], region[32], control[32];
	int64_t timer; /* earliest timer in the queue */
	int64_t accepted_at;
	int64_t number;
	unsigned int depth; /* hops between peers; 0: read from the source */
	uint64_t messages, bytes;
};

enum kind {
	TIMER,
	CALL,
	ANSWER,
	SOURCE_CALL,
	SOURCE_ANSWER
};

struct event {
	int64_t at;
	uint64_t order;
	enum kind kind;
	size_t from, to;
	struct dist_action *action; /* that requested the call */
	struct dist_announce *announce;
	enum dist_outcome outcome;
	struct blob *blob;
};

struct fleet {
	size_t nr;
	struct node *nodes;
	GPtrArray *heap;
	GPtrArray *long_polls;
	GHashTable *parts; /* hex digest -> blob */
	GArray *source_calls;
	struct blob *manifest;
	uint64_t order;
	int64_t now;
	int64_t published;
	size_t nr_converged;
	int64_t number;
	uint32_t variants[NR_SERVICES + 1];
};

static bool accept_all(void *ctx, const struct dist_version *version,
		       struct findings *findings)
{
	(void)ctx;
	(void)version;
	(void)findings;
	return true;
}

static const struct dist_validator validator = { accept_all };

static bool is_earlier(const struct event *a, const struct event *b)
{
	return a->at != b->at ? a->at < b->at : a->order < b->order;
}

static void push(struct fleet *fleet, struct event *event)
{
	guint i = fleet->heap->len;

	event->order = ++fleet->order;
	g_ptr_array_add(fleet->heap, event);
	while (i && is_earlier(event, fleet->heap->pdata[(i - 1) / 2])) {
		fleet->heap->pdata[i] = fleet->heap->pdata[(i - 1) / 2];
		i = (i - 1) / 2;
	}
	fleet->heap->pdata[i] = event;
}

static struct event *pop(struct fleet *fleet)
{
	struct event *top = fleet->heap->pdata[0];
	struct event *last = fleet->heap->pdata[fleet->heap->len - 1];
	guint i = 0, child;

	g_ptr_array_set_size(fleet->heap, (gint)fleet->heap->len - 1);
	while ((child = 2 * i + 1) < fleet->heap->len) {
		if (child + 1 < fleet->heap->len &&
		    is_earlier(fleet->heap->pdata[child + 1],
			       fleet->heap->pdata[child]))
			child++;
		if (!is_earlier(fleet->heap->pdata[child], last))
			break;
		fleet->heap->pdata[i] = fleet->heap->pdata[child];
		i = child;
	}
	if (fleet->heap->len)
		fleet->heap->pdata[i] = last;
	return top;
}

static void event_free(struct event *event)
{
	dist_action_free(event->action);
	g_free(event->announce);
	blob_unref(event->blob);
	g_free(event);
}

static size_t announce_bytes(const struct dist_announce *announce)
{
	/* Two ids of 40 bytes, incarnation, age, two strings, a count. */
	return 2 * 40 + 8 + 8 + 4 + 8 + (strlen(announce->host) + 3) / 4 * 4 +
	       (strlen(announce->control) + 3) / 4 * 4 +
	       announce->nr_crashes * 32;
}

static void count(struct node *node, size_t bytes)
{
	node->messages++;
	node->bytes += bytes;
}

/* The size of the event's message on the wire. */
static size_t event_bytes(const struct event *event)
{
	const struct dist_peer_call *call = &event->action->peer;
	size_t body = event->blob ? event->blob->len : 0;

	if (event->kind == SOURCE_CALL || event->kind == SOURCE_ANSWER)
		return HTTP_BYTES + body;
	if (event->kind == CALL && call->procedure == DIST_ANNOUNCE)
		return RPC_CALL_BYTES + announce_bytes(call->announce);
	if (event->kind == CALL)
		return RPC_CALL_BYTES +
		       (call->procedure == DIST_GET_PART ? 32 : 40);
	if (event->announce)
		return RPC_ANSWER_BYTES + announce_bytes(event->announce);
	return RPC_ANSWER_BYTES + 8 + body;
}

static void send_event(struct fleet *fleet, struct event *event)
{
	event->at = fleet->now + DELAY;
	if (event->kind != SOURCE_ANSWER)
		count(&fleet->nodes[event->from], event_bytes(event));
	push(fleet, event);
}

static void record_accept(struct fleet *fleet, size_t index,
			  const struct dist_version *version,
			  const struct event *cause)
{
	struct node *node = &fleet->nodes[index];

	node->number = version->id.number;
	node->accepted_at = fleet->now;
	node->depth = cause && cause->kind == ANSWER
			      ? fleet->nodes[cause->from].depth + 1
			      : 0;
	if (node->number == fleet->number)
		fleet->nr_converged++;
}

static void drain(struct fleet *fleet, size_t index, const struct event *cause)
{
	struct node *node = &fleet->nodes[index];
	struct dist_action *action;
	struct event *event;
	int64_t deadline;

	while ((action = dist_next_action(node->dist))) {
		if (action->kind == DIST_ACTION_ACCEPT)
			record_accept(fleet, index, action->version, cause);
		if (action->kind != DIST_ACTION_PEER &&
		    action->kind != DIST_ACTION_SOURCE) {
			dist_action_free(action);
			continue;
		}
		event = g_new0(struct event, 1);
		event->kind =
			action->kind == DIST_ACTION_PEER ? CALL : SOURCE_CALL;
		event->from = event->to = index;
		if (event->kind == CALL)
			event->to = strtoul(action->peer.control + 1, NULL, 10);
		else
			g_array_append_val(fleet->source_calls, fleet->now);
		event->action = action;
		send_event(fleet, event);
	}
	deadline = dist_next_deadline(node->dist);
	if (deadline >= node->timer && node->timer > fleet->now)
		return;
	event = g_new0(struct event, 1);
	event->to = index;
	event->at = node->timer = deadline;
	push(fleet, event);
}

static void answer_source(struct fleet *fleet, struct event *event)
{
	const struct dist_source_call *call = &event->action->source;
	char hex[DIGEST_HEX_CHARS + 1];
	struct blob *blob = fleet->manifest;

	if (call->is_part) {
		digest_to_hex(&call->digest, hex);
		blob = g_hash_table_lookup(fleet->parts, hex);
	}
	event->kind = SOURCE_ANSWER;
	event->outcome = blob ? DIST_VALUE : DIST_MISSING;
	if (blob && !call->is_part && call->has_known &&
	    !digest_compare(&call->known, &blob->digest))
		event->outcome = DIST_UNCHANGED;
	if (event->outcome == DIST_VALUE)
		event->blob = blob_ref(blob);
	count(&fleet->nodes[event->to], event_bytes(event));
	send_event(fleet, event);
}

static void on_source_call(struct fleet *fleet, struct event *event)
{
	const struct dist_source_call *call = &event->action->source;
	bool is_known = call->has_known && fleet->manifest &&
			!digest_compare(&call->known, &fleet->manifest->digest);

	if (call->is_part || !call->wait_ms || !is_known) {
		answer_source(fleet, event);
		return;
	}
	/* The long poll ends at event->at or at the next publication. */
	event->at = fleet->now + call->wait_ms * NS_PER_MS;
	g_ptr_array_add(fleet->long_polls, event);
}

static void end_long_polls(struct fleet *fleet, bool changed)
{
	for (guint i = 0; i < fleet->long_polls->len;) {
		struct event *event = fleet->long_polls->pdata[i];

		if (!changed && event->at > fleet->now) {
			i++;
			continue;
		}
		g_ptr_array_remove_index_fast(fleet->long_polls, i);
		answer_source(fleet, event);
	}
}

static void on_call(struct fleet *fleet, struct event *event)
{
	const struct dist_peer_call *call = &event->action->peer;
	struct dist *dist = fleet->nodes[event->to].dist;
	size_t callee = event->to;

	if (call->procedure == DIST_ANNOUNCE) {
		event->announce = g_new0(struct dist_announce, 1);
		dist_on_announce(dist, call->announce, event->announce,
				 fleet->now);
	} else if (call->procedure == DIST_GET_MANIFEST) {
		event->blob = dist_on_get_manifest(dist, &call->id);
	} else {
		event->blob = dist_on_get_part(dist, &call->digest);
	}
	event->outcome = event->blob ? DIST_VALUE : DIST_MISSING;
	event->kind = ANSWER;
	event->to = event->from;
	event->from = callee;
	send_event(fleet, event);
	drain(fleet, callee, NULL);
}

static void on_answer(struct fleet *fleet, const struct event *event)
{
	struct dist *dist = fleet->nodes[event->to].dist;

	if (event->kind == SOURCE_ANSWER)
		dist_source_result(dist, event->action->source.call,
				   event->outcome, event->blob, fleet->now);
	else if (event->announce)
		dist_peer_announced(dist, event->action->peer.call,
				    event->announce, fleet->now);
	else
		dist_peer_result(dist, event->action->peer.call, event->outcome,
				 event->blob, fleet->now);
	drain(fleet, event->to, event);
}

static void dispatch(struct fleet *fleet, struct event *event)
{
	struct node *node = &fleet->nodes[event->to];

	switch (event->kind) {
	case CALL:
		on_call(fleet, event);
		return;
	case SOURCE_CALL:
		on_source_call(fleet, event);
		return;
	case TIMER:
		if (node->timer == event->at) {
			node->timer = 0;
			dist_tick(node->dist, fleet->now);
			drain(fleet, event->to, NULL);
		}
		break;
	default:
		on_answer(fleet, event);
	}
	event_free(event);
}

/*
 * Runs the simulation until the given time or, with stop_converged, until all
 * instances have the newest version if that is earlier.
 */
static void run(struct fleet *fleet, int64_t until, bool stop_converged)
{
	int64_t next_sweep = fleet->now;

	while (fleet->heap->len) {
		struct event *event = fleet->heap->pdata[0];

		if (event->at > until ||
		    (stop_converged && fleet->nr_converged == fleet->nr))
			break;
		fleet->now = event->at;
		dispatch(fleet, pop(fleet));
		if (fleet->now >= next_sweep) {
			end_long_polls(fleet, false);
			next_sweep = fleet->now + 10 * NS_PER_MS;
		}
	}
	if (!stop_converged)
		fleet->now = until;
}

static void add_part(struct fleet *fleet, GString *entries, const char *name,
		     uint32_t variant, size_t bytes)
{
	char *body = g_malloc(bytes);
	char hex[DIGEST_HEX_CHARS + 1];
	struct blob *blob;

	memset(body, ' ', bytes);
	snprintf(body, bytes, "{\"%s\":%u}", name, variant);
	blob = blob_new(body, bytes);
	g_free(body);
	digest_to_hex(&blob->digest, hex);
	g_string_append_printf(
		entries, "%s{\"name\":\"%s\",\"digest\":\"%s\",\"bytes\":%zu}",
		entries->len ? "," : "", name, hex, bytes);
	if (!g_hash_table_contains(fleet->parts, hex))
		g_hash_table_insert(fleet->parts, g_strdup(hex), blob);
	else
		blob_unref(blob);
}

/*
 * Publishes a version in which the first nr services changed. With whole, the
 * parts are equal pieces of the tree that all change.
 */
static void publish(struct fleet *fleet, bool whole, size_t nr)
{
	size_t parts = whole ? TREE_BYTES / DIST_VALUE_MAX : NR_SERVICES;
	GString *entries = g_string_new(NULL);
	g_autofree char *text = NULL;

	for (size_t i = 0; i < (whole ? parts : nr); i++)
		fleet->variants[i]++;
	if (!whole)
		add_part(fleet, entries, "root", 1, TREE_BYTES / 89);
	for (size_t i = 0; i < parts; i++) {
		char name[32];

		snprintf(name, sizeof(name), "service/s%02zu", i);
		add_part(fleet, entries, name, fleet->variants[i],
			 TREE_BYTES / (whole ? parts : NR_SERVICES + 1));
	}
	text = g_strdup_printf("{\"format\":1,\"version\":%" PRId64
			       ",\"parts\":[%s]}",
			       ++fleet->number, entries->str);
	g_string_free(entries, TRUE);
	blob_unref(fleet->manifest);
	fleet->manifest = blob_new(text, strlen(text));
	fleet->published = fleet->now;
	fleet->nr_converged = 0;
	end_long_polls(fleet, true);
}

static void start(struct fleet *fleet, const struct dist_policy *policy,
		  size_t nr_zones)
{
	struct member_host *hosts = g_new0(struct member_host, fleet->nr);
	struct host_list *list;

	for (size_t i = 0; i < fleet->nr; i++) {
		struct node *node = &fleet->nodes[i];
		size_t zone = i % nr_zones;

		snprintf(node->host, sizeof(node->host), "h%zu", i);
		snprintf(node->zone, sizeof(node->zone), "z%zu", zone);
		snprintf(node->region, sizeof(node->region), "r%zu", zone / 3);
		snprintf(node->control, sizeof(node->control), "c%zu", i);
		hosts[i].host = node->host;
		hosts[i].zone = node->zone;
		hosts[i].region = node->region;
		hosts[i].control = node->control;
	}
	list = host_list_new(1, hosts, fleet->nr);
	g_free(hosts);
	for (size_t i = 0; i < fleet->nr; i++) {
		struct node *node = &fleet->nodes[i];
		struct member_options member_options = {
			.host = node->host,
			.zone = node->zone,
			.region = node->region,
			.control = node->control,
			.rng = &node->rng,
		};
		struct dist_options options = {
			.incarnation = i + 1,
			.rng = &node->rng,
			.validator = &validator,
			.policy = policy,
			.now = fleet->now,
		};

		rng_init(&node->rng, hash_mix(20261204, i));
		node->member = member_new(&member_options);
		options.member = node->member;
		node->dist = dist_new(&options);
	}
	for (size_t i = 0; i < fleet->nr; i++) {
		dist_host_list(fleet->nodes[i].dist, list, fleet->now);
		drain(fleet, i, NULL);
	}
	host_list_unref(list);
}

static void stop(struct fleet *fleet)
{
	for (guint i = 0; i < fleet->heap->len; i++)
		event_free(fleet->heap->pdata[i]);
	for (guint i = 0; i < fleet->long_polls->len; i++)
		event_free(fleet->long_polls->pdata[i]);
	for (size_t i = 0; i < fleet->nr; i++) {
		dist_free(fleet->nodes[i].dist);
		member_free(fleet->nodes[i].member);
	}
	g_ptr_array_free(fleet->heap, TRUE);
	g_ptr_array_free(fleet->long_polls, TRUE);
	g_hash_table_destroy(fleet->parts);
	g_array_free(fleet->source_calls, TRUE);
	blob_unref(fleet->manifest);
	g_free(fleet->nodes);
}

struct totals {
	double messages, bytes; /* per daemon */
	uint64_t largest;	/* bytes of the busiest daemon */
};

static struct totals read_and_reset_totals(struct fleet *fleet)
{
	struct totals totals = { 0 };

	for (size_t i = 0; i < fleet->nr; i++) {
		struct node *node = &fleet->nodes[i];

		totals.messages += (double)node->messages;
		totals.bytes += (double)node->bytes;
		totals.largest = MAX(totals.largest, node->bytes);
		node->messages = node->bytes = 0;
	}
	totals.messages /= (double)fleet->nr;
	totals.bytes /= (double)fleet->nr;
	return totals;
}

/* The largest number of source calls within any second. */
static guint peak_source_calls(const struct fleet *fleet)
{
	const int64_t *times =
		(const int64_t *)(void *)fleet->source_calls->data;
	guint first = 0, peak = 0;

	for (guint i = 0; i < fleet->source_calls->len; i++) {
		while (times[i] - times[first] > NS_PER_SEC)
			first++;
		peak = MAX(peak, i - first + 1);
	}
	return peak;
}

static unsigned int max_depth(const struct fleet *fleet)
{
	unsigned int depth = 0;

	for (size_t i = 0; i < fleet->nr; i++)
		depth = MAX(depth, fleet->nodes[i].depth);
	return depth;
}

static void print_row(const struct fleet *fleet, const char *policy,
		      const char *what, double median, double worst,
		      const struct totals *totals, guint calls, guint peak)
{
	printf("%-7s %5zu  %-14s %9.3f %9.3f %7u %10.1f %12.0f %12" PRIu64
	       " %9u %7u\n",
	       policy, fleet->nr, what, median, worst, max_depth(fleet),
	       totals->messages, totals->bytes, totals->largest, calls, peak);
	fflush(stdout);
}

static int compare_times(const void *a, const void *b)
{
	double left = *(const double *)a;
	double right = *(const double *)b;

	return (left > right) - (left < right);
}

static double converge(struct fleet *fleet)
{
	run(fleet, fleet->now + CONVERGE_TIMEOUT, true);
	if (fleet->nr_converged < fleet->nr)
		return -1;
	return (double)(fleet->now - fleet->published) / (double)NS_PER_SEC;
}

/*
 * Publishes changes at random times. The row shows the traffic from each
 * publication until all instances have the version, anti-entropy included.
 */
static void measure_changes(struct fleet *fleet, const char *policy, bool whole,
			    size_t nr, const char *what)
{
	struct totals sum = { 0 };
	double times[NR_CHANGES];
	struct rng rng;
	guint calls = 0;
	guint peak = 0;

	rng_init(&rng, nr);
	for (int i = 0; i < NR_CHANGES; i++) {
		struct totals totals;

		run(fleet,
		    fleet->now + 12 * NS_PER_SEC +
			    (int64_t)rng_below(&rng, 10 * (uint64_t)NS_PER_SEC),
		    false);
		read_and_reset_totals(fleet);
		g_array_set_size(fleet->source_calls, 0);
		publish(fleet, whole, nr);
		times[i] = converge(fleet);
		totals = read_and_reset_totals(fleet);
		sum.messages += totals.messages / NR_CHANGES;
		sum.bytes += totals.bytes / NR_CHANGES;
		sum.largest = MAX(sum.largest, totals.largest);
		calls += fleet->source_calls->len;
		peak = MAX(peak, peak_source_calls(fleet));
	}
	qsort(times, NR_CHANGES, sizeof(*times), compare_times);
	print_row(fleet, policy, what, times[NR_CHANGES / 2],
		  times[NR_CHANGES - 1], &sum, calls / NR_CHANGES, peak);
}

static void measure(size_t nr, size_t nr_zones,
		    const struct dist_policy *policy, const char *name,
		    bool whole)
{
	struct fleet fleet = { .nr = nr, .now = NS_PER_SEC };
	struct totals totals;
	double time;

	fleet.nodes = g_new0(struct node, nr);
	fleet.heap = g_ptr_array_new();
	fleet.long_polls = g_ptr_array_new();
	fleet.source_calls = g_array_new(FALSE, FALSE, sizeof(int64_t));
	fleet.parts = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					    (GDestroyNotify)blob_unref);
	publish(&fleet, whole, 0);
	start(&fleet, policy, nr_zones);
	time = converge(&fleet);
	totals = read_and_reset_totals(&fleet);
	print_row(&fleet, name, "herd start", time, time, &totals,
		  fleet.source_calls->len, peak_source_calls(&fleet));

	run(&fleet, fleet.now + 30 * NS_PER_SEC, false);
	read_and_reset_totals(&fleet);
	g_array_set_size(fleet.source_calls, 0);
	run(&fleet, fleet.now + IDLE_SECONDS * NS_PER_SEC, false);
	totals = read_and_reset_totals(&fleet);
	totals.messages /= IDLE_SECONDS;
	totals.bytes /= IDLE_SECONDS;
	totals.largest /= IDLE_SECONDS;
	print_row(&fleet, name, "idle, 1 s", 0, 0, &totals,
		  fleet.source_calls->len / IDLE_SECONDS,
		  peak_source_calls(&fleet));

	measure_changes(&fleet, name, whole, 1, "1 service");
	measure_changes(&fleet, name, whole, 10, "10 services");
	stop(&fleet);
}

int main(void)
{
	static const struct {
		size_t nr, nr_zones;
	} fleets[] = { { 13, 3 }, { 100, 3 }, { 870, 9 } };

	printf("%-7s %5s  %-14s %9s %9s %7s %10s %12s %12s %9s %7s\n", "policy",
	       "hosts", "case", "median_s", "worst_s", "hops", "messages",
	       "bytes", "bytes_max", "src_calls", "src_1s");
	for (size_t i = 0; i < G_N_ELEMENTS(fleets); i++) {
		measure(fleets[i].nr, fleets[i].nr_zones, &dist_policy_direct,
			"direct", true);
		measure(fleets[i].nr, fleets[i].nr_zones, &dist_policy_gossip,
			"gossip", false);
	}
	return 0;
}

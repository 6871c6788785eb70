#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "control_internal.h"

#define FETCH_THREADS 3
#define CRASHES_INTERVAL_NS (1 * NS_PER_SEC)

static void announce_crashes(void *arg)
{
	struct quarantine_entry entries[DIST_CRASHES_MAX];
	struct dist_crash crashes[DIST_CRASHES_MAX];
	struct control *control = arg;
	size_t nr =
		control->options.ops->export_crashes(control->options.ctx,
						     entries, DIST_CRASHES_MAX);

	for (size_t i = 0; i < nr; i++) {
		crashes[i].fingerprint = entries[i].fingerprint;
		crashes[i].origin = entries[i].origin;
		crashes[i].count = entries[i].count;
		crashes[i].cleared = entries[i].cleared;
		crashes[i].left_ms = entries[i].left_ms;
	}
	dist_set_crashes(control->dist, crashes, nr, clock_monotonic_ns());
}

void control_announce_crashes(struct control *control)
{
	net_loop_defer(control->loop, announce_crashes, control);
}

static void merge_peer_crashes(struct control *control,
			       const struct dist_action *action)
{
	struct quarantine_entry entries[DIST_CRASHES_MAX] = { 0 };

	for (size_t i = 0; i < action->crashes.nr; i++) {
		entries[i].fingerprint = action->crashes.entries[i].fingerprint;
		entries[i].origin = action->crashes.entries[i].origin;
		entries[i].count = action->crashes.entries[i].count;
		entries[i].cleared = action->crashes.entries[i].cleared;
		entries[i].left_ms = action->crashes.entries[i].left_ms;
	}
	control->options.ops->merge_crashes(control->options.ctx, entries,
					    action->crashes.nr);
}

static void perform(struct control *control, struct dist_action *action)
{
	switch (action->kind) {
	case DIST_ACTION_SOURCE:
		control_read_source(control, &action->source);
		break;
	case DIST_ACTION_PEER:
		control_call_peer(control, &action->peer);
		break;
	case DIST_ACTION_ACCEPT:
		control_apply(control, action->version);
		break;
	case DIST_ACTION_SERVE:
		control->options.ops->serve(control->options.ctx);
		break;
	case DIST_ACTION_CRASHES:
		merge_peer_crashes(control, action);
		break;
	case DIST_ACTION_LOG:
		log_event(action->log.priority, action->log.event, "%s",
			  action->log.text);
		break;
	}
}

/*
 * Announced crash entries hold the time left until they expire, so they are
 * refreshed at an interval.
 */
static void refresh_crashes(struct control *control, int64_t now)
{
	if (now < control->crashes_deadline)
		return;
	control->crashes_deadline = now + CRASHES_INTERVAL_NS;
	announce_crashes(control);
}

static void run_iteration(void *ctx, int64_t now)
{
	struct control *control = ctx;
	struct dist_action *action;

	control_sweep_peers(control, now);
	control_read_host_list(control, now);
	refresh_crashes(control, now);
	if (dist_next_deadline(control->dist) <= now)
		dist_tick(control->dist, now);
	while ((action = dist_next_action(control->dist))) {
		perform(control, action);
		dist_action_free(action);
	}
}

static int64_t next_deadline(void *ctx)
{
	struct control *control = ctx;
	int64_t deadline = dist_next_deadline(control->dist);

	deadline = MIN(deadline, control->host_list_deadline);
	if (g_hash_table_size(control->peers))
		deadline = MIN(deadline, control->sweep_deadline);
	return deadline;
}

static void create_dist_and_member(struct control *control)
{
	const struct settings *settings = control->options.settings;
	struct member_options member = {
		.host = settings->host,
		.zone = settings->zone,
		.region = settings->region,
		.control = settings->control_text,
		.seeds = (const char *const *)settings->seeds,
		.nr_seeds = g_strv_length(settings->seeds),
		.rng = &control->rng,
	};
	struct dist_options dist = {
		.incarnation = control->options.incarnation,
		.rng = &control->rng,
		.validator = &control_validator,
		.validator_ctx = control,
		.policy = control->options.policy,
		.source_interval_ms = settings->source_interval_ms,
		.now = clock_monotonic_ns(),
	};

	control->member = member_new(&member);
	dist.member = control->member;
	control->dist = dist_new(&dist);
}

static void add_counter(struct control *control, struct counter *counter,
			const char *name, const char *help)
{
	counter->name = name;
	counter->help = help;
	metrics_add_counter(control->options.metrics, counter);
}

static void add_counters(struct control *control)
{
	static const char bytes[] = "Bytes on the control connections.";
	static const char records[] = "Messages on the control connections.";
	struct net_traffic *traffic = &control->traffic;

	add_counter(control, &traffic->bytes_sent,
		    "godwitspur_control_bytes_total{direction=\"sent\"}",
		    bytes);
	add_counter(control, &traffic->bytes_received,
		    "godwitspur_control_bytes_total{direction=\"received\"}",
		    bytes);
	add_counter(control, &traffic->records_sent,
		    "godwitspur_control_records_total{direction=\"sent\"}",
		    records);
	add_counter(control, &traffic->records_received,
		    "godwitspur_control_records_total{direction=\"received\"}",
		    records);
	add_counter(control, &control->source_calls,
		    "godwitspur_source_calls_total", "Calls of the source.");
	add_counter(control, &control->source_bytes,
		    "godwitspur_source_bytes_total",
		    "Bytes of bodies read from the source.");
	add_counter(control, &control->hosts_bytes,
		    "godwitspur_host_list_bytes_total",
		    "Bytes of bodies of the host list.");
}

struct control *control_new(const struct control_options *options,
			    GError **error)
{
	struct control *control = g_new0(struct control, 1);
	struct net_loop_options loop = {
		.on_iteration = run_iteration,
		.next_deadline = next_deadline,
		.ctx = control,
	};
	struct rpc_options rpc;

	control->options = *options;
	rng_init(&control->rng, options->seed);
	control->peers = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					       control_peer_free);
	control->loop = net_loop_new(&loop);
	control->service.program = CONTROL_PROGRAM;
	control->service.version = CONTROL_VERSION;
	control->service.handle = control_handle;
	control->service.ctx = control;
	rpc = control_rpc_options(control);
	rpc.service = &control->service;
	control->listener =
		rpc_listen(&rpc, &options->settings->control, error);
	if (!control->listener) {
		net_loop_free(control->loop);
		g_hash_table_unref(control->peers);
		g_free(control);
		return NULL;
	}
	add_counters(control);
	create_dist_and_member(control);
	control->fetches = fetch_pool_new(control->loop, FETCH_THREADS);
	return control;
}

void control_run(struct control *control)
{
	run_iteration(control, clock_monotonic_ns());
	net_loop_run(control->loop);
}

void control_stop(struct control *control)
{
	net_loop_stop(control->loop);
}

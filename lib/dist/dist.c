#include <string.h>

#include "dist/dist_internal.h"

struct dist_action *action_new(struct dist *dist, enum dist_action_kind kind)
{
	struct dist_action *action = g_new0(struct dist_action, 1);

	action->kind = kind;
	cds_list_add_tail(&action->node, &dist->actions);
	return action;
}

void log_action(struct dist *dist, int priority, const char *event,
		const char *fmt, ...)
{
	struct dist_action *action = action_new(dist, DIST_ACTION_LOG);
	va_list args;

	action->log.priority = priority;
	action->log.event = event;
	va_start(args, fmt);
	action->log.text = g_strdup_vprintf(fmt, args);
	va_end(args);
}

struct dist_action *dist_next_action(struct dist *dist)
{
	struct dist_action *action;

	if (cds_list_empty(&dist->actions))
		return NULL;
	action = cds_list_first_entry(&dist->actions, struct dist_action, node);
	cds_list_del(&action->node);
	return action;
}

void dist_action_free(struct dist_action *action)
{
	if (!action)
		return;
	if (action->kind == DIST_ACTION_PEER)
		g_free(action->peer.announce);
	else if (action->kind == DIST_ACTION_ACCEPT)
		dist_version_unref(action->version);
	else if (action->kind == DIST_ACTION_LOG)
		g_free(action->log.text);
	g_free(action);
}

/* The functions of dist_rules_default. */

static bool digest_matches(const struct digest *digest, const struct blob *blob)
{
	return !digest_compare(digest, &blob->digest);
}

static bool has_all_parts(const struct dist_version *version)
{
	return !version->nr_missing;
}

static bool validator_accepts(const struct dist_validator *validator, void *ctx,
			      const struct dist_version *version,
			      struct findings *findings)
{
	return validator->accept(ctx, version, findings);
}

static bool is_listed(const struct cds_list_head *refusals,
		      const struct version_id *id)
{
	const struct dist_refusal *refusal;

	cds_list_for_each_entry (refusal, refusals, node) {
		if (!version_id_compare(&refusal->id, id))
			return true;
	}
	return false;
}

static bool has_token(int64_t next_token, int64_t now)
{
	return now >= next_token;
}

static bool gate_opens(const struct dist_gate_view *view)
{
	if (!view->has_version)
		return false;
	if (view->age >= GATE_LONG)
		return true;
	if (view->knows_newer)
		return false;
	return view->all_answered ||
	       (view->age >= GATE_SHORT && view->nr_answered > 0);
}

const struct dist_rules dist_rules_default = {
	.compare = version_id_compare,
	.matches = digest_matches,
	.is_complete = has_all_parts,
	.accepts = validator_accepts,
	.is_refused = is_listed,
	.has_token = has_token,
	.gate_opens = gate_opens,
};

struct dist *dist_new(const struct dist_options *options)
{
	struct dist *dist = g_new0(struct dist, 1);
	int64_t interval_ms = options->source_interval_ms;

	dist->incarnation = options->incarnation;
	dist->member = options->member;
	dist->rng = options->rng;
	dist->validator = options->validator;
	dist->validator_ctx = options->validator_ctx;
	dist->policy = options->policy ? options->policy : &dist_policy_gossip;
	dist->rules = options->rules ? options->rules : &dist_rules_default;
	if (!interval_ms)
		interval_ms = DIST_SOURCE_INTERVAL_MS;
	dist->source_interval = interval_ms * NS_PER_MS;
	dist->started = dist->reading_since = dist->last_event = options->now;
	CDS_INIT_LIST_HEAD(&dist->actions);
	CDS_INIT_LIST_HEAD(&dist->calls);
	CDS_INIT_LIST_HEAD(&dist->candidates);
	CDS_INIT_LIST_HEAD(&dist->dropped);
	CDS_INIT_LIST_HEAD(&dist->refusals);
	dist->fleet =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	dist->next_exchange =
		options->now +
		(int64_t)rng_below(dist->rng, (uint64_t)EXCHANGE_INTERVAL);
	/*
	 * The token bucket starts empty, so that a daemon that is restarted
	 * repeatedly keeps the rate limit too. The jitter spreads the calls of
	 * daemons that start together, the first and the later ones.
	 */
	dist->next_token =
		options->now + dist->source_interval +
		(int64_t)rng_below(dist->rng,
				   (uint64_t)dist->source_interval / 2);
	dist->wants_read = true;
	dist->reannounce_at = DEADLINE_NEVER;
	dist->deadline = options->now;
	gate_plan(dist, options->now);
	return dist;
}

void dist_free(struct dist *dist)
{
	struct dist_action *action, *next_action;
	struct call *call, *next_call;
	struct dist_refusal *refusal, *next_refusal;

	if (!dist)
		return;
	cds_list_for_each_entry_safe (action, next_action, &dist->actions, node)
		dist_action_free(action);
	cds_list_for_each_entry_safe (call, next_call, &dist->calls, node)
		g_free(call);
	candidates_release(&dist->candidates);
	candidates_release(&dist->dropped);
	cds_list_for_each_entry_safe (refusal, next_refusal, &dist->refusals,
				      node) {
		findings_release(&refusal->findings);
		g_free(refusal);
	}
	dist_version_unref(dist->in_force);
	g_hash_table_destroy(dist->fleet);
	g_free(dist);
}

void clear_muted(struct dist *dist)
{
	dist->muted = false;
}

/* The new version is above the one in force, as the caller has checked. */
void set_in_force(struct dist *dist, struct dist_version *version, int64_t now)
{
	int64_t old = dist->in_force ? dist->in_force->id.number : 0;
	struct dist_action *action = action_new(dist, DIST_ACTION_ACCEPT);
	char hex[DIGEST_HEX_CHARS + 1];

	if (version->id.number != old)
		dist->has_conflict = false;
	dist_version_unref(dist->in_force);
	dist->in_force = dist_version_ref(version);
	action->version = dist_version_ref(version);
	digest_to_hex(&version->id.digest, hex);
	log_action(dist, LOG_INFO, "config_accepted",
		   "version=%" PRId64
		   " digest=%.16s parts=%zu previous=%" PRId64 " jump=%d",
		   version->id.number, hex, version->nr_parts, old,
		   old && version->id.number > old + 1);
	dist->policy->spread(dist, now);
	dist->reannounce_at = now + REANNOUNCE_DELAY;
}

static void resume(struct dist *dist, int64_t now)
{
	log_action(dist, LOG_WARNING, "pause_detected", "ms=%" PRId64,
		   (now - dist->last_event) / NS_PER_MS);
	dist->muted = true;
	dist->wants_read = true;
	dist->reading_since = now;
	calls_drop_peers(dist);
	/* Peers that answered at the start are queried again. */
	if (dist->gate.is_open)
		dist->gate.nr_answered = 0;
	query_start_peers(dist, START_PEERS, now);
}

/*
 * Begins the handling of an event, and detects a pause before it. Returns the
 * time, which never decreases.
 */
int64_t event_begin(struct dist *dist, int64_t now)
{
	now = MAX(now, dist->last_event);
	if (!dist->stopped && now - dist->last_event > PAUSE_LIMIT)
		resume(dist, now);
	dist->last_event = now;
	return now;
}

static void exchange(struct dist *dist, int64_t now)
{
	if (now < dist->next_exchange)
		return;
	dist->next_exchange =
		now + EXCHANGE_INTERVAL * 9 / 10 +
		(int64_t)rng_below(dist->rng, (uint64_t)EXCHANGE_INTERVAL / 5);
	dist->policy->exchange(dist, now);
}

static int64_t find_deadline(const struct dist *dist, int64_t now)
{
	int64_t deadline = MIN(dist->next_exchange, dist->wake);
	const struct candidate *candidate;
	const struct call *call;

	deadline = MIN(deadline, dist->reannounce_at);
	deadline = MIN(deadline, gate_wake(dist, now));
	cds_list_for_each_entry (candidate, &dist->candidates, node)
		deadline = MIN(deadline, candidate->wake);
	cds_list_for_each_entry (call, &dist->calls, node)
		deadline = MIN(deadline, call->deadline);
	return MAX(deadline, now + 1);
}

/* Ends the handling of an event: runs the timers and starts new calls. */
void event_end(struct dist *dist, int64_t now)
{
	if (dist->stopped)
		return;
	candidates_release(&dist->dropped);
	calls_expire(dist, now);
	candidates_decide(dist, now);
	gate_drive(dist, now);
	if (now >= dist->reannounce_at) {
		dist->reannounce_at = DEADLINE_NEVER;
		dist->policy->spread(dist, now);
	}
	exchange(dist, now);
	candidates_drive(dist, now);
	source_drive(dist, now);
	dist->deadline = find_deadline(dist, now);
}

void dist_tick(struct dist *dist, int64_t now)
{
	event_end(dist, event_begin(dist, now));
}

int64_t dist_next_deadline(const struct dist *dist)
{
	return dist->stopped ? DEADLINE_NEVER : dist->deadline;
}

void dist_paused(struct dist *dist, int64_t now)
{
	now = MAX(now, dist->last_event);
	if (!dist->stopped)
		resume(dist, now);
	dist->last_event = now;
	event_end(dist, now);
}

static gboolean is_expired(gpointer key, gpointer value, gpointer data)
{
	const struct fleet_entry *entry = value;
	const struct dist *dist = data;

	return !member_find(dist->member, key) &&
	       dist->last_event - entry->received > UNLISTED_HOST_LIFE;
}

void dist_host_list(struct dist *dist, struct host_list *list, int64_t now)
{
	now = event_begin(dist, now);
	if (!dist->stopped && member_apply_list(dist->member, list, now)) {
		g_hash_table_foreach_remove(dist->fleet, is_expired, dist);
		gate_plan(dist, now);
	}
	event_end(dist, now);
}

void dist_stop(struct dist *dist, int64_t now)
{
	dist->last_event = MAX(now, dist->last_event);
	dist->stopped = true;
}

bool dist_is_serving(const struct dist *dist)
{
	return dist->gate.is_open;
}

struct dist_version *dist_in_force(const struct dist *dist)
{
	return dist->in_force;
}

struct version_id dist_newest_known(const struct dist *dist)
{
	const struct candidate *newest = candidate_newest(dist);
	struct version_id none = { 0 };

	if (newest)
		return newest->id;
	return dist->in_force ? dist->in_force->id : none;
}

bool dist_has_conflict(const struct dist *dist)
{
	return dist->has_conflict;
}

const struct cds_list_head *dist_refusals(const struct dist *dist)
{
	return &dist->refusals;
}

bool dist_member_version(const struct dist *dist, const char *host,
			 struct version_id *id, int64_t *received)
{
	const struct fleet_entry *entry =
		g_hash_table_lookup(dist->fleet, host);

	if (!entry)
		return false;
	*id = entry->id;
	*received = entry->received;
	return true;
}

uint64_t dist_source_calls(const struct dist *dist)
{
	return dist->nr_source_calls;
}

static json_t *dump_id(const struct version_id *id)
{
	char hex[DIGEST_HEX_CHARS + 1];

	digest_to_hex(&id->digest, hex);
	return json_pack("{s:I, s:s}", "number", (json_int_t)id->number,
			 "digest", hex);
}

static json_t *dump_candidates(const struct dist *dist, int64_t now)
{
	const struct candidate *candidate;
	json_t *array = json_array();

	cds_list_for_each_entry (candidate, &dist->candidates, node) {
		const struct dist_version *version = candidate->version;

		json_array_append_new(
			array,
			json_pack("{s:o, s:b, s:I, s:I, s:I, s:I}", "id",
				  dump_id(&candidate->id), "manifest",
				  version != NULL, "missing",
				  (json_int_t)(version ? version->nr_missing
						       : 0),
				  "holders", (json_int_t)candidate->complete.nr,
				  "in_flight",
				  (json_int_t)candidate->nr_pending, "age_ms",
				  (json_int_t)((now - candidate->since) /
					       NS_PER_MS)));
	}
	return array;
}

static json_t *dump_refusals(const struct dist *dist)
{
	const struct dist_refusal *refusal;
	json_t *array = json_array();

	cds_list_for_each_entry (refusal, &dist->refusals, node)
		json_array_append_new(
			array, json_pack("{s:o, s:o}", "id",
					 dump_id(&refusal->id), "findings",
					 findings_to_json(&refusal->findings)));
	return array;
}

json_t *dist_dump(const struct dist *dist, int64_t now)
{
	json_int_t age =
		dist->has_confirmation
			? (json_int_t)((now - dist->confirmation) / NS_PER_MS)
			: -1;

	return json_pack("{s:s, s:o, s:o, s:o, s:b, s:b, s:b, s:b, s:I, s:I,"
			 " s:I, s:I}",
			 "policy", dist->policy->name, "in_force",
			 dist->in_force ? dump_id(&dist->in_force->id)
					: json_null(),
			 "candidates", dump_candidates(dist, now), "refusals",
			 dump_refusals(dist), "serving", dist->gate.is_open,
			 "conflict", dist->has_conflict, "muted", dist->muted,
			 "watching", dist->manifest_in_flight, "source_calls",
			 (json_int_t)dist->nr_source_calls, "source_failures",
			 (json_int_t)dist->nr_failures, "confirmation_age_ms",
			 age, "gate_answered",
			 (json_int_t)dist->gate.nr_answered);
}

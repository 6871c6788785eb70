#include "dist/dist_internal.h"

/* Calls to the source: the watch, the read at the start, missing parts. */

static struct dist_source_call *source_call(struct dist *dist, int64_t wait,
					    int64_t now, struct call **call)
{
	struct dist_action *action = action_new(dist, DIST_ACTION_SOURCE);
	struct dist_source_call *out = &action->source;
	int64_t limit = wait ? wait + WATCH_GRACE : SOURCE_TIMEOUT;

	*call = call_new(dist, true, now, now + limit);
	out->call = (*call)->id;
	out->deadline = (*call)->deadline;
	out->wait_ms = wait / NS_PER_MS;
	dist->next_token = now + dist->source_interval;
	dist->wake = dist->next_token;
	dist->nr_source_calls++;
	return out;
}

static void read_manifest(struct dist *dist, int64_t wait, int64_t now)
{
	struct call *call;
	struct dist_source_call *out = source_call(dist, wait, now, &call);

	out->has_known = dist->has_known;
	out->known = dist->known;
	dist->manifest_in_flight = true;
	dist->was_part = false;
	dist->wants_read = false;
}

/*
 * Whether this daemon may read the part from the source now: it read the
 * manifest there, is a fetcher of the part, or the fetchers did not deliver
 * the part in time.
 */
static bool is_due(const struct dist *dist, const struct candidate *candidate,
		   size_t rank, int64_t now)
{
	return candidate->from_source || rank < NR_FETCHERS ||
	       now - candidate->since >= FETCHER_TIMEOUT ||
	       !dist->policy->uses_peers;
}

/* Number of members that rank before this one for the part. */
static size_t own_rank(const struct fetch_order *fetch_order, size_t index)
{
	if (fetch_order->self >= fetch_order->nr)
		return fetch_order->nr;
	return (fetch_order->self + fetch_order->nr - index % fetch_order->nr) %
	       fetch_order->nr;
}

/*
 * Chooses the missing part for which this daemon has the best rank, the first
 * of equals, so that members read different parts. Lowers *wake to the time
 * when a part becomes due.
 */
static struct dist_part *choose_part(struct dist *dist,
				     struct candidate *candidate, int64_t now,
				     int64_t *wake)
{
	struct dist_version *version = candidate->version;
	const struct fetch_order *fetch_order =
		candidate_fetch_order(dist, candidate, now);
	struct dist_part *best = NULL;
	size_t best_rank = SIZE_MAX;

	for (size_t i = 0; i < version->nr_parts; i++) {
		struct dist_part *part = &version->parts[i];
		struct part_state *state = &candidate->states[i];
		size_t rank;

		if (part->blob)
			continue;
		if (now < state->source_retry) {
			*wake = MIN(*wake, state->source_retry);
			continue;
		}
		rank = own_rank(fetch_order, i);
		if (!is_due(dist, candidate, rank, now)) {
			*wake = MIN(*wake, candidate->since + FETCHER_TIMEOUT);
			continue;
		}
		if (rank < best_rank) {
			best = part;
			best_rank = rank;
		}
		if (!best_rank)
			break;
	}
	return best;
}

/* Reads a part of a version that no known peer has; false when none is due. */
static bool read_part(struct dist *dist, int64_t now, int64_t *wake)
{
	struct candidate *candidate;

	cds_list_for_each_entry (candidate, &dist->candidates, node) {
		struct dist_source_call *out;
		struct dist_part *part;
		struct call *call;

		if (!candidate->version || candidate->complete.nr)
			continue;
		part = choose_part(dist, candidate, now, wake);
		if (!part)
			continue;
		out = source_call(dist, 0, now, &call);
		out->is_part = call->is_part = true;
		out->digest = call->digest = part->digest;
		call->candidate = candidate->id;
		dist->part_in_flight = true;
		dist->was_part = true;
		return true;
	}
	return false;
}

static bool wants_manifest(const struct dist *dist, int64_t now)
{
	return !dist->manifest_in_flight &&
	       (dist->wants_read || dist->policy->watches(dist, now));
}

/*
 * Makes one call if the token bucket allows it. Parts have precedence, because
 * a version may be incomplete without them; but not twice in a row while the
 * watch is due, because a manifest whose parts are never published must not
 * delay the read of the next manifest.
 */
void source_drive(struct dist *dist, int64_t now)
{
	int64_t ready = MAX(dist->next_token, dist->backoff_until);
	bool manifest = wants_manifest(dist, now);

	dist->wake = DEADLINE_NEVER;
	if (!manifest && !dist->manifest_in_flight)
		dist->wake = dist->policy->watches_from(dist, now);
	if (!dist->rules->has_token(dist->next_token, now) ||
	    now < dist->backoff_until) {
		dist->wake = ready;
		return;
	}
	if (!(manifest && dist->was_part) && !dist->part_in_flight &&
	    read_part(dist, now, &dist->wake))
		dist->wake = dist->next_token;
	else if (manifest)
		read_manifest(dist,
			      dist->policy->watches(dist, now)
				      ? DIST_WATCH_MS * NS_PER_MS
				      : 0,
			      now);
}

static void end_call(struct dist *dist, const struct call *call)
{
	if (call->is_part)
		dist->part_in_flight = false;
	else
		dist->manifest_in_flight = false;
}

void source_failed(struct dist *dist, const struct call *call, int64_t now)
{
	end_call(dist, call);
	dist->backoff_until =
		now + backoff(dist, SOURCE_BACKOFF_MIN, SOURCE_BACKOFF_MAX,
			      dist->nr_failures);
	if (!dist->nr_failures)
		log_action(dist, LOG_WARNING, "source_failed", "key=%s",
			   call->is_part ? "part" : "manifest");
	if (dist->nr_failures < UINT8_MAX)
		dist->nr_failures++;
}

static void source_answered(struct dist *dist, const struct call *call)
{
	if (dist->nr_failures)
		log_action(dist, LOG_NOTICE, "source_recovered", "failures=%u",
			   dist->nr_failures);
	dist->nr_failures = 0;
	dist->backoff_until = 0;
	clear_muted(dist);
	/* Reading a part doesn't show that the manifest is current. */
	if (call->is_part)
		return;
	if (!dist->has_confirmation || call->started > dist->confirmation)
		dist->confirmation = call->started;
	dist->has_confirmation = true;
}

static void take_manifest(struct dist *dist, struct blob *blob, int64_t now)
{
	struct version_id id = { 0 };
	struct dist_version *version;
	struct candidate *candidate = NULL;
	struct findings findings;

	dist->has_known = true;
	dist->known = blob->digest;
	findings_init(&findings);
	version = dist_version_parse(blob, &findings, &id.number);
	id.digest = blob->digest;
	if (version)
		candidate = candidate_learn(dist, &id, NULL, false, now);
	else if (!dist->in_force || !id.number ||
		 dist->rules->compare(&id, &dist->in_force->id) > 0)
		refuse(dist, &id, &findings);
	if (candidate) {
		candidate->from_source = true;
		candidate_take_manifest(dist, candidate, version, now);
	} else {
		dist_version_unref(version);
	}
	findings_release(&findings);
}

static void part_missing(struct dist *dist, const struct call *call,
			 int64_t now)
{
	struct candidate *candidate = candidate_find(dist, &call->candidate);
	struct part_state *state;
	struct dist_part *part;
	size_t nr;

	if (!candidate || !candidate->version)
		return;
	part = version_find(candidate->version, &call->digest, &nr);
	if (!part)
		return;
	/* Delays all parts of this content, as they are the same value. */
	for (size_t i = 0; i < candidate->version->nr_parts; i++) {
		if (digest_compare(&candidate->version->parts[i].digest,
				   &call->digest) != 0)
			continue;
		state = &candidate->states[i];
		state->source_retry =
			now + backoff(dist, NS_PER_SEC, SOURCE_PART_BACKOFF_MAX,
				      state->source_tries);
		if (state->source_tries < UINT8_MAX)
			state->source_tries++;
	}
}

static void take_part(struct dist *dist, const struct call *call,
		      struct blob *blob, int64_t now)
{
	if (blob->len > DIST_VALUE_MAX ||
	    !dist->rules->matches(&call->digest, blob))
		part_missing(dist, call, now);
	else
		candidates_take_part(dist, &call->digest, blob, now);
}

void dist_source_result(struct dist *dist, uint64_t id,
			enum dist_outcome outcome, struct blob *blob,
			int64_t now)
{
	g_autofree struct call *call = NULL;

	now = event_begin(dist, now);
	call = call_take(dist, id);
	if (call && !dist->stopped) {
		if (outcome == DIST_FAILED ||
		    (outcome == DIST_VALUE && !blob)) {
			source_failed(dist, call, now);
		} else {
			end_call(dist, call);
			source_answered(dist, call);
			if (call->is_part && outcome == DIST_VALUE)
				take_part(dist, call, blob, now);
			else if (call->is_part)
				part_missing(dist, call, now);
			else if (outcome == DIST_VALUE)
				take_manifest(dist, blob, now);
		}
	} else if (blob && !dist->stopped) {
		accept_late_bytes(dist, blob, now);
	}
	event_end(dist, now);
}

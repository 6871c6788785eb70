#include <string.h>

#include "dist/dist_internal.h"

/* Versions above the one in force that are being fetched. */

int64_t backoff(struct dist *dist, int64_t min, int64_t max, unsigned int tries)
{
	int64_t base = min;

	while (tries-- && base < max)
		base *= 2;
	base = MIN(base, max);
	return MAX(min, base / 2 + (int64_t)rng_below(dist->rng,
						      (uint64_t)base / 2 + 1));
}

/*
 * Back-off between requests to peers that lack a value. It grows with the time
 * since the last part or manifest arrived, which is long when a part is never
 * published, and with the age of the candidate: with 50 ms throughout, a fleet
 * of 13 without any version sent 6,500 messages for each daemon in 9 s.
 */
int64_t peer_backoff(struct dist *dist, const struct candidate *candidate,
		     int64_t now)
{
	int64_t base = MAX((now - candidate->progress) / 4,
			   (now - candidate->since) / 16);

	base = CLAMP(base, PEER_RETRY_MIN, PEER_RETRY_MAX);
	return base / 2 + (int64_t)rng_below(dist->rng, (uint64_t)base);
}

static void holders_add(struct holders *holders, const struct holder *holder,
			struct rng *rng)
{
	for (size_t i = 0; i < holders->nr; i++) {
		if (!strcmp(holders->entries[i].control, holder->control))
			return;
	}
	if (holders->nr < HOLDERS_MAX)
		holders->entries[holders->nr++] = *holder;
	else
		holders->entries[rng_below(rng, HOLDERS_MAX)] = *holder;
}

void holders_remove(struct holders *holders, const char *control)
{
	for (size_t i = 0; i < holders->nr; i++) {
		if (strcmp(holders->entries[i].control, control) != 0)
			continue;
		holders->entries[i] = holders->entries[--holders->nr];
		return;
	}
}

static const struct holder *holders_draw(const struct holders *holders,
					 struct rng *rng)
{
	if (!holders->nr)
		return NULL;
	return &holders->entries[rng_below(rng, holders->nr)];
}

bool is_refused(const struct dist *dist, const struct version_id *id)
{
	return dist->rules->is_refused(&dist->refusals, id);
}

static void refusal_free(struct dist *dist, struct dist_refusal *refusal)
{
	cds_list_del(&refusal->node);
	dist->nr_refusals--;
	findings_release(&refusal->findings);
	g_free(refusal);
}

void refuse(struct dist *dist, const struct version_id *id,
	    struct findings *findings)
{
	struct dist_refusal *refusal;
	const struct finding *first;

	if (is_refused(dist, id))
		return;
	if (dist->nr_refusals == REFUSALS_MAX)
		refusal_free(dist,
			     cds_list_first_entry(&dist->refusals,
						  struct dist_refusal, node));
	refusal = g_new0(struct dist_refusal, 1);
	refusal->id = *id;
	findings_init(&refusal->findings);
	cds_list_splice(&findings->list, &refusal->findings.list);
	refusal->findings.nr_errors = findings->nr_errors;
	refusal->findings.nr_warnings = findings->nr_warnings;
	findings_init(findings);
	cds_list_add_tail(&refusal->node, &dist->refusals);
	dist->nr_refusals++;
	first = cds_list_empty(&refusal->findings.list)
			? NULL
			: cds_list_first_entry(&refusal->findings.list,
					       struct finding, node);
	log_action(dist, LOG_ERR, "config_refused",
		   "version=%" PRId64 " errors=%zu first=%s", id->number,
		   refusal->findings.nr_errors,
		   log_quote(first ? first->message : ""));
}

static void drop_refusals(struct dist *dist)
{
	struct dist_refusal *refusal, *next;

	cds_list_for_each_entry_safe (refusal, next, &dist->refusals, node) {
		if (version_id_compare(&refusal->id, &dist->in_force->id) <= 0)
			refusal_free(dist, refusal);
	}
}

/* Frees the candidate after the event, as callers may still refer to it. */
void candidate_drop(struct dist *dist, struct candidate *candidate)
{
	cds_list_move(&candidate->node, &dist->dropped);
}

void candidates_release(struct cds_list_head *candidates)
{
	struct candidate *candidate, *next;

	cds_list_for_each_entry_safe (candidate, next, candidates, node) {
		dist_version_unref(candidate->version);
		g_free(candidate->states);
		g_free(candidate->fetch_order.members);
		g_free(candidate);
	}
	CDS_INIT_LIST_HEAD(candidates);
}

struct candidate *candidate_find(struct dist *dist, const struct version_id *id)
{
	struct candidate *candidate;

	cds_list_for_each_entry (candidate, &dist->candidates, node) {
		if (!version_id_compare(&candidate->id, id))
			return candidate;
	}
	return NULL;
}

struct candidate *candidate_newest(const struct dist *dist)
{
	struct candidate *candidate, *newest = NULL;

	cds_list_for_each_entry (candidate, &dist->candidates, node) {
		if (!newest ||
		    dist->rules->compare(&candidate->id, &newest->id) > 0)
			newest = candidate;
	}
	return newest;
}

static struct candidate *newest_complete(const struct dist *dist)
{
	struct candidate *candidate, *newest = NULL;

	cds_list_for_each_entry (candidate, &dist->candidates, node) {
		if (candidate->complete.nr &&
		    (!newest ||
		     dist->rules->compare(&candidate->id, &newest->id) > 0))
			newest = candidate;
	}
	return newest;
}

/*
 * Keeps the newest candidate and the newest one that a peer has complete. The
 * newest may have parts that never arrive, which must not delay the other.
 */
static void prune(struct dist *dist)
{
	struct candidate *newest = candidate_newest(dist);
	struct candidate *complete = newest_complete(dist);
	struct candidate *candidate, *next;

	cds_list_for_each_entry_safe (candidate, next, &dist->candidates,
				      node) {
		if (candidate != newest && candidate != complete)
			candidate_drop(dist, candidate);
	}
}

static void note_conflict(struct dist *dist, const struct version_id *id)
{
	if (!dist->in_force || dist->has_conflict ||
	    id->number != dist->in_force->id.number ||
	    !digest_compare(&id->digest, &dist->in_force->id.digest))
		return;
	dist->has_conflict = true;
	log_action(dist, LOG_ERR, "config_conflict", "version=%" PRId64,
		   id->number);
}

struct candidate *candidate_learn(struct dist *dist,
				  const struct version_id *id,
				  const struct holder *holder, bool complete,
				  int64_t now)
{
	struct candidate *candidate;

	if (id->number < 1 || id->number > DIST_NUMBER_MAX)
		return NULL;
	note_conflict(dist, id);
	if (dist->in_force &&
	    dist->rules->compare(id, &dist->in_force->id) <= 0)
		return NULL;
	if (is_refused(dist, id))
		return NULL;
	candidate = candidate_find(dist, id);
	if (!candidate) {
		candidate = g_new0(struct candidate, 1);
		candidate->id = *id;
		candidate->since = candidate->progress = now;
		cds_list_add_tail(&candidate->node, &dist->candidates);
	}
	if (holder && holder->control[0])
		holders_add(complete ? &candidate->complete
				     : &candidate->partial,
			    holder, dist->rng);
	if (complete)
		candidate->manifest_retry = 0;
	prune(dist);
	return candidate_find(dist, id);
}

/* Adds the parts that another local version already has. */
static void reuse_parts(struct dist_version *version,
			const struct dist_version *from)
{
	if (!from || from == version)
		return;
	for (size_t i = 0; i < from->nr_parts; i++) {
		const struct dist_part *part = &from->parts[i];

		if (part->blob)
			version_put(version, &part->digest, part->blob);
	}
}

void candidate_take_manifest(struct dist *dist, struct candidate *candidate,
			     struct dist_version *version, int64_t now)
{
	struct candidate *other;

	candidate->manifest_pending = false;
	if (candidate->version) {
		dist_version_unref(version);
		return;
	}
	if (dist->policy->reuses_parts) {
		reuse_parts(version, dist->in_force);
		cds_list_for_each_entry (other, &dist->candidates, node)
			reuse_parts(version, other->version);
	}
	candidate->version = version;
	candidate->progress = now;
	candidate->states = g_new0(struct part_state, version->nr_parts);
	/* Daemons fetch different parts first, so that they can share them. */
	candidate->first_part = rng_below(dist->rng, version->nr_parts);
	if (dist->policy->uses_peers && version->nr_missing > 1 &&
	    !candidate->complete.nr)
		dist->policy->spread(dist, now);
}

void candidates_take_part(struct dist *dist, const struct digest *digest,
			  struct blob *blob, int64_t now)
{
	struct candidate *candidate;

	cds_list_for_each_entry (candidate, &dist->candidates, node) {
		if (candidate->version &&
		    version_put(candidate->version, digest, blob))
			candidate->progress = now;
	}
}

/* Sizes are checked as content; digests were verified on arrival. */
static void check_sizes(const struct dist_version *version,
			struct findings *findings)
{
	for (size_t i = 0; i < version->nr_parts; i++) {
		const struct dist_part *part = &version->parts[i];

		if (part->blob && part->blob->len != part->bytes)
			findings_add(findings, FINDING_ERROR, "manifest",
				     "/parts", "%s has %zu bytes, not %zu",
				     part->name, part->blob->len, part->bytes);
	}
}

static void accept_or_refuse(struct dist *dist, struct candidate *candidate,
			     int64_t now)
{
	struct dist_version *version = dist_version_ref(candidate->version);
	struct version_id id = candidate->id;
	struct findings findings;
	bool accepted;

	findings_init(&findings);
	check_sizes(version, &findings);
	accepted = !findings.nr_errors &&
		   dist->rules->accepts(dist->validator, dist->validator_ctx,
					version, &findings);
	candidate_drop(dist, candidate);
	if (accepted)
		set_in_force(dist, version, now);
	else
		refuse(dist, &id, &findings);
	findings_release(&findings);
	dist_version_unref(version);
}

/* Accepts or refuses the candidates that are complete, the newest first. */
void candidates_decide(struct dist *dist, int64_t now)
{
	struct candidate *candidate, *next, *best;

	do {
		best = NULL;
		cds_list_for_each_entry (candidate, &dist->candidates, node) {
			if (candidate->version &&
			    dist->rules->is_complete(candidate->version) &&
			    (!best || dist->rules->compare(&candidate->id,
							   &best->id) > 0))
				best = candidate;
		}
		if (best)
			accept_or_refuse(dist, best, now);
		if (!dist->in_force)
			continue;
		cds_list_for_each_entry_safe (candidate, next,
					      &dist->candidates, node) {
			if (dist->rules->compare(&candidate->id,
						 &dist->in_force->id) <= 0)
				candidate_drop(dist, candidate);
		}
	} while (best);
	if (dist->in_force)
		drop_refusals(dist);
}

/*
 * The candidate's fetch order. A zone with at least as many members as the
 * version has parts assigns the parts within the zone; a smaller zone assigns
 * them within the whole fleet.
 */
const struct fetch_order *candidate_fetch_order(struct dist *dist,
						struct candidate *candidate,
						int64_t now)
{
	struct fetch_order *fetch_order = &candidate->fetch_order;
	uint64_t epoch = member_epoch(dist->member);
	uint64_t key;
	bool zone_only;

	if (fetch_order->members && fetch_order->epoch == epoch &&
	    now < fetch_order->until)
		return fetch_order;
	zone_only = member_count_zone(dist->member, now) >=
		    candidate->version->nr_parts;
	memcpy(&key, candidate->id.digest.bytes, sizeof(key));
	g_free(fetch_order->members);
	fetch_order->nr =
		member_order(dist->member, GUINT64_FROM_LE(key), zone_only,
			     &fetch_order->members, &fetch_order->self, now);
	fetch_order->epoch = epoch;
	fetch_order->until = now + FETCH_ORDER_LIFE;
	return fetch_order;
}

/* A random member, for a version without any known holder. */
static bool draw_member(struct dist *dist, struct holder *out, int64_t now)
{
	const struct member_host *host;

	if (!member_sample(dist->member, MEMBER_ANY_ZONE, 1, &host, now))
		return false;
	holder_of(out, host);
	return true;
}

static void fetch_manifest(struct dist *dist, struct candidate *candidate,
			   int64_t now)
{
	const struct holder *known;
	struct holder peer;
	struct dist_peer_call *action;
	struct call *call;

	if (candidate->manifest_pending)
		return;
	if (now < candidate->manifest_retry) {
		candidate->wake =
			MIN(candidate->wake, candidate->manifest_retry);
		return;
	}
	known = holders_draw(&candidate->complete, dist->rng);
	if (!known)
		known = holders_draw(&candidate->partial, dist->rng);
	if (known) {
		peer = *known;
	} else if (!draw_member(dist, &peer, now)) {
		candidate->manifest_retry =
			now + peer_backoff(dist, candidate, now);
		candidate->wake =
			MIN(candidate->wake, candidate->manifest_retry);
		return;
	}
	action = peer_call(dist, &peer, DIST_GET_MANIFEST, now, &call);
	action->id = call->candidate = candidate->id;
	candidate->manifest_pending = true;
}

/*
 * Chooses the peer to request a part from: one with the complete version, else
 * by turns each fetcher of the part and a peer that fetches the same version.
 */
static bool choose_part_peer(struct dist *dist, struct candidate *candidate,
			     size_t index, struct holder *peer, int64_t now)
{
	const struct holder *known =
		holders_draw(&candidate->complete, dist->rng);
	const struct fetch_order *fetch_order =
		candidate_fetch_order(dist, candidate, now);
	size_t turn = candidate->states[index].peer_tries % (NR_FETCHERS + 1);

	if (!known && turn < MIN(NR_FETCHERS, fetch_order->nr)) {
		size_t position = (index + turn) % fetch_order->nr;

		if (position != fetch_order->self) {
			holder_of(peer, fetch_order->members[position]);
			return true;
		}
	}
	if (!known)
		known = holders_draw(&candidate->partial, dist->rng);
	if (!known)
		return draw_member(dist, peer, now);
	*peer = *known;
	return true;
}

static void fetch_part(struct dist *dist, struct candidate *candidate,
		       size_t index, int64_t now)
{
	const struct dist_part *part = &candidate->version->parts[index];
	struct part_state *state = &candidate->states[index];
	struct dist_peer_call *action;
	struct holder peer;
	struct call *call;

	if (!choose_part_peer(dist, candidate, index, &peer, now)) {
		state->peer_retry = now + peer_backoff(dist, candidate, now);
		candidate->wake = MIN(candidate->wake, state->peer_retry);
		return;
	}
	action = peer_call(dist, &peer, DIST_GET_PART, now, &call);
	action->digest = call->digest = part->digest;
	call->candidate = candidate->id;
	state->peer_pending = true;
	candidate->nr_pending++;
}

/* Whether another part has the same content; it is then fetched only once. */
static bool is_duplicate(const struct dist_version *version, size_t index)
{
	size_t nr;
	const struct dist_part *first =
		version_find(version, &version->parts[index].digest, &nr);

	return first != &version->parts[index];
}

/*
 * Whether to wait with the request for a part. Fetchers read their parts from
 * the source in order, one for each token. While no peer has the complete
 * version, only the first missing part of each fetcher is requested, as the
 * fetcher cannot have the later ones yet.
 */
static bool is_deferred(struct dist *dist, struct candidate *candidate,
			size_t index, int64_t now)
{
	size_t nr, before;

	if (candidate->complete.nr)
		return false;
	nr = candidate_fetch_order(dist, candidate, now)->nr;
	if (!nr || index < nr)
		return false;
	before = index - nr;
	return !candidate->version->parts[before].blob &&
	       candidate->states[before].peer_tries < TRIES_IN_ORDER;
}

static void fetch_parts(struct dist *dist, struct candidate *candidate,
			int64_t now)
{
	struct dist_version *version = candidate->version;

	for (size_t i = 0; i < version->nr_parts; i++) {
		size_t index = (candidate->first_part + i) % version->nr_parts;
		struct part_state *state = &candidate->states[index];

		if (candidate->nr_pending >= PARTS_IN_FLIGHT)
			return;
		if (version->parts[index].blob || state->peer_pending ||
		    is_duplicate(version, index) ||
		    is_deferred(dist, candidate, index, now))
			continue;
		if (now < state->peer_retry)
			candidate->wake =
				MIN(candidate->wake, state->peer_retry);
		else
			fetch_part(dist, candidate, index, now);
	}
}

/* Starts the calls to peers that the candidates need. */
void candidates_drive(struct dist *dist, int64_t now)
{
	struct candidate *candidate;

	cds_list_for_each_entry (candidate, &dist->candidates, node) {
		candidate->wake = DEADLINE_NEVER;
		if (!dist->policy->uses_peers)
			continue;
		if (candidate->version)
			fetch_parts(dist, candidate, now);
		else
			fetch_manifest(dist, candidate, now);
	}
}

#include <string.h>

#include "dist/dist_internal.h"

/* Calls to peers, and their results. */

struct call *call_new(struct dist *dist, bool is_source, int64_t now,
		      int64_t deadline)
{
	struct call *call = g_new0(struct call, 1);

	call->id = ++dist->next_call;
	call->is_source = is_source;
	call->started = now;
	call->deadline = deadline;
	cds_list_add_tail(&call->node, &dist->calls);
	return call;
}

/* Removes the call from the list; NULL when it has already ended. */
struct call *call_take(struct dist *dist, uint64_t id)
{
	struct call *call;

	cds_list_for_each_entry (call, &dist->calls, node) {
		if (call->id != id)
			continue;
		cds_list_del(&call->node);
		return call;
	}
	return NULL;
}

struct dist_peer_call *peer_call(struct dist *dist, const struct holder *peer,
				 enum dist_procedure procedure, int64_t now,
				 struct call **call)
{
	struct dist_action *action = action_new(dist, DIST_ACTION_PEER);
	struct dist_peer_call *out = &action->peer;

	*call = call_new(dist, false, now, now + PEER_TIMEOUT);
	(*call)->procedure = procedure;
	(*call)->peer = *peer;
	out->call = (*call)->id;
	out->deadline = (*call)->deadline;
	out->procedure = procedure;
	memcpy(out->host, peer->host, sizeof(out->host));
	memcpy(out->control, peer->control, sizeof(out->control));
	return out;
}

/* Marks the part of a call as no longer requested; NULL without the part. */
static struct part_state *end_part(struct candidate *candidate,
				   const struct call *call)
{
	struct dist_part *part;
	struct part_state *state;
	size_t nr;

	if (!candidate || !candidate->version)
		return NULL;
	part = version_find(candidate->version, &call->digest, &nr);
	if (!part)
		return NULL;
	state = &candidate->states[part - candidate->version->parts];
	if (state->peer_pending) {
		state->peer_pending = false;
		candidate->nr_pending--;
	}
	return state;
}

/*
 * Handles a peer that lacked the value or did not answer. Another peer is
 * called immediately while peers with the complete version are known, else
 * after a back-off.
 */
static void retry_later(struct dist *dist, const struct call *call, int64_t now)
{
	struct candidate *candidate = candidate_find(dist, &call->candidate);
	struct part_state *state;

	if (!candidate)
		return;
	holders_remove(&candidate->complete, call->peer.control);
	if (call->procedure == DIST_GET_MANIFEST) {
		holders_remove(&candidate->partial, call->peer.control);
		candidate->manifest_pending = false;
		if (!candidate->complete.nr)
			candidate->manifest_retry =
				now + peer_backoff(dist, candidate, now);
		return;
	}
	state = end_part(candidate, call);
	if (!state)
		return;
	if (!candidate->complete.nr)
		state->peer_retry = now + peer_backoff(dist, candidate, now);
	if (state->peer_tries < UINT8_MAX)
		state->peer_tries++;
}

static void take_manifest(struct dist *dist, const struct call *call,
			  struct blob *blob, int64_t now)
{
	struct candidate *candidate = candidate_find(dist, &call->candidate);
	struct dist_version *version;
	struct findings findings;
	int64_t number;

	if (!candidate)
		return;
	if (!dist->rules->matches(&call->candidate.digest, blob)) {
		retry_later(dist, call, now);
		return;
	}
	findings_init(&findings);
	version = dist_version_parse(blob, &findings, &number);
	if (version && number != call->candidate.number) {
		findings_add(&findings, FINDING_ERROR, "manifest", "/version",
			     "not the announced version %" PRId64,
			     call->candidate.number);
		dist_version_unref(version);
		version = NULL;
	}
	if (version) {
		candidate_take_manifest(dist, candidate, version, now);
	} else {
		candidate_drop(dist, candidate);
		refuse(dist, &call->candidate, &findings);
	}
	findings_release(&findings);
}

static void take_part(struct dist *dist, const struct call *call,
		      struct blob *blob, int64_t now)
{
	if (blob->len > DIST_VALUE_MAX ||
	    !dist->rules->matches(&call->digest, blob)) {
		retry_later(dist, call, now);
		return;
	}
	end_part(candidate_find(dist, &call->candidate), call);
	candidates_take_part(dist, &call->digest, blob, now);
}

void peer_failed(struct dist *dist, const struct call *call, int64_t now)
{
	if (call->procedure != DIST_ANNOUNCE) {
		retry_later(dist, call, now);
		return;
	}
	if (call->peer.host[0])
		member_note_timeout(dist->member, call->peer.host, now);
	if (call->is_start)
		gate_failed(dist, now);
}

void dist_peer_announced(struct dist *dist, uint64_t id,
			 const struct dist_announce *answer, int64_t now)
{
	g_autofree struct call *call = NULL;

	now = event_begin(dist, now);
	call = call_take(dist, id);
	if (!dist->stopped) {
		/* A late answer is used too, as it can't lower a version. */
		bool is_peer = announce_receive(dist, answer, now);

		if (call && !is_peer)
			peer_failed(dist, call, now);
		else if (call && call->is_start)
			gate_answered(dist, answer->host);
	}
	event_end(dist, now);
}

/*
 * Uses bytes that arrive after their call timed out, as the digest shows which
 * value they are. Without this, a link on which a part takes longer than
 * PEER_TIMEOUT would never deliver a part.
 */
void accept_late_bytes(struct dist *dist, struct blob *blob, int64_t now)
{
	struct candidate *candidate;
	struct call call = { 0 };

	if (blob->len > DIST_VALUE_MAX)
		return;
	candidates_take_part(dist, &blob->digest, blob, now);
	cds_list_for_each_entry (candidate, &dist->candidates, node) {
		if (!candidate->version &&
		    !digest_compare(&candidate->id.digest, &blob->digest))
			call.candidate = candidate->id;
	}
	if (call.candidate.number)
		take_manifest(dist, &call, blob, now);
}

void dist_peer_result(struct dist *dist, uint64_t id, enum dist_outcome outcome,
		      struct blob *blob, int64_t now)
{
	g_autofree struct call *call = NULL;

	now = event_begin(dist, now);
	call = call_take(dist, id);
	if (call && !dist->stopped) {
		if (outcome != DIST_FAILED)
			clear_muted(dist);
		if (outcome != DIST_VALUE || !blob)
			peer_failed(dist, call, now);
		else if (call->procedure == DIST_GET_MANIFEST)
			take_manifest(dist, call, blob, now);
		else if (call->procedure == DIST_GET_PART)
			take_part(dist, call, blob, now);
	} else if (blob && !dist->stopped) {
		accept_late_bytes(dist, blob, now);
	}
	event_end(dist, now);
}

/* Ends the calls whose deadline has passed, as failed. */
void calls_expire(struct dist *dist, int64_t now)
{
	struct call *call, *next;

	cds_list_for_each_entry_safe (call, next, &dist->calls, node) {
		if (now < call->deadline)
			continue;
		cds_list_del(&call->node);
		if (call->is_source)
			source_failed(dist, call, now);
		else
			peer_failed(dist, call, now);
		g_free(call);
	}
}

/*
 * Drops the calls to peers after a pause, so that they are made again. Missing
 * answers are then due to the pause, and no peer is suspected for them.
 */
void calls_drop_peers(struct dist *dist)
{
	struct call *call, *next;

	cds_list_for_each_entry_safe (call, next, &dist->calls, node) {
		struct candidate *candidate;

		if (call->is_source)
			continue;
		cds_list_del(&call->node);
		candidate = candidate_find(dist, &call->candidate);
		if (call->procedure == DIST_GET_PART)
			end_part(candidate, call);
		else if (call->procedure == DIST_GET_MANIFEST && candidate)
			candidate->manifest_pending = false;
		else if (call->is_start && dist->gate.nr_pending)
			dist->gate.nr_pending--;
		g_free(call);
	}
}

struct blob *dist_on_get_manifest(struct dist *dist,
				  const struct version_id *id)
{
	const struct candidate *candidate;

	if (dist->in_force && !version_id_compare(id, &dist->in_force->id))
		return blob_ref(dist->in_force->manifest);
	candidate = candidate_find(dist, id);
	if (candidate && candidate->version)
		return blob_ref(candidate->version->manifest);
	return NULL;
}

static struct blob *find_part(const struct dist_version *version,
			      const struct digest *digest)
{
	size_t nr;
	const struct dist_part *part;

	if (!version)
		return NULL;
	part = version_find(version, digest, &nr);
	return part && part->blob ? blob_ref(part->blob) : NULL;
}

struct blob *dist_on_get_part(struct dist *dist, const struct digest *digest)
{
	struct blob *blob = find_part(dist->in_force, digest);
	struct candidate *candidate;

	cds_list_for_each_entry (candidate, &dist->candidates, node) {
		if (!blob)
			blob = find_part(candidate->version, digest);
	}
	return blob;
}

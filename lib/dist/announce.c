#include <string.h>

#include "dist/dist_internal.h"

/* Sending and receiving ANNOUNCE. */

void holder_of(struct holder *holder, const struct member_host *host)
{
	g_strlcpy(holder->host, host->host, sizeof(holder->host));
	g_strlcpy(holder->control, host->control, sizeof(holder->control));
}

static void fill_announce(const struct dist *dist,
			  struct dist_announce *announce, int64_t now)
{
	const struct member_host *self = member_self(dist->member);
	const struct candidate *newest = candidate_newest(dist);

	memset(announce, 0, sizeof(*announce));
	g_strlcpy(announce->host, self->host, sizeof(announce->host));
	g_strlcpy(announce->control, self->control, sizeof(announce->control));
	announce->incarnation = dist->incarnation;
	announce->confirmation_age_ms = -1;
	/* After a pause the daemon only queries: its state may be outdated. */
	if (dist->muted)
		return;
	if (dist->in_force)
		announce->in_force = dist->in_force->id;
	if (newest)
		announce->candidate = newest->id;
	if (dist->has_confirmation)
		announce->confirmation_age_ms =
			(now - dist->confirmation + NS_PER_MS - 1) / NS_PER_MS;
	announce->nr_crashes = dist->nr_crashes;
	memcpy(announce->crashes, dist->crashes, sizeof(dist->crashes));
}

void announce_to(struct dist *dist, const struct holder *peer, bool is_start,
		 int64_t now)
{
	struct call *call;
	struct dist_peer_call *out =
		peer_call(dist, peer, DIST_ANNOUNCE, now, &call);

	call->is_start = is_start;
	out->announce = g_new0(struct dist_announce, 1);
	fill_announce(dist, out->announce, now);
}

static void note_version(struct dist *dist,
			 const struct dist_announce *announce, int64_t now)
{
	struct fleet_entry *entry =
		g_hash_table_lookup(dist->fleet, announce->host);

	if (!entry && g_hash_table_size(dist->fleet) >= FLEET_MAX)
		return;
	if (!entry) {
		entry = g_new0(struct fleet_entry, 1);
		g_hash_table_insert(dist->fleet, g_strdup(announce->host),
				    entry);
	}
	entry->id = announce->in_force;
	entry->incarnation = announce->incarnation;
	entry->received = now;
}

static void note_confirmation(struct dist *dist, int64_t age_ms, int64_t now)
{
	int64_t when;

	/* An age above a day is useless, and converting it could overflow. */
	if (age_ms < 0 || age_ms > 86400 * INT64_C(1000))
		return;
	when = now - age_ms * NS_PER_MS;
	if (!dist->has_confirmation || when > dist->confirmation)
		dist->confirmation = when;
	dist->has_confirmation = true;
}

static void note_crashes(struct dist *dist,
			 const struct dist_announce *announce)
{
	struct dist_action *action;

	if (!announce->nr_crashes || announce->nr_crashes > DIST_CRASHES_MAX)
		return;
	action = action_new(dist, DIST_ACTION_CRASHES);
	action->crashes.nr = announce->nr_crashes;
	memcpy(action->crashes.entries, announce->crashes,
	       sizeof(announce->crashes));
}

/* Processes a received ANNOUNCE; false when this daemon itself sent it. */
bool announce_receive(struct dist *dist, const struct dist_announce *announce,
		      int64_t now)
{
	struct holder holder;

	if (!strcmp(announce->host, member_self(dist->member)->host))
		return false;
	clear_muted(dist);
	member_note_message(dist->member, announce->host, now);
	note_version(dist, announce, now);
	note_confirmation(dist, announce->confirmation_age_ms, now);
	note_crashes(dist, announce);
	if (!dist->policy->uses_peers)
		return true;
	memcpy(holder.host, announce->host, sizeof(holder.host));
	memcpy(holder.control, announce->control, sizeof(holder.control));
	gate_note_version(dist, &announce->in_force);
	candidate_learn(dist, &announce->in_force, &holder, true, now);
	candidate_learn(dist, &announce->candidate, &holder, false, now);
	return true;
}

void dist_on_announce(struct dist *dist, const struct dist_announce *call,
		      struct dist_announce *answer, int64_t now)
{
	now = event_begin(dist, now);
	if (!dist->stopped)
		announce_receive(dist, call, now);
	fill_announce(dist, answer, now);
	event_end(dist, now);
}

static bool is_new_crash(const struct dist *dist,
			 const struct dist_crash *crash)
{
	for (size_t i = 0; i < dist->nr_crashes; i++) {
		const struct dist_crash *old = &dist->crashes[i];

		if (old->fingerprint == crash->fingerprint &&
		    old->origin == crash->origin &&
		    old->count >= crash->count &&
		    old->cleared >= crash->cleared)
			return false;
	}
	return true;
}

void dist_set_crashes(struct dist *dist, const struct dist_crash *crashes,
		      size_t nr, int64_t now)
{
	bool is_new = false;

	now = event_begin(dist, now);
	nr = MIN(nr, DIST_CRASHES_MAX);
	for (size_t i = 0; i < nr; i++)
		is_new |= is_new_crash(dist, &crashes[i]);
	if (nr)
		memmove(dist->crashes, crashes, nr * sizeof(*crashes));
	dist->nr_crashes = nr;
	if (is_new && !dist->stopped)
		dist->policy->spread(dist, now);
	event_end(dist, now);
}

#include <string.h>

#include "dist/dist_internal.h"

/* The start gate decides when a new daemon may serve. */

/*
 * Sets how many peers must answer; unknown until there is a host list or a
 * seed.
 */
void gate_plan(struct dist *dist, int64_t now)
{
	struct gate *gate = &dist->gate;
	size_t available;

	if (gate->is_open)
		return;
	gate->is_planned = true;
	if (!dist->policy->uses_peers)
		available = 0;
	else if (member_has_list(dist->member))
		available = member_count_peers(dist->member, now);
	else
		available = member_count_seeds(dist->member);
	if (dist->policy->uses_peers && !member_has_list(dist->member) &&
	    !available)
		gate->is_planned = false;
	gate->nr_wanted = MIN(available, START_PEERS);
}

static bool is_queried(const struct dist *dist, const char *host)
{
	const struct call *call;

	for (size_t i = 0; i < dist->gate.nr_answered; i++) {
		if (!strcmp(dist->gate.answered[i], host))
			return true;
	}
	cds_list_for_each_entry (call, &dist->calls, node) {
		if (call->is_start && !strcmp(call->peer.host, host))
			return true;
	}
	return false;
}

/* Queries up to nr random members of the scope not queried before. */
static size_t query_scope(struct dist *dist, enum member_scope scope, size_t nr,
			  int64_t now)
{
	const struct member_host *hosts[2 * START_PEERS + 2];
	size_t queried = 0;
	size_t drawn = member_sample(dist->member, scope, G_N_ELEMENTS(hosts),
				     hosts, now);

	for (size_t i = 0; i < drawn && queried < nr; i++) {
		struct holder peer;

		if (is_queried(dist, hosts[i]->host))
			continue;
		holder_of(&peer, hosts[i]);
		announce_to(dist, &peer, true, now);
		dist->gate.nr_pending++;
		queried++;
	}
	return queried;
}

static void query_seeds(struct dist *dist, size_t nr, int64_t now)
{
	for (size_t i = 0; i < nr; i++) {
		const char *seed = member_sample_seed(dist->member);
		struct holder peer = { 0 };

		if (!seed)
			return;
		g_strlcpy(peer.control, seed, sizeof(peer.control));
		announce_to(dist, &peer, true, now);
		dist->gate.nr_pending++;
	}
}

/*
 * Queries nr peers for the versions they have, up to START_PEERS_OWN_ZONE of
 * them in the own zone.
 */
void query_start_peers(struct dist *dist, size_t nr, int64_t now)
{
	size_t queried;

	if (!dist->policy->uses_peers)
		return;
	if (!member_has_list(dist->member)) {
		query_seeds(dist, nr, now);
		return;
	}
	queried = query_scope(dist, MEMBER_OWN_ZONE,
			      MIN(nr, START_PEERS_OWN_ZONE), now);
	queried += query_scope(dist, MEMBER_OTHER_ZONE, nr - queried, now);
	query_scope(dist, MEMBER_ANY_ZONE, nr - queried, now);
}

void gate_answered(struct dist *dist, const char *host)
{
	struct gate *gate = &dist->gate;

	if (gate->nr_pending)
		gate->nr_pending--;
	for (size_t i = 0; i < gate->nr_answered; i++) {
		if (!strcmp(gate->answered[i], host))
			return;
	}
	if (gate->nr_answered < START_PEERS)
		g_strlcpy(gate->answered[gate->nr_answered++], host,
			  sizeof(gate->answered[0]));
}

void gate_failed(struct dist *dist, int64_t now)
{
	if (dist->gate.nr_pending)
		dist->gate.nr_pending--;
	dist->gate.retry = now + GATE_RETRY;
}

/* Records the version in force at a peer, also for when the peer fails. */
void gate_note_version(struct dist *dist, const struct version_id *id)
{
	struct version_id *reported = &dist->gate.newest_reported;

	if (dist->gate.is_open || id->number > DIST_NUMBER_MAX)
		return;
	if (dist->rules->compare(id, reported) > 0)
		*reported = *id;
}

static bool knows_newer(const struct dist *dist)
{
	const struct version_id *reported = &dist->gate.newest_reported;

	if (!reported->number || is_refused(dist, reported))
		return false;
	return !dist->in_force ||
	       dist->rules->compare(reported, &dist->in_force->id) > 0;
}

void gate_drive(struct dist *dist, int64_t now)
{
	struct gate *gate = &dist->gate;
	struct dist_gate_view view;
	size_t queried = gate->nr_answered + gate->nr_pending;

	if (gate->is_open)
		return;
	if (gate->is_planned && queried < gate->nr_wanted &&
	    now >= gate->retry) {
		gate->retry = now + GATE_RETRY;
		query_start_peers(dist, gate->nr_wanted - queried, now);
	}
	view.has_version = dist->in_force != NULL;
	view.knows_newer = knows_newer(dist);
	view.all_answered =
		gate->is_planned && gate->nr_answered >= gate->nr_wanted;
	view.nr_answered = gate->nr_answered;
	view.age = now - dist->started;
	if (!dist->rules->gate_opens(&view))
		return;
	gate->is_open = true;
	action_new(dist, DIST_ACTION_SERVE);
	log_action(dist, LOG_INFO, "gate_opened",
		   "version=%" PRId64 " answered=%zu age_ms=%" PRId64,
		   dist->in_force ? dist->in_force->id.number : 0,
		   gate->nr_answered, view.age / NS_PER_MS);
}

int64_t gate_wake(const struct dist *dist, int64_t now)
{
	const struct gate *gate = &dist->gate;
	int64_t wake = DEADLINE_NEVER;

	if (gate->is_open)
		return wake;
	if (gate->nr_answered + gate->nr_pending < gate->nr_wanted)
		wake = gate->retry;
	if (now < dist->started + GATE_SHORT)
		wake = MIN(wake, dist->started + GATE_SHORT);
	else if (now < dist->started + GATE_LONG)
		wake = MIN(wake, dist->started + GATE_LONG);
	return wake;
}

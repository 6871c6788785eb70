#include <string.h>

#include "dist/dist_internal.h"

/* The start gate: when a new daemon may serve. */

/* How many peers are to answer; unknown until there is a list or a seed. */
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

static bool is_asked(const struct dist *dist, const char *host)
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

/* Asks up to nr random members of the scope that were not asked yet. */
static size_t ask_scope(struct dist *dist, enum member_scope scope, size_t nr,
			int64_t now)
{
	const struct member_host *hosts[2 * START_PEERS + 2];
	size_t asked = 0;
	size_t drawn = member_draw(dist->member, scope, G_N_ELEMENTS(hosts),
				   hosts, now);

	for (size_t i = 0; i < drawn && asked < nr; i++) {
		struct holder peer;

		if (is_asked(dist, hosts[i]->host))
			continue;
		holder_of(&peer, hosts[i]);
		announce_to(dist, &peer, true, now);
		dist->gate.nr_pending++;
		asked++;
	}
	return asked;
}

static void ask_seeds(struct dist *dist, size_t nr, int64_t now)
{
	for (size_t i = 0; i < nr; i++) {
		const char *seed = member_draw_seed(dist->member);
		struct holder peer = { 0 };

		if (!seed)
			return;
		g_strlcpy(peer.control, seed, sizeof(peer.control));
		announce_to(dist, &peer, true, now);
		dist->gate.nr_pending++;
	}
}

/* Asks nr peers, two thirds of them of the own zone, what they have. */
void ask_start_peers(struct dist *dist, size_t nr, int64_t now)
{
	size_t asked;

	if (!dist->policy->uses_peers)
		return;
	if (!member_has_list(dist->member)) {
		ask_seeds(dist, nr, now);
		return;
	}
	asked = ask_scope(dist, MEMBER_OWN_ZONE, MIN(nr, START_PEERS_OWN_ZONE),
			  now);
	asked += ask_scope(dist, MEMBER_OTHER_ZONE, nr - asked, now);
	ask_scope(dist, MEMBER_ANY_ZONE, nr - asked, now);
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

/* A peer has the version in force; its word is kept when it dies. */
void gate_told(struct dist *dist, const struct version_id *id)
{
	struct version_id *told = &dist->gate.told;

	if (dist->gate.is_open || id->number > DIST_NUMBER_MAX)
		return;
	if (dist->rules->compare(id, told) > 0)
		*told = *id;
}

static bool knows_newer(const struct dist *dist)
{
	const struct version_id *told = &dist->gate.told;

	if (!told->number || is_refused(dist, told))
		return false;
	return !dist->in_force ||
	       dist->rules->compare(told, &dist->in_force->id) > 0;
}

void gate_drive(struct dist *dist, int64_t now)
{
	struct gate *gate = &dist->gate;
	struct dist_gate_view view;
	size_t asked = gate->nr_answered + gate->nr_pending;

	if (gate->is_open)
		return;
	if (gate->is_planned && asked < gate->nr_wanted && now >= gate->retry) {
		gate->retry = now + GATE_RETRY;
		ask_start_peers(dist, gate->nr_wanted - asked, now);
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

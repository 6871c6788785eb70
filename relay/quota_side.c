#include <inttypes.h>
#include <string.h>

#include "base/clock.h"
#include "relay/quota_side_internal.h"

/*
 * Longest wait of a request for the owner's answer; after that the fallback
 * share decides. A small host with a full link answers some 100 ms late, and a
 * request that is given up sooner is refused within its allowance.
 */
#define WAIT_NS (200 * NS_PER_MS)

bool quota_side_find_limit(const struct quota_side *side, uint64_t id,
			   struct quota_limit *limit)
{
	const struct mesh_organisation *organisation =
		g_hash_table_lookup(side->limits, &id);

	if (!organisation)
		return false;
	limit->rate_per_s = organisation->rate_per_s;
	limit->burst = organisation->burst;
	return true;
}

/* Updates what depends on the members. */
static void refresh(struct organisation_quota *organisation)
{
	struct quota_side *side = organisation->side;
	const struct quota_members *members = quota_owner_members(side->owner);

	if (organisation->epoch == side->epoch || !members)
		return;
	organisation->epoch = side->epoch;
	organisation->owner = quota_members_owner(members, organisation->id);
	organisation->rank = quota_members_rank(members, organisation->id,
						side->context->host->ip);
	g_clear_pointer(&organisation->redirect, g_free);
}

const char *quota_side_owner(struct organisation_quota *organisation)
{
	refresh(organisation);
	return organisation->redirect ? organisation->redirect
				      : organisation->owner;
}

bool quota_side_is_own(struct organisation_quota *organisation)
{
	return !g_strcmp0(quota_side_owner(organisation),
			  organisation->side->context->host->ip);
}

/*
 * The fallback share. A daemon that started within the last window has none,
 * since its previous process may have used it.
 */
static int get_fallback(struct organisation_quota *organisation, int64_t now)
{
	struct quota_side *side = organisation->side;
	const struct quota_members *members = quota_owner_members(side->owner);
	struct quota_limit limit;

	refresh(organisation);
	if (!members || now - side->started_at < side->bounds.window_ns ||
	    !quota_side_find_limit(side, organisation->id, &limit))
		return 0;
	return quota_fallback(&side->bounds, &limit, (int)members->ips->len,
			      organisation->rank);
}

static void end_wait(struct quota_wait *wait, enum quota_verdict verdict)
{
	struct organisation_quota *organisation = wait->organisation;

	cds_list_del(&wait->node);
	wait->organisation = NULL;
	if (verdict == QUOTA_TAKEN)
		wait->lease_deadline = organisation->share.taken_deadline;
	wait->done(wait, verdict == QUOTA_TAKEN);
}

static void decide_wait(struct quota_wait *wait, int64_t now)
{
	struct organisation_quota *organisation = wait->organisation;

	end_wait(wait, quota_share_take_waiting(&organisation->share,
						&organisation->side->bounds,
						get_fallback(organisation, now),
						now));
}

static struct quota_wait *first_wait(struct organisation_quota *organisation)
{
	return cds_list_empty(&organisation->waiting)
		       ? NULL
		       : cds_list_first_entry(&organisation->waiting,
					      struct quota_wait, node);
}

void quota_side_end_waits(struct organisation_quota *organisation)
{
	int64_t now = clock_monotonic_ns();
	int nr = organisation->share.waiting;
	struct quota_wait *wait;

	/* A callback may make other requests wait, which are not ended. */
	while (nr-- > 0 && (wait = first_wait(organisation)) &&
	       quota_share_is_decided(&organisation->share, now))
		decide_wait(wait, now);
	if (first_wait(organisation))
		quota_messages_ask(organisation, now);
}

static void on_wait_timer(struct timer *timer, int64_t now)
{
	struct organisation_quota *organisation =
		caa_container_of(timer, struct organisation_quota, wait_timer);
	struct quota_wait *wait;

	while ((wait = first_wait(organisation)) && wait->deadline <= now) {
		quota_share_overdue(&organisation->share, now);
		decide_wait(wait, now);
	}
	if (wait)
		timers_set(organisation->side->context->timers, timer,
			   wait->deadline);
}

static struct organisation_quota *get_organisation(struct quota_side *side,
						   const char *name)
{
	struct organisation_quota *organisation =
		g_hash_table_lookup(side->organisations, name);

	if (organisation)
		return organisation;
	organisation = g_new0(struct organisation_quota, 1);
	organisation->name = g_strdup(name);
	organisation->id = quota_id(name);
	organisation->side = side;
	organisation->wait_timer.fire = on_wait_timer;
	CDS_INIT_LIST_HEAD(&organisation->waiting);
	g_hash_table_insert(side->organisations, organisation->name,
			    organisation);
	return organisation;
}

static void free_organisation(void *arg)
{
	struct organisation_quota *organisation = arg;

	timers_cancel(organisation->side->context->timers,
		      &organisation->wait_timer);
	if (organisation->is_pending)
		cds_list_del(&organisation->pending_node);
	quota_share_release(&organisation->share);
	g_free(organisation->redirect);
	g_free(organisation->name);
	g_free(organisation);
}

enum quota_verdict quota_side_take(struct quota_side *side, const char *name,
				   struct quota_wait *wait)
{
	int64_t now = clock_monotonic_ns();
	struct organisation_quota *organisation;
	enum quota_verdict verdict;
	struct quota_limit limit;

	wait->organisation = NULL;
	wait->lease_deadline = 0;
	if (!*name || !quota_side_find_limit(side, quota_id(name), &limit))
		return QUOTA_TAKEN;
	organisation = get_organisation(side, name);
	verdict = quota_share_take(&organisation->share, &side->bounds,
				   get_fallback(organisation, now), now);
	quota_messages_ask(organisation, now);
	/* The daemon's own answer is there already. */
	if (verdict == QUOTA_WAIT && quota_side_is_own(organisation) &&
	    !organisation->share.asked)
		verdict = quota_share_take_waiting(
			&organisation->share, &side->bounds,
			get_fallback(organisation, now), now);
	if (verdict == QUOTA_TAKEN)
		wait->lease_deadline = organisation->share.taken_deadline;
	if (verdict != QUOTA_WAIT)
		return verdict;
	wait->organisation = organisation;
	wait->deadline = now + WAIT_NS;
	cds_list_add_tail(&wait->node, &organisation->waiting);
	if (!organisation->wait_timer.position)
		timers_set(side->context->timers, &organisation->wait_timer,
			   wait->deadline);
	return QUOTA_WAIT;
}

void quota_side_cancel(struct quota_wait *wait)
{
	if (!wait->organisation)
		return;
	wait->organisation->share.waiting--;
	cds_list_del(&wait->node);
	wait->organisation = NULL;
}

void quota_side_refund(struct quota_side *side, const char *name,
		       const struct quota_wait *wait)
{
	struct organisation_quota *organisation =
		g_hash_table_lookup(side->organisations, name);

	if (organisation && wait->lease_deadline)
		quota_share_refund(&organisation->share, wait->lease_deadline,
				   clock_monotonic_ns());
}

int64_t quota_side_retry_after_ms(struct quota_side *side, const char *name)
{
	const struct organisation_quota *organisation =
		g_hash_table_lookup(side->organisations, name);
	int64_t now = clock_monotonic_ns();

	if (!organisation)
		return 0;
	return MAX(quota_share_retry_after(&organisation->share, now) /
			   NS_PER_MS,
		   1);
}

const char *quota_side_state_text(struct quota_side *side, const char *name)
{
	static char text[256];
	struct organisation_quota *organisation =
		g_hash_table_lookup(side->organisations, name);
	struct quota_limit limit = { 0 };
	int64_t now = clock_monotonic_ns();

	if (!organisation)
		return "";
	quota_side_find_limit(side, organisation->id, &limit);
	g_snprintf(text, sizeof(text),
		   "owner=%s rate=%g burst=%g demand=%.1f asked=%d "
		   "asked_age_ms=%" PRId64 " silent=%d",
		   quota_side_owner(organisation), limit.rate_per_s,
		   limit.burst, organisation->share.demand_per_s,
		   organisation->share.asked,
		   organisation->share.asked_at
			   ? (now - organisation->share.asked_at) / NS_PER_MS
			   : -1,
		   now < organisation->share.silent_until);
	return text;
}

/* Views. */

static void find_limits(struct quota_side *side)
{
	const struct mesh_organisations *organisations =
		side->view->config ? side->view->config->organisations : NULL;

	g_hash_table_remove_all(side->limits);
	for (guint i = 0; organisations && i < organisations->all->len; i++) {
		struct mesh_organisation *organisation =
			g_ptr_array_index(organisations->all, i);
		uint64_t id = quota_id(organisation->name);

		if (organisation->rate_per_s > 0)
			g_hash_table_insert(side->limits,
					    g_memdup2(&id, sizeof(id)),
					    organisation);
	}
}

/* Ends the waits for a limit that is gone, and drops what is not used. */
static void drop_unlimited(struct quota_side *side)
{
	g_autoptr(GPtrArray) unlimited = g_ptr_array_new();
	struct organisation_quota *organisation;
	struct quota_wait *wait;
	GHashTableIter iter;

	g_hash_table_iter_init(&iter, side->organisations);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&organisation))
		if (!g_hash_table_contains(side->limits, &organisation->id))
			g_ptr_array_add(unlimited, organisation);
	/* A callback may add organisations. */
	for (guint i = 0; i < unlimited->len; i++) {
		organisation = g_ptr_array_index(unlimited, i);
		while ((wait = first_wait(organisation))) {
			organisation->share.waiting--;
			organisation->share.taken_deadline = 0;
			end_wait(wait, QUOTA_TAKEN);
		}
		if (!organisation->share.asked)
			g_hash_table_remove(side->organisations,
					    organisation->name);
	}
}

void quota_side_apply(struct quota_side *side, struct mesh_view *view)
{
	int64_t now = clock_monotonic_ns();
	struct quota_members *members = quota_members_new();
	g_autoptr(GArray) handovers =
		g_array_new(FALSE, FALSE, sizeof(struct quota_handover));
	bool has_new_limits;

	has_new_limits = !side->view || side->view->config != view->config;
	mesh_view_unref(side->view);
	side->view = mesh_view_ref(view);
	/* Most views differ in their servers only. */
	if (has_new_limits)
		find_limits(side);
	for (guint i = 0; i < view->targets->len; i++) {
		const struct mesh_target *target =
			g_ptr_array_index(view->targets, i);

		quota_members_add(members, target->ip);
	}
	side->epoch++;
	quota_owner_set_members(side->owner, members, handovers, now);
	quota_messages_hand_over(side, handovers);
	drop_unlimited(side);
}

struct quota_side *quota_side_new(const struct relay_context *context,
				  struct peer_links *links)
{
	const struct mesh_host *host = context->host;
	struct quota_side *side = g_new0(struct quota_side, 1);
	struct metrics *metrics = context->metrics;

	side->context = context;
	side->links = links;
	side->bounds = (struct quota_bounds){
		.window_ns = host->quota_window_ms * NS_PER_MS,
		.overage = host->quota_overage,
		.slack = host->quota_slack,
	};
	side->started_at = clock_monotonic_ns();
	side->owner = quota_owner_new(host->ip, &side->bounds);
	side->organisations = g_hash_table_new_full(g_str_hash, g_str_equal,
						    NULL, free_organisation);
	side->limits = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					     g_free, NULL);
	CDS_INIT_LIST_HEAD(&side->pending);
	side->flush_timer.fire = quota_messages_on_flush;
	side->asks.name = "godwitspur_quota_asks_total";
	side->asks.help = "Messages that asked owners for quota leases.";
	side->failed_asks.name = "godwitspur_quota_asks_failed_total";
	side->failed_asks.help = "Such messages without a useful answer.";
	side->handovers.name = "godwitspur_quota_handovers_total";
	side->handovers.help = "Quota buckets sent to a new owner.";
	metrics_add_counter(metrics, &side->asks);
	metrics_add_counter(metrics, &side->failed_asks);
	metrics_add_counter(metrics, &side->handovers);
	return side;
}

json_t *quota_side_dump(const struct quota_side *side)
{
	return json_pack("{s:i, s:i, s:i, s:I}", "organisations",
			 (int)g_hash_table_size(side->organisations), "buckets",
			 (int)quota_owner_nr_buckets(side->owner), "limits",
			 (int)g_hash_table_size(side->limits), "lease_ms",
			 (json_int_t)(quota_lease_ns(&side->bounds) /
				      NS_PER_MS));
}

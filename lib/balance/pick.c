#include <string.h>

#include "balance/state.h"

/* A due trial waits this long for a retryable request, then takes any. */
#define TRIAL_DELAY_MAX (1 * NS_PER_SEC)

static bool is_excluded(const struct balance_request *request,
			const struct target *target)
{
	for (size_t i = 0; i < request->nr_excluded; i++) {
		if (request->excluded[i] == target->handle)
			return true;
	}
	return false;
}

static bool in_regions(const struct balance_request *request,
		       const struct target *target)
{
	return !request->regions ||
	       g_strv_contains((const char *const *)request->regions,
			       target->region);
}

static bool may_get(const struct balance_request *request,
		    const struct target *target)
{
	return !is_excluded(request, target) && in_regions(request, target);
}

/* Returns a target whose trial is due and can be made by the request. */
static struct target *due_trial(const struct service *service,
				const struct balance_request *request,
				int64_t now)
{
	int64_t due_before = request->retryable ? now : now - TRIAL_DELAY_MAX;

	for (size_t i = 0; service->nr_trial_only && i < service->nr_subset;
	     i++) {
		struct target *target = service->subset[i];

		if (target_is_trial_only(target) &&
		    target->trial_at <= due_before && may_get(request, target))
			return target;
	}
	return NULL;
}

static void add_candidate(struct balance *balance, struct target *target,
			  size_t n, int64_t now)
{
	struct balance_candidate *candidate = &balance->candidates[n];

	candidate->load = target_load(balance, target, now);
	candidate->limit = target->limit;
	candidate->latency_ns = MAX(target_latency(target, now), 1);
	balance->candidate_targets[n] = target;
}

/* Passes of the search for candidates, each with fewer restrictions. */
enum pass {
	/* As PASS_NORMAL, and no target in a zone where the request failed. */
	PASS_RETRY,
	/* As PASS_AVOIDED, and no target that refused shortly before. */
	PASS_NORMAL,
	/* No target that gets only trials. */
	PASS_AVOIDED,
	PASS_ALL,
	NR_PASSES
};

/*
 * Whether the request failed at another target in the zone of this one. Hosts
 * of a zone often fail together, and a second failure there would use up the
 * retries.
 */
static bool in_failed_zone(const struct balance *balance,
			   const struct target *target,
			   const struct balance_request *request)
{
	for (size_t i = 0; i < request->nr_excluded; i++) {
		const struct target *tried =
			balance_target_at(balance, request->excluded[i]);

		if (tried && tried->failures &&
		    !strcmp(tried->zone, target->zone))
			return true;
	}
	return false;
}

static bool is_candidate(const struct balance *balance,
			 const struct target *target,
			 const struct balance_request *request, enum pass pass,
			 int64_t now)
{
	if (!may_get(request, target))
		return false;
	if (pass < PASS_ALL && target_is_trial_only(target))
		return false;
	if (pass < PASS_AVOIDED && now < target->avoid_until)
		return false;
	return pass > PASS_RETRY || !in_failed_zone(balance, target, request);
}

/*
 * Whether a request may use the next tier as well, given the load and limit
 * of the tiers before. Above the threshold, the probability rises linearly to 1
 * at full utilization. If all requests overflowed above the threshold, far more
 * load than the excess would leave the own zone, and all ingresses would
 * oscillate between the zones together.
 */
static bool overflows(const struct balance *balance, uint64_t percent,
		      uint64_t load, uint64_t limit)
{
	uint64_t above;

	if (load * 100 <= limit * percent)
		return false;
	if (percent >= 100)
		return true;
	above = load * 100 - limit * percent;
	return rng_below(balance->options.rng, limit * (100 - percent)) < above;
}

/*
 * Collects the candidates of a pass: those of the own zone, and as long as
 * there are none or they overflow, those of the region, then all others.
 */
static size_t collect(struct balance *balance, const struct service *service,
		      const struct balance_request *request, enum pass pass,
		      int64_t now)
{
	int percent = request->overflow_percent
			      ? request->overflow_percent
			      : service->zone_overflow_percent;
	uint64_t load = 0, limit = 0;
	size_t n = 0, i = 0;

	for (int tier = 0; tier < NR_TIERS; tier++) {
		for (; i < service->tier_end[tier]; i++) {
			struct target *target = service->subset[i];

			if (!is_candidate(balance, target, request, pass, now))
				continue;
			add_candidate(balance, target, n, now);
			load += balance->candidates[n].load;
			limit += balance->candidates[n].limit;
			n++;
		}
		if (n && !overflows(balance, (uint64_t)percent, load, limit))
			break;
	}
	return n;
}

static void fill_choice(struct balance_choice *choice,
			const struct target *target, bool trial)
{
	choice->target = target->handle;
	g_strlcpy(choice->host, target->host, sizeof(choice->host));
	g_strlcpy(choice->traffic, target->traffic, sizeof(choice->traffic));
	choice->own_zone = target->tier == TIER_ZONE;
	choice->trial = trial;
	choice->expected_ns = 0;
	choice->accepts_new_work = target_accepts_new_work(target);
}

/* Chooses one of the n candidates, by expected time or by the policy. */
static struct target *choose(struct balance *balance, struct service *service,
			     int64_t work_ns, size_t n, int64_t now,
			     int64_t *expected_ns)
{
	const struct balance_policy *policy = balance->options.policy;

	*expected_ns = 0;
	if (service_expects(service, work_ns, now))
		return expected_choose(balance, service, work_ns, n, now,
				       expected_ns);
	return balance->candidate_targets[policy->choose(balance->candidates, n,
							 &service->cursor,
							 balance->options.rng)];
}

bool balance_pick(struct balance *balance,
		  const struct balance_request *request, int64_t now,
		  struct balance_choice *choice)
{
	return balance_pick_for(balance, request, 0, now, choice);
}

bool balance_pick_for(struct balance *balance,
		      const struct balance_request *request, int64_t work_ns,
		      int64_t now, struct balance_choice *choice)
{
	struct service *service = balance_service_at(balance, request->service);
	struct target *target;
	int64_t expected_ns = 0;
	size_t n = 0;

	if (!service)
		return false;
	if (now >= service->refresh_at)
		service_refresh_subset(balance, service, now);
	target = due_trial(service, request, now);
	if (!target) {
		int pass = request->nr_excluded ? PASS_RETRY : PASS_NORMAL;

		for (; pass < NR_PASSES && !n; pass++)
			n = collect(balance, service, request, (enum pass)pass,
				    now);
		if (!n)
			return false;
		target =
			choose(balance, service, work_ns, n, now, &expected_ns);
	}
	if (target_is_trial_only(target)) {
		/* One trial for each back-off, even if it never finishes. */
		target->trial_pending = true;
		target->trial_at = now + target->back_off;
	}
	fill_choice(choice, target, target_is_trial_only(target));
	choice->expected_ns = expected_ns;
	return true;
}

bool balance_find(struct balance *balance, int index, const char *host,
		  struct balance_choice *choice)
{
	const struct service *service = balance_service_at(balance, index);
	const struct target *target =
		service ? g_hash_table_lookup(service->by_host, host) : NULL;

	if (!target)
		return false;
	fill_choice(choice, target, target_is_trial_only(target));
	return true;
}

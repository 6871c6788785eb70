#include <string.h>

#include "balance/state.h"

size_t service_eject_limit(const struct service *service, size_t n)
{
	size_t limit = n * (size_t)service->eject_percent_max / 100;

	if (n < 2 || !service->eject_percent_max)
		return 0;
	return limit ? limit : 1;
}

void target_readmit(struct target *target, int64_t now)
{
	if (target->in_subset) {
		target->service->nr_trial_only--;
		if (target->ejected)
			target->service->nr_ejected--;
	}
	if (target->ejected)
		target->readmitted_at = now;
	target->ejected = false;
	target->probation = false;
	target->trial_pending = false;
	target->failures = 0;
}

/* The ejected target of the subset with the earliest trial; NULL if none. */
static struct target *first_ejected(const struct service *service)
{
	struct target *first = NULL;

	for (size_t i = 0; i < service->nr_subset; i++) {
		struct target *target = service->subset[i];

		if (target->ejected &&
		    (!first || target->trial_at < first->trial_at))
			first = target;
	}
	return first;
}

/* Readmits targets until no more than the allowed number is ejected. */
static void enforce_eject_limit(struct service *service, int64_t now)
{
	struct target *first;

	while (service->nr_ejected >
		       service_eject_limit(service, service->nr_subset) &&
	       (first = first_ejected(service)))
		target_readmit(first, now);
}

/* Ends an expired draining mark; the target is on probation until a trial. */
static void end_draining(const struct balance *balance, struct target *target,
			 int64_t now)
{
	if (!target->draining || now < target->draining_until)
		return;
	target->draining = false;
	target->probation = true;
	target->trial_pending = false;
	target->trial_at = now;
	target->back_off = balance->options.eject_first_ns;
}

void service_refresh_subset(const struct balance *balance,
			    struct service *service, int64_t now)
{
	const struct target *previous = NULL;
	uint32_t taken = 0;

	service->nr_subset = 0;
	service->nr_ejected = 0;
	service->nr_trial_only = 0;
	service->refresh_at = INT64_MAX;
	memset(service->tier_end, 0, sizeof(service->tier_end));
	for (size_t i = 0; i < service->nr_targets; i++) {
		struct target *target = service->targets[i];
		uint32_t quota = target->tier == TIER_ZONE
					 ? balance->options.subset_own
					 : balance->options.subset_other;

		if (!previous || strcmp(previous->zone, target->zone) != 0)
			taken = 0;
		previous = target;
		end_draining(balance, target, now);
		if (target->draining)
			service->refresh_at = MIN(service->refresh_at,
						  target->draining_until);
		target->in_subset =
			target_accepts_new_work(target) && taken < quota;
		if (!target->in_subset)
			continue;
		taken++;
		service->subset[service->nr_subset++] = target;
		service->nr_ejected += target->ejected;
		service->nr_trial_only += target_is_trial_only(target);
		for (int tier = target->tier; tier < NR_TIERS; tier++)
			service->tier_end[tier] = service->nr_subset;
	}
	enforce_eject_limit(service, now);
}

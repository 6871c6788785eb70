#include "base/clock.h"
#include "target_internal.h"

/* Applies the policy of a new version to a target. */

/* The target that is this host; NULL when no service has it. */
static const struct table_target *
find_own_target(const struct target *target, const struct snapshot *snapshot)
{
	const struct table *table = snapshot->table;

	for (size_t i = 0; i < table->nr_services; i++) {
		const struct table_target *self =
			table_find_target(&table->services[i],
					  target->options.host);

		if (self)
			return self;
	}
	return NULL;
}

/*
 * Ingresses issue tickets with the lifetime of the route, so the target has to
 * accept the longest lifetime of any route.
 */
static int64_t max_ticket_life_ms(const struct table_service *service)
{
	int64_t longest = service->policy.ticket_life_ms;

	for (size_t i = 0; i < service->nr_routes; i++)
		longest =
			MAX(longest, service->routes[i].policy.ticket_life_ms);
	return longest;
}

void target_apply(struct target *target, struct snapshot *snapshot)
{
	const struct table_target *self = find_own_target(target, snapshot);
	const struct policy *policy;
	int64_t now = clock_monotonic_ns();
	struct replies replies;

	if (!self || !target->options.has_backend)
		return;
	CDS_INIT_LIST_HEAD(&replies.jobs);
	policy = &self->policy;
	pthread_mutex_lock(&target->lock);
	admit_set_policy(target->admit,
			 &(struct admit_options){
				 .slots = policy->slots,
				 .queue_max = policy->queue_max,
				 .cold_slots = policy->cold_slots,
				 .ramp_ns = policy->ramp_ms * NS_PER_MS,
				 .limit_policy = target->options.limit_policy,
			 },
			 now);
	once_set_ticket_life(target->once, max_ticket_life_ms(self->service));
	quarantine_set_policy(target->quarantine, policy->quarantine_crashes,
			      policy->quarantine_ms * NS_PER_MS);
	target_start_workers(target, policy->slots);
	target_start_next(target, now, &replies);
	pthread_mutex_unlock(&target->lock);
	target_send_replies(target, &replies);
}

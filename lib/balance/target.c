#include "balance/state.h"

#define LATENCY_UNKNOWN NS_PER_MS
/*
 * Without new samples, the difference of a latency to the mean of the service
 * halves in this time, so that a target that was slow is measured again.
 */
#define LATENCY_HALF_LIFE (2 * NS_PER_SEC)

bool target_accepts_new_work(const struct target *target)
{
	return target->service && target->in_service && !target->leaving &&
	       !target->draining;
}

bool target_is_trial_only(const struct target *target)
{
	return target->ejected || target->probation;
}

uint32_t target_load(const struct balance *balance, const struct target *target,
		     int64_t now)
{
	uint32_t load = target->in_flight;

	if (target->has_report &&
	    now - target->reported_at < balance->options.report_max_age_ns)
		load = MAX(load, target->reported_in_flight) +
		       target->reported_queue;
	return load;
}

int64_t target_latency(const struct target *target, int64_t now)
{
	int64_t service_mean = target->service->latency;
	int64_t mean = service_mean ? service_mean : LATENCY_UNKNOWN;
	int64_t halvings;

	if (!target->latency)
		return mean;
	halvings = (now - target->latency_at) / LATENCY_HALF_LIFE;
	if (halvings <= 0)
		return target->latency;
	if (halvings >= 62)
		return mean;
	return mean + (target->latency - mean) / (INT64_C(1) << halvings);
}

#include "balance/state.h"

/* Latencies are smoothed with weight 1/8 for a new value, as TCP does. */
#define LATENCY_SHIFT 3

#define AVOID_FIRST (10 * NS_PER_MS)
#define AVOID_LONGEST (5 * NS_PER_SEC)

bool balance_start(struct balance *balance, balance_handle handle, int64_t now)
{
	struct target *target = balance_target_at(balance, handle);

	(void)now;
	if (!target || !target->service)
		return false;
	target->in_flight++;
	return true;
}

void balance_add_work(struct balance *balance, balance_handle handle,
		      int64_t work_ns)
{
	struct target *target = balance_target_at(balance, handle);

	if (target)
		cost_server_sent(&target->cost, work_ns);
}

/* Ejects a target after failures unless the limit of ejections is reached. */
static void eject(const struct balance *balance, struct target *target,
		  int64_t now)
{
	struct service *service = target->service;
	int64_t longest = balance->options.eject_longest_ns;

	if (!target->in_subset ||
	    service->nr_ejected >=
		    service_eject_limit(service, service->nr_subset))
		return;
	/* A target that has worked for eject_longest_ns starts over. */
	if (!target->back_off || now - target->readmitted_at >= longest)
		target->back_off = balance->options.eject_first_ns;
	else
		target->back_off = MIN(2 * target->back_off, longest);
	target->ejected = true;
	target->trial_pending = false;
	target->trial_at = now + target->back_off;
	service->nr_ejected++;
	service->nr_trial_only++;
}

static void count_failure(const struct balance *balance, struct target *target,
			  int64_t now)
{
	target->failures++;
	if (!target_is_trial_only(target)) {
		if (target->failures >= balance->options.eject_failures)
			eject(balance, target, now);
		return;
	}
	/* Older requests may have failed before the ejection. */
	if (!target->trial_pending)
		return;
	target->trial_pending = false;
	target->back_off =
		MIN(2 * target->back_off, balance->options.eject_longest_ns);
	target->trial_at = now + target->back_off;
}

/*
 * Avoids a target that refused a request. The first back-off is short, since a
 * full queue empties in a few service times. It doubles until a request is
 * answered: a target that refuses everything at once looks idle and would
 * otherwise get most requests.
 */
static void count_refusal(struct target *target, int64_t now)
{
	/* Refusals of requests sent before the back-off count once. */
	if (now < target->avoid_until)
		return;
	target->avoid_back_off =
		target->avoid_back_off
			? MIN(2 * target->avoid_back_off, AVOID_LONGEST)
			: AVOID_FIRST;
	target->avoid_until = now + target->avoid_back_off;
}

static void apply_result(const struct balance *balance, struct target *target,
			 const struct balance_result *result, int64_t now)
{
	/* A cancelled attempt does not show the state of its target. */
	if (result->reason == FAILURE_CANCELLED)
		return;
	if (failure_get(result->reason)->counts_for_ejection) {
		/* Connections are refused fast, so the target looks idle. */
		if (failure_get(result->reason)->outcome == OUTCOME_NOT_RUN)
			count_refusal(target, now);
		count_failure(balance, target, now);
		return;
	}
	if (result->reason == FAILURE_NONE) {
		target->failures = 0;
		target->avoid_back_off = 0;
	} else if (failure_get(result->reason)->another_may_help) {
		count_refusal(target, now);
	}
	/* A refusal also shows that the target is reachable. */
	if (target_is_trial_only(target) && target->trial_pending)
		target_readmit(target, now);
}

static int64_t smooth(int64_t mean, int64_t sample)
{
	return mean ? mean + (sample - mean) / (1 << LATENCY_SHIFT) : sample;
}

static void update_latency(struct target *target,
			   const struct balance_result *result, int64_t now)
{
	struct service *service = target->service;
	int64_t latency = MAX(result->latency_ns, 1);
	bool answered = result->reason == FAILURE_NONE;

	if (!answered && result->expected_ns > target->latency) {
		target->latency = result->expected_ns;
		target->latency_at = now;
		return;
	}
	/* A failure is no sample, but a passed deadline is a lower bound. */
	if (!answered &&
	    (result->reason != FAILURE_DEADLINE || latency <= target->latency))
		return;
	target->latency = target->latency
				  ? smooth(target_latency(target, now), latency)
				  : latency;
	target->latency_at = now;
	service->latency = smooth(service->latency, latency);
}

static void update_report(struct target *target,
			  const struct balance_result *result, int64_t now)
{
	if (result->reported) {
		target->has_report = true;
		target->reported_at = now;
		target->reported_in_flight = result->in_flight;
		target->reported_queue = result->queue;
		target->limit = CLAMP(result->limit, 1, target->slots);
		return;
	}
	/* After a lost connection the backend server may be cold. */
	if (failure_get(result->reason)->counts_for_ejection &&
	    result->reason != FAILURE_DEADLINE) {
		target->has_report = false;
		target->limit = target->cold_slots;
	}
}

static void mark_draining(const struct balance *balance, struct target *target,
			  int64_t now)
{
	target->draining = true;
	target->draining_until = now + balance->options.draining_max_age_ns;
	service_refresh_subset(balance, target->service, now);
}

void balance_finish(struct balance *balance, balance_handle handle,
		    const struct balance_result *result, int64_t now)
{
	struct target *target = balance_target_at(balance, handle);

	if (!target || !target->in_flight)
		return;
	target->in_flight--;
	if (!target->service) {
		if (!target->in_flight)
			balance_remove_target(balance, target);
		return;
	}
	update_report(target, result, now);
	update_latency(target, result, now);
	expected_record(balance, target, result, now);
	apply_result(balance, target, result, now);
	if ((result->reported && result->draining) ||
	    result->reason == FAILURE_TARGET_DRAINING)
		mark_draining(balance, target, now);
}

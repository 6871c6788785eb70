#include <math.h>

#include "balance/state.h"

/*
 * Placement by the expected time until the answer, for services whose backend
 * servers report their load. It addresses servers of speeds 0.5 to 1.5, of
 * which some become 2.5 times slower for 0.6 s, and hundreds of ingresses that
 * choose by reports of the same age. tests/balance/test_expected.cc replays
 * that load.
 */

/* Random candidates of which the best is chosen. */
#define NR_CHOICES 3

/* Weight of a new report in the mean backlog of the service: 1 / this. */
#define BACKLOG_SMOOTHING 16

/*
 * A target of another zone is chosen only if its answer is expected sooner by
 * this much: the round trip between zones, and the traffic that it costs.
 */
#define CROSSING_NS (10 * NS_PER_MS)

/*
 * Run times show only the product of a request's work and a server's factor.
 * Work is measured relative to the mean factor of the service, so that the two
 * cannot drift apart in opposite directions.
 */
#define FACTOR_SMOOTHING 64

bool service_expects(const struct service *service, int64_t work_ns,
		     int64_t now)
{
	return work_ns > 0 && now < service->load_reports_until;
}

static int64_t expected_time(const struct service *service,
			     const struct target *target, int64_t work_ns,
			     int64_t now)
{
	double run = (double)work_ns * cost_server_factor(&target->cost, now);
	int64_t wait = cost_server_wait_ns(&target->cost, (int)target->limit,
					   service->backlog_ns, now);

	return (int64_t)run + wait +
	       (target->tier == TIER_ZONE ? 0 : CROSSING_NS);
}

struct target *expected_choose(struct balance *balance,
			       const struct service *service, int64_t work_ns,
			       size_t n, int64_t now, int64_t *expected_ns)
{
	struct target **targets = balance->candidate_targets;
	struct target *best = NULL;

	/* A partial shuffle, so that no target is looked at twice. */
	for (size_t i = 0; i < MIN(n, NR_CHOICES); i++) {
		size_t other =
			i + (size_t)rng_below(balance->options.rng, n - i);
		struct target *target = targets[other];
		int64_t time = expected_time(service, target, work_ns, now);

		targets[other] = targets[i];
		targets[i] = target;
		if (best && time >= *expected_ns)
			continue;
		best = target;
		*expected_ns = time;
	}
	return best;
}

void expected_record(const struct balance *balance, struct target *target,
		     const struct balance_result *result, int64_t now)
{
	struct service *service = target->service;

	if (result->pace_percent > 0) {
		cost_server_report(&target->cost, result->pace_percent,
				   result->backlog_ns, now);
		service->load_reports_until =
			now + balance->options.report_max_age_ns;
		service->backlog_ns +=
			((double)result->backlog_ns - service->backlog_ns) /
			BACKLOG_SMOOTHING;
	} else {
		cost_server_ended(&target->cost, result->work_ns);
	}
	if (result->reason == FAILURE_NONE && result->run_ns > 0 &&
	    result->work_ns > 0) {
		cost_server_ran(&target->cost, result->run_ns, result->work_ns,
				result->pace_percent, now);
		service->log_factor +=
			(log2(cost_server_factor(&target->cost, now)) -
			 service->log_factor) /
			FACTOR_SMOOTHING;
	} else if (result->wait_ns > 0 &&
		   failure_get(result->reason)->outcome == OUTCOME_NOT_RUN)
		cost_server_refused(&target->cost, result->wait_ns, now);
}

double balance_target_factor(const struct balance *balance,
			     balance_handle handle, int64_t now)
{
	const struct target *target = balance_target_at(balance, handle);

	if (!target || !target->service)
		return 1;
	return cost_server_factor(&target->cost, now) /
	       exp2(target->service->log_factor);
}

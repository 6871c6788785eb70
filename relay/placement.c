#include "base/clock.h"
#include "relay/call.h"
#include "relay/placement.h"

/* Bounds of measured / expected time, in millionths. */
static const uint64_t accuracy_bounds[HISTOGRAM_BUCKETS - 1] = {
	100000,	 200000,  330000,  500000,  670000,  800000,  900000,	1000000,
	1100000, 1250000, 1500000, 2000000, 3000000, 5000000, 10000000,
};

void placement_add_metrics(struct placement *placement, struct metrics *metrics)
{
	placement->nr_by_estimate.name =
		"godwitspur_placements_total{by=\"expected_time\"}";
	placement->nr_by_load.name = "godwitspur_placements_total{by=\"load\"}";
	placement->nr_by_estimate.help = placement->nr_by_load.help =
		"Attempts placed, by what decided.";
	placement->accuracy.name = "godwitspur_placement_ratio";
	placement->accuracy.help =
		"Measured time of answers / the expected time.";
	placement->accuracy.bounds = accuracy_bounds;
	metrics_add_counter(metrics, &placement->nr_by_estimate);
	metrics_add_counter(metrics, &placement->nr_by_load);
	metrics_add_histogram(metrics, &placement->accuracy);
}

bool placement_start(struct call *call, const struct balance_request *request,
		     int64_t now, struct balance_choice *choice,
		     struct placement_expectation *expected)
{
	struct caller_side *side = call->side;

	expected->work_ns = cost_estimate_mean_ns(&call->state->cost);
	if (!balance_pick_for(side->balance, request, expected->work_ns, now,
			      choice) ||
	    !balance_start(side->balance, choice->target, now))
		return false;
	balance_add_work(side->balance, choice->target, expected->work_ns);
	expected->answer_ns = choice->expected_ns;
	call->by_estimate = choice->expected_ns > 0;
	counter_add(choice->expected_ns ? &side->placement.nr_by_estimate
					: &side->placement.nr_by_load,
		    1);
	return true;
}

int64_t placement_cost_us(const struct call *call)
{
	if (!cost_estimate_is_observed(&call->state->cost))
		return 0;
	return MAX(cost_estimate_mean_ns(&call->state->cost) / NS_PER_US, 1);
}

void placement_fill_result(const struct relay_answer *answer,
			   const struct placement_expectation *expected,
			   struct balance_result *result)
{
	result->work_ns = expected->work_ns;
	if (!answer)
		return;
	result->pace_percent = answer->pace_percent;
	result->backlog_ns = answer->backlog_us * NS_PER_US;
	result->wait_ns = answer->wait_ms * NS_PER_MS;
	if (answer->status < HTTP_STATUS_FAILED)
		result->run_ns = answer->service_us * NS_PER_US;
}

void placement_learn(struct call *call, balance_handle target,
		     const struct placement_expectation *expected,
		     const struct balance_result *result, int64_t now)
{
	struct caller_side *side = call->side;
	double factor = balance_target_factor(side->balance, target, now);

	if (result->reason != FAILURE_NONE || result->run_ns <= 0)
		return;
	cost_estimate_add(&call->state->cost,
			  (int64_t)((double)result->run_ns / factor), now);
	if (expected->answer_ns > 0)
		histogram_observe(&side->placement.accuracy,
				  (uint64_t)(1e6 * (double)result->latency_ns /
					     (double)expected->answer_ns));
}

bool placement_can_finish(const struct call *call, int64_t now)
{
	return !call->by_estimate ||
	       !cost_estimate_is_observed(&call->state->cost) ||
	       now + cost_estimate_mean_ns(&call->state->cost) < call->deadline;
}

json_t *placement_dump(const struct caller_side *side)
{
	json_t *routes = json_object();
	struct route_state *state;
	GHashTableIter iter;

	g_hash_table_iter_init(&iter, side->routes);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&state))
		json_object_set_new(
			routes, state->route,
			json_pack("{s:I, s:I, s:b}", "work_us",
				  (json_int_t)(cost_estimate_mean_ns(
						       &state->cost) /
					       NS_PER_US),
				  "high_us",
				  (json_int_t)(cost_estimate_high_ns(
						       &state->cost) /
					       NS_PER_US),
				  "observed",
				  cost_estimate_is_observed(&state->cost)));
	return json_pack("{s:I, s:I, s:o}", "by_estimate",
			 (json_int_t)counter_get(
				 &side->placement.nr_by_estimate),
			 "by_load",
			 (json_int_t)counter_get(&side->placement.nr_by_load),
			 "routes", routes);
}

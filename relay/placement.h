#ifndef RELAY_PLACEMENT_H
#define RELAY_PLACEMENT_H

#include <jansson.h>

#include "balance/balance.h"
#include "base/counters.h"
#include "cost/estimate.h"
#include "wire/wire.h"

/*
 * Placement by expected cost at the sender: knows the work of each route's
 * requests and gives it to the balancer, which knows the servers.
 */

struct call;
struct caller_side;

/* Metrics of all routes. */
struct placement {
	struct counter nr_by_estimate; /* the estimate decided */
	struct counter nr_by_load;     /* no load reports: as before */
	struct histogram accuracy;     /* measured / expected time */
};

/* What was expected when an attempt began. */
struct placement_expectation {
	int64_t work_ns;   /* on a server of usual speed */
	int64_t answer_ns; /* time until the answer; 0: not expected */
};

void placement_add_metrics(struct placement *placement,
			   struct metrics *metrics);

/*
 * Picks a server for a call, counts the request as in flight there and sets
 * what is expected of it. False, and nothing counted, if there is none.
 */
bool placement_start(struct call *call, const struct balance_request *request,
		     int64_t now, struct balance_choice *choice,
		     struct placement_expectation *expected);

/* The expected work in us that a request carries; 0 before the first answer. */
int64_t placement_cost_us(const struct call *call);

/*
 * Sets what an answer tells about the server in the result of an attempt. A
 * server error may have come without the work, so it is no run time.
 */
void placement_fill_result(const struct relay_answer *answer,
			   const struct placement_expectation *expected,
			   struct balance_result *result);

/* Learns from the result of an attempt; after balance_finish(). */
void placement_learn(struct call *call, balance_handle target,
		     const struct placement_expectation *expected,
		     const struct balance_result *result, int64_t now);

/*
 * Whether a run that begins now is expected to end before the deadline of the
 * call. True where the expected time does not decide.
 */
bool placement_can_finish(const struct call *call, int64_t now);

/* The routes' expected work, and how often the estimate decided. */
json_t *placement_dump(const struct caller_side *side);

#endif

#ifndef BENCH_MODEL_H
#define BENCH_MODEL_H

#include <stdint.h>

#include "balance/balance.h"

/*
 * An event-driven simulation of ingresses and targets in three availability
 * zones, which runs the real code of lib/balance and lib/retry. Every host is
 * an ingress and, for one of the services, a target. Requests arrive as a
 * Poisson process at random ingresses; service times are exponential above a
 * floor of a quarter of the mean. Times are nanoseconds.
 */

#define MODEL_ZONES 3
#define MODEL_SERVICES 2
#define MODEL_INGRESSES_MAX 900

struct deployment {
	const char *name;
	int64_t zone_delay; /* one way between zones */
	uint32_t slots;
	int targets[MODEL_SERVICES];
	int64_t service_time[MODEL_SERVICES]; /* mean */
};

enum scenario {
	SCENARIO_STEADY,
	/* Zone z2 is out of service from 1/4 to 5/8 of the run. */
	SCENARIO_ZONE_MARKED,
	/* The hosts of z2 fail at 1/4 of the run and start cold at 5/8. */
	SCENARIO_ZONE_DIES,
	/* Target 0 has five times the service time. */
	SCENARIO_SLOW,
	/* Target 0 has three times the service time and reports no load and an
	 * unlimited capacity. */
	SCENARIO_LIAR,
	/* Target 0 refuses every request immediately with "queue full", and
	 * reports no load and an unlimited capacity. */
	SCENARIO_REFUSER,
	NR_SCENARIOS
};

extern const char *const scenario_names[NR_SCENARIOS];

struct model_options {
	const struct deployment *deployment;
	const struct balance_policy *policy;
	enum scenario scenario;
	int load_percent; /* of the capacity of the targets */
	int ingresses;	  /* that are no targets, 0..MODEL_INGRESSES_MAX */
	int64_t end;	  /* of the run, which starts at time 0 */
	uint64_t seed;
};

struct model_result {
	uint64_t requests;
	uint64_t successes;
	uint64_t attempts;
	uint64_t cross_zone; /* attempts at a target in another zone */
	int64_t median;	     /* of successes, from arrival at the ingress */
	int64_t p99;
	int64_t p999;
};

void model_run(const struct model_options *options,
	       struct model_result *result);

#endif

#include "cost/estimate.h"

#include <glib.h>
#include <math.h>

#include "base/clock.h"

/* Most samples that the mean stands for: a new one has at least 1/64. */
#define WEIGHT_MAX 63.0

/* The weight of the samples halves in this time. */
#define HALF_LIFE_NS (10 * NS_PER_SEC)

/* A sample counts at most as the mean plus this many times the spread. */
#define SPREADS_MAX 3

/*
 * Samples after which the spread is known well enough to limit new ones. The
 * first samples after a start may all be short.
 */
#define LIMITED_FROM 4.0

/* Spreads above the mean that all but a few in 100 requests stay below. */
#define HIGH_SPREADS 2

void cost_estimate_init(struct cost_estimate *estimate, int64_t assumed_ns)
{
	*estimate = (struct cost_estimate){
		.mean_ns = (double)MAX(assumed_ns, 1),
	};
}

static void age(struct cost_estimate *estimate, int64_t now)
{
	double passed = (double)MAX(now - estimate->updated, 0);

	estimate->weight *= exp2(-passed / HALF_LIFE_NS);
	estimate->updated = now;
}

void cost_estimate_add(struct cost_estimate *estimate, int64_t work_ns,
		       int64_t now)
{
	double work = (double)MAX(work_ns, 1);
	double most = estimate->mean_ns + SPREADS_MAX * estimate->spread_ns;
	double difference;

	age(estimate, now);
	if (estimate->weight <= 0) {
		estimate->mean_ns = work;
		estimate->spread_ns = work / 2;
		estimate->weight = 1;
		return;
	}
	if (estimate->weight >= LIMITED_FROM)
		work = MIN(work, most);
	estimate->weight = MIN(estimate->weight, WEIGHT_MAX) + 1;
	difference = work - estimate->mean_ns;
	estimate->mean_ns += difference / estimate->weight;
	estimate->spread_ns +=
		(fabs(difference) - estimate->spread_ns) / estimate->weight;
	/* A spread of 0 would limit all later samples to the mean. */
	estimate->spread_ns = MAX(estimate->spread_ns, estimate->mean_ns / 16);
}

bool cost_estimate_is_observed(const struct cost_estimate *estimate)
{
	return estimate->updated != 0;
}

int64_t cost_estimate_mean_ns(const struct cost_estimate *estimate)
{
	return MAX((int64_t)estimate->mean_ns, 1);
}

int64_t cost_estimate_high_ns(const struct cost_estimate *estimate)
{
	return MAX((int64_t)(estimate->mean_ns +
			     HIGH_SPREADS * estimate->spread_ns),
		   1);
}

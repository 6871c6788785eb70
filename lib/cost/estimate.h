#ifndef COST_ESTIMATE_H
#define COST_ESTIMATE_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Estimate of the work that a request of a route causes: the run time that it
 * would have on a server of usual speed and pace, in nanoseconds. No I/O, no
 * clock, no locks.
 *
 * It addresses a load where 3 in 100 requests take 7 times their usual work.
 * Samples count up to a few times the spread above the mean, so that one long
 * run does not change the estimate, while many of them do. Old samples lose
 * weight with time, so that a route that has changed is learned again from few
 * runs.
 */
struct cost_estimate {
	double mean_ns;
	double spread_ns; /* mean absolute deviation */
	double weight;	  /* number of samples that the mean stands for */
	int64_t updated;
};

/*
 * Starts from the run time that the configuration leads to expect. The first
 * sample replaces it.
 */
void cost_estimate_init(struct cost_estimate *estimate, int64_t assumed_ns);

void cost_estimate_add(struct cost_estimate *estimate, int64_t work_ns,
		       int64_t now);

/* Whether the estimate rests on runs, not only on the assumption. */
bool cost_estimate_is_observed(const struct cost_estimate *estimate);

/* Expected work; >= 1. */
int64_t cost_estimate_mean_ns(const struct cost_estimate *estimate);

/* Work that all but few requests stay below. */
int64_t cost_estimate_high_ns(const struct cost_estimate *estimate);

#endif

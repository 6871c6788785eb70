#include "admit/admit.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"

/* An answer is fast if it takes at most this many times the best median. */
#define FAST_FACTOR 2

/*
 * A slower median raises the best median by 1 / BEST_DECAY of the difference,
 * so that a lasting change of the service time does not block the ramp.
 */
#define BEST_DECAY 16

/*
 * A backend server lost during the ramp was probably overloaded by it: each
 * step of the next ramp needs twice the time and number of answers, up to 2^3.
 * In 120 s of bench/admit_policies, a server that warms up more slowly than the
 * ramp crashed 35 times without this back-off and twice with it.
 */
#define BACKOFF_MAX 3

static void set_limit(struct admit_ramp *ramp, int limit, int64_t now)
{
	ramp->limit = CLAMP(limit, ramp->cold_slots, ramp->slots);
	ramp->step_start = now;
	ramp->nr_fast = 0;
}

static int64_t step_ns(const struct admit_ramp *ramp)
{
	return ramp->ramp_ns / MAX(1, ramp->slots - ramp->cold_slots);
}

/* Policy "fixed": the limit is always slots. */

static void fixed_set(struct admit_ramp *ramp, int64_t now)
{
	set_limit(ramp, ramp->slots, now);
}

const struct admit_limit_policy admit_limit_fixed = {
	.name = "fixed",
	.cold = fixed_set,
	.tick = fixed_set,
};

/* Policy "time": the limit rises with time. */

static void time_cold(struct admit_ramp *ramp, int64_t now)
{
	set_limit(ramp, ramp->cold_slots, now);
}

static int64_t time_next(const struct admit_ramp *ramp)
{
	if (ramp->limit >= ramp->slots)
		return DEADLINE_NEVER;
	return ramp->step_start + step_ns(ramp);
}

static void time_tick(struct admit_ramp *ramp, int64_t now)
{
	while (ramp->limit < ramp->slots && now >= time_next(ramp))
		set_limit(ramp, ramp->limit + 1, time_next(ramp));
}

const struct admit_limit_policy admit_limit_time = {
	.name = "time",
	.cold = time_cold,
	.tick = time_tick,
	.next = time_next,
};

/* Policy "observed": the limit rises with time and with fast answers. */

static bool has_earned_step(const struct admit_ramp *ramp)
{
	int needed = ramp->limit << ramp->backoff;

	return ramp->limit < ramp->slots && ramp->nr_fast >= needed;
}

static int64_t observed_next(const struct admit_ramp *ramp)
{
	if (!has_earned_step(ramp))
		return DEADLINE_NEVER;
	return ramp->step_start + (step_ns(ramp) << ramp->backoff);
}

static void observed_tick(struct admit_ramp *ramp, int64_t now)
{
	if (now < observed_next(ramp))
		return;
	set_limit(ramp, ramp->limit + 1, now);
	if (ramp->limit == ramp->slots && ramp->backoff)
		ramp->backoff--;
}

static void observed_cold(struct admit_ramp *ramp, int64_t now)
{
	bool in_ramp =
		ramp->limit > ramp->cold_slots && ramp->limit < ramp->slots;

	if (in_ramp && ramp->backoff < BACKOFF_MAX)
		ramp->backoff++;
	time_cold(ramp, now);
}

static int compare_ns(const void *a, const void *b)
{
	int64_t x = *(const int64_t *)a;
	int64_t y = *(const int64_t *)b;

	return (x > y) - (x < y);
}

/* Updates the best median with the median of every ADMIT_WINDOW answers. */
static void observe(struct admit_ramp *ramp, int64_t service_ns)
{
	int64_t median;

	ramp->window[ramp->nr_window++] = service_ns;
	if (ramp->nr_window < ADMIT_WINDOW)
		return;
	ramp->nr_window = 0;
	qsort(ramp->window, ADMIT_WINDOW, sizeof(ramp->window[0]), compare_ns);
	median = ramp->window[ADMIT_WINDOW / 2];
	if (!ramp->best_median || median < ramp->best_median)
		ramp->best_median = median;
	else
		ramp->best_median += (median - ramp->best_median) / BEST_DECAY;
}

static void observed_done(struct admit_ramp *ramp, enum admit_outcome outcome,
			  int64_t service_ns, int64_t now)
{
	if (outcome == ADMIT_SHED) {
		/* The backend server reported overload. */
		set_limit(ramp, ramp->limit - 1, now);
		return;
	}
	if (outcome != ADMIT_ANSWERED)
		return;
	if (!ramp->best_median || service_ns <= FAST_FACTOR * ramp->best_median)
		ramp->nr_fast++;
	observe(ramp, service_ns);
	observed_tick(ramp, now);
}

const struct admit_limit_policy admit_limit_observed = {
	.name = "observed",
	.cold = observed_cold,
	.done = observed_done,
	.tick = observed_tick,
	.next = observed_next,
};

#include <glib.h>

#include "admit/admit.h"

/*
 * Part of the bound that is used. The rest is for requests that were sent in
 * one second and arrive in the next.
 */
#define BOUND_SHARE 0.9

/* Part of the overage that is used all the time; the rest is for bursts. */
#define OVERAGE_SHARE 0.85

struct admit_cold_rate admit_cold_rate_within(double per_s, double overage,
					      int slack)
{
	double most = (per_s * overage + slack) * BOUND_SHARE;
	struct admit_cold_rate rate = {
		.per_s = MIN(per_s * (1 + (overage - 1) * OVERAGE_SHARE),
			     MAX(most - 1, per_s / 2)),
	};

	rate.burst = MAX(most - rate.per_s, 1);
	return rate;
}

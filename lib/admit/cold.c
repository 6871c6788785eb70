#include <glib.h>

#include "admit/admit.h"

/*
 * Share of the bound that is used. The rest allows for requests that are
 * started in one second and reach the server in the next.
 */
#define BOUND_SHARE 0.9

/* Share of the overage in the steady rate; the rest is left for bursts. */
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

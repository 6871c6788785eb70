#include <math.h>

#include "base/clock.h"
#include "quota/quota.h"

static double seconds(int64_t ns)
{
	return (double)ns / NS_PER_SEC;
}

/* What the bound allows in a window beyond rate x window + burst. */
static double excess(const struct quota_bounds *bounds,
		     const struct quota_limit *limit)
{
	return quota_allowed(bounds, limit, bounds->window_ns) -
	       limit->rate_per_s * seconds(bounds->window_ns) - limit->burst;
}

double quota_allowed(const struct quota_bounds *bounds,
		     const struct quota_limit *limit, int64_t span_ns)
{
	double regular = limit->rate_per_s * seconds(span_ns) + limit->burst;

	return regular * (1 + bounds->overage) + bounds->slack;
}

/*
 * Leases outstanding at a time are at most rate x lease beyond the burst, and
 * QUOTA_LEASE_SHARE of the overage covers them for organisations of any rate.
 */
int64_t quota_lease_ns(const struct quota_bounds *bounds)
{
	double ns =
		QUOTA_LEASE_SHARE * bounds->overage * (double)bounds->window_ns;

	return MIN((int64_t)ns, QUOTA_LEASE_MAX_NS);
}

double quota_depth(const struct quota_bounds *bounds,
		   const struct quota_limit *limit)
{
	double batch = QUOTA_DEPTH_SHARE * excess(bounds, limit);

	return MAX(limit->burst, MAX(batch, 1));
}

int quota_fallback(const struct quota_bounds *bounds,
		   const struct quota_limit *limit, int nr_daemons, int rank)
{
	int all = (int)(QUOTA_FALLBACK_SHARE * excess(bounds, limit));

	if (nr_daemons < 1)
		return 0;
	return all / nr_daemons + (rank < all % nr_daemons);
}

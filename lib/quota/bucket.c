#include <math.h>
#include <string.h>

#include "base/clock.h"
#include "quota/quota.h"

/* Intervals of a lease in which grants are counted. */
#define LEASE_PARTS 8

/*
 * Refused asks per second for one organisation from which daemons are told to
 * ask less often, and the least and longest time between their asks.
 */
#define REFUSALS_PER_S_MAX 100
#define HOLD_MIN_NS (20 * NS_PER_MS)
#define HOLD_MAX_NS (500 * NS_PER_MS)
#define HOLD_ADJUST_NS (50 * NS_PER_MS)
#define REFUSALS_AVERAGED_NS (200 * NS_PER_MS)

void quota_bucket_init(struct quota_bucket *bucket, int64_t grants_from)
{
	memset(bucket, 0, sizeof(*bucket));
	bucket->filled_at = bucket->grants_from = grants_from;
	bucket->full_at = DEADLINE_NEVER;
}

static int64_t slot_number(const struct quota_bounds *bounds, int64_t now)
{
	return now / MAX(quota_lease_ns(bounds) / LEASE_PARTS, 1);
}

/* Whether grants of an interval may be valid still, counting the present one.
 */
static bool is_recent(int64_t number, int64_t current)
{
	return number && current - number <= LEASE_PARTS + 1;
}

double quota_bucket_outstanding(const struct quota_bucket *bucket,
				const struct quota_bounds *bounds, int64_t now)
{
	int64_t current = slot_number(bounds, now);
	double sum = 0;

	for (int i = 0; i < QUOTA_GRANT_SLOTS; i++)
		if (is_recent(bucket->granted[i].number, current))
			sum += bucket->granted[i].tokens;
	return sum;
}

static void count_granted(struct quota_bucket *bucket,
			  const struct quota_bounds *bounds, double tokens,
			  int64_t now)
{
	int64_t number = slot_number(bounds, now);
	int i = (int)(number % QUOTA_GRANT_SLOTS);

	if (bucket->granted[i].number != number)
		bucket->granted[i].tokens = 0;
	bucket->granted[i].number = number;
	bucket->granted[i].tokens += tokens;
}

/* Subtracts returned tokens from the grants, the oldest ones first. */
static void uncount_granted(struct quota_bucket *bucket,
			    const struct quota_bounds *bounds, double tokens,
			    int64_t now)
{
	int64_t current = slot_number(bounds, now);

	for (int64_t number = current - LEASE_PARTS - 1; number <= current;
	     number++) {
		int i = (int)(number % QUOTA_GRANT_SLOTS);
		double taken;

		if (number <= 0 || bucket->granted[i].number != number)
			continue;
		taken = MIN(tokens, bucket->granted[i].tokens);
		bucket->granted[i].tokens -= taken;
		tokens -= taken;
	}
}

/*
 * The bucket and the outstanding leases together never hold more than the depth
 * and the refill of a lease. Without this rule, tokens that are granted, not
 * used and returned over and over would add up beyond the burst.
 */
static double capacity(const struct quota_bucket *bucket,
		       const struct quota_bounds *bounds,
		       const struct quota_limit *limit, int64_t now)
{
	double depth = quota_depth(bounds, limit);
	/* Grants are counted for up to two intervals longer than a lease. */
	double lease = limit->rate_per_s * (double)quota_lease_ns(bounds) /
		       NS_PER_SEC * (LEASE_PARTS + 2) / LEASE_PARTS;

	return CLAMP(depth + lease -
			     quota_bucket_outstanding(bucket, bounds, now),
		     0, depth);
}

void quota_bucket_fill(struct quota_bucket *bucket,
		       const struct quota_bounds *bounds,
		       const struct quota_limit *limit, int64_t now)
{
	if (now > bucket->filled_at) {
		bucket->tokens += limit->rate_per_s *
				  (double)(now - bucket->filled_at) /
				  NS_PER_SEC;
		bucket->filled_at = now;
	}
	bucket->tokens =
		MIN(bucket->tokens, capacity(bucket, bounds, limit, now));
}

/* Counts an ask that got fewer tokens than it wanted. */
static void count_refusal(struct quota_bucket *bucket, int64_t now)
{
	double passed = (double)MAX(now - bucket->refused_at, 0);

	bucket->refusals_per_s =
		bucket->refusals_per_s * exp(-passed / REFUSALS_AVERAGED_NS) +
		(double)NS_PER_SEC / REFUSALS_AVERAGED_NS;
	bucket->refused_at = now;
	if (now - bucket->held_at < HOLD_ADJUST_NS)
		return;
	bucket->held_at = now;
	if (bucket->refusals_per_s > REFUSALS_PER_S_MAX)
		bucket->hold_ns = bucket->hold_ns * 3 / 2;
	else
		bucket->hold_ns = bucket->hold_ns * 9 / 10;
	bucket->hold_ns = CLAMP(bucket->hold_ns, HOLD_MIN_NS, HOLD_MAX_NS);
}

int quota_bucket_grant(struct quota_bucket *bucket,
		       const struct quota_bounds *bounds,
		       const struct quota_limit *limit, int wanted, int unused,
		       int64_t now)
{
	int tokens;

	bucket->asked_at = now;
	if (unused > 0) {
		uncount_granted(bucket, bounds, unused, now);
		bucket->tokens += unused;
	}
	quota_bucket_fill(bucket, bounds, limit, now);
	if (now < bucket->grants_from) {
		count_refusal(bucket, now);
		return 0;
	}
	/* The margin hides rounding errors of the refill. */
	tokens = (int)MIN(floor(bucket->tokens + 1e-9), (double)MAX(wanted, 0));
	bucket->tokens -= tokens;
	count_granted(bucket, bounds, tokens, now);
	bucket->full_at =
		now + (int64_t)((quota_depth(bounds, limit) - bucket->tokens) /
				limit->rate_per_s * NS_PER_SEC);
	if (tokens < wanted)
		count_refusal(bucket, now);
	return tokens;
}

int64_t quota_bucket_wait(const struct quota_bucket *bucket,
			  const struct quota_limit *limit, int64_t now)
{
	double missing = MAX(1 - bucket->tokens, 0);

	return MAX(bucket->hold_ns,
		   MAX(bucket->grants_from - now, 0) +
			   (int64_t)(missing / limit->rate_per_s * NS_PER_SEC));
}

void quota_bucket_take_over(struct quota_bucket *bucket,
			    const struct quota_bounds *bounds, double tokens,
			    double outstanding, int64_t now)
{
	quota_bucket_init(bucket, now);
	bucket->tokens = MAX(tokens, 0);
	count_granted(bucket, bounds, MAX(outstanding, 0), now);
}

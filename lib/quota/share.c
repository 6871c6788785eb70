#include <math.h>
#include <string.h>

#include "base/clock.h"
#include "quota/quota.h"

/* Time over which the demand is averaged. */
#define DEMAND_NS (500 * NS_PER_MS)

/* Demand for which tokens are held in advance. */
#define AHEAD_NS (200 * NS_PER_MS)

/*
 * Organisations with less expected requests in a lease are asked for when a
 * request arrives: many tokens that were asked for ahead would expire. With 1,
 * 870 daemons that use an organisation at 77% of its rate, 2.4 requests/s each,
 * had 7% of its requests refused.
 */
#define AHEAD_REQUESTS_MIN 3.0

/* Most tokens of one ask. */
#define WANTED_MAX 65536

/* Unused tokens are returned if their lease is valid for this much longer. */
#define RETURN_MARGIN_NS (100 * NS_PER_MS)

/* Least time between two asks for an organisation that has no tokens left. */
#define REFUSED_MIN_NS (20 * NS_PER_MS)

/* An owner that did not answer is not waited for in this time. */
#define SILENT_NS (300 * NS_PER_MS)

void quota_share_release(struct quota_share *share)
{
	g_free(share->fallback.times);
}

static double demand(const struct quota_share *share, int64_t now)
{
	return share->demand_per_s *
	       exp(-(double)MAX(now - share->demand_at, 0) / DEMAND_NS);
}

static void count_demand(struct quota_share *share, int64_t now)
{
	share->demand_per_s =
		demand(share, now) + (double)NS_PER_SEC / DEMAND_NS;
	share->demand_at = now;
}

static bool take_token(struct quota_share *share, int64_t now)
{
	for (int i = 0; i < 2; i++) {
		struct quota_lease *lease = &share->leases[i];

		if (lease->tokens > 0 && now < lease->deadline) {
			lease->tokens--;
			share->taken_deadline = lease->deadline;
			return true;
		}
	}
	return false;
}

/* Keeps the times of the last `size` starts when the share changes. */
static void resize_ring(struct quota_ring *ring, int size, int64_t start)
{
	int64_t *times = g_new(int64_t, size);

	/* The latest times are kept, and free places count as long ago. */
	for (int i = 0; i < size; i++)
		times[i] = start;
	for (int i = 0; i < MIN(size, ring->size); i++)
		times[size - 1 - i] =
			ring->times[(ring->next + ring->size - 1 - i) %
				    ring->size];
	g_free(ring->times);
	ring->times = times;
	ring->size = size;
	ring->next = 0;
}

/* Starts a request of the fallback if fewer have started within the window. */
static bool take_fallback(struct quota_share *share,
			  const struct quota_bounds *bounds, int fallback,
			  int64_t now)
{
	struct quota_ring *ring = &share->fallback;

	if (fallback <= 0)
		return false;
	if (ring->size != fallback)
		resize_ring(ring, fallback, INT64_MIN / 2);
	if (now - ring->times[ring->next] < bounds->window_ns)
		return false;
	ring->times[ring->next] = now;
	ring->next = (ring->next + 1) % ring->size;
	share->taken_deadline = 0;
	return true;
}

enum quota_verdict quota_share_take(struct quota_share *share,
				    const struct quota_bounds *bounds,
				    int fallback, int64_t now)
{
	count_demand(share, now);
	if (take_token(share, now))
		return QUOTA_TAKEN;
	if (now < share->refused_until)
		return QUOTA_REFUSED;
	if (now < share->silent_until)
		return take_fallback(share, bounds, fallback, now)
			       ? QUOTA_TAKEN
			       : QUOTA_REFUSED;
	share->waiting++;
	return QUOTA_WAIT;
}

enum quota_verdict quota_share_take_waiting(struct quota_share *share,
					    const struct quota_bounds *bounds,
					    int fallback, int64_t now)
{
	share->waiting--;
	if (take_token(share, now))
		return QUOTA_TAKEN;
	/* The owner's answer decides, if there was one. */
	if (now < share->refused_until)
		return QUOTA_REFUSED;
	return take_fallback(share, bounds, fallback, now) ? QUOTA_TAKEN
							   : QUOTA_REFUSED;
}

void quota_share_refund(struct quota_share *share, int64_t deadline,
			int64_t now)
{
	/* The token must not become valid for longer than it was. */
	for (int i = 0; i < 2; i++) {
		if (now < share->leases[i].deadline &&
		    share->leases[i].deadline <= deadline) {
			share->leases[i].tokens++;
			return;
		}
	}
}

static int count_tokens(const struct quota_share *share, int64_t from)
{
	int tokens = 0;

	for (int i = 0; i < 2; i++)
		if (from < share->leases[i].deadline)
			tokens += share->leases[i].tokens;
	return tokens;
}

/* Tokens to hold for the requests of the near future. */
static double ahead(const struct quota_share *share,
		    const struct quota_bounds *bounds, int64_t now)
{
	double per_s = demand(share, now);
	double expected = per_s * AHEAD_NS / NS_PER_SEC;

	if (per_s * (double)quota_lease_ns(bounds) / NS_PER_SEC <
	    AHEAD_REQUESTS_MIN)
		return 0;
	return expected + sqrt(expected);
}

int quota_share_wanted(const struct quota_share *share,
		       const struct quota_bounds *bounds, int64_t now)
{
	const struct quota_lease *newest = &share->leases[1];
	double needed;
	int held;

	if (share->asked || now < share->refused_until)
		return 0;
	needed = ahead(share, bounds, now);
	/* Tokens that expire soon do not count. */
	held = count_tokens(share, now + AHEAD_NS / 2);
	if (!share->waiting && held >= needed / 2)
		return 0;
	/* The tokens of the earlier lease are returned with the ask. */
	held = now + AHEAD_NS / 2 < newest->deadline ? newest->tokens : 0;
	return MIN(share->waiting + MAX((int)ceil(needed) - held, 0),
		   WANTED_MAX);
}

int quota_share_ask(struct quota_share *share, int wanted, int64_t now)
{
	struct quota_lease *oldest = &share->leases[0];
	int unused = 0;

	share->asked = true;
	share->asked_at = now;
	share->asked_tokens = wanted;
	/* Makes room for the lease that the answer brings. */
	if (now + RETURN_MARGIN_NS < oldest->deadline)
		unused = oldest->tokens;
	share->leases[0] = share->leases[1];
	share->leases[1] = (struct quota_lease){ 0 };
	return unused;
}

bool quota_share_is_decided(const struct quota_share *share, int64_t now)
{
	return count_tokens(share, now) > 0 || now < share->refused_until ||
	       now < share->silent_until;
}

void quota_share_granted(struct quota_share *share, int tokens,
			 int64_t lease_ns, int64_t wait_ns, int64_t now)
{
	share->asked = false;
	share->silent_until = 0;
	/* From the time of the ask, which is before the grant. */
	share->leases[1].tokens = tokens;
	share->leases[1].deadline = share->asked_at + lease_ns;
	if (tokens < share->asked_tokens && tokens < share->waiting)
		share->refused_until = now + MAX(wait_ns, REFUSED_MIN_NS);
}

void quota_share_overdue(struct quota_share *share, int64_t now)
{
	share->silent_until = now + SILENT_NS;
}

void quota_share_failed(struct quota_share *share, int64_t now)
{
	share->asked = false;
	quota_share_overdue(share, now);
}

int64_t quota_share_retry_after(const struct quota_share *share, int64_t now)
{
	return MAX(MAX(share->refused_until, share->silent_until) - now,
		   REFUSED_MIN_NS);
}

#include "dist/dist_internal.h"

/* The gossip policy: few readers of the source, announcements, anti-entropy. */

static int64_t stale_from(const struct dist *dist, size_t rank)
{
	int64_t base = dist->reading_since;

	if (dist->has_confirmation)
		base = MAX(base, dist->confirmation);
	return base + CONFIRMATION_FRESH + (int64_t)(rank - 1) * TAKE_OVER_STEP;
}

static bool gossip_watches(const struct dist *dist, int64_t now)
{
	size_t rank = member_rank(dist->member, now);

	return rank < NR_READERS || now > stale_from(dist, rank);
}

static int64_t gossip_watches_from(const struct dist *dist, int64_t now)
{
	size_t rank = member_rank(dist->member, now);

	return rank < NR_READERS ? now : stale_from(dist, rank) + 1;
}

static void announce_to_hosts(struct dist *dist,
			      const struct member_host *const *hosts, size_t nr,
			      int64_t now)
{
	for (size_t i = 0; i < nr; i++) {
		struct holder peer;

		holder_of(&peer, hosts[i]);
		announce_to(dist, &peer, false, now);
	}
}

/* Announces to random seeds, in place of members without a host list. */
static void announce_to_seeds(struct dist *dist, size_t nr, int64_t now)
{
	nr = MIN(nr, member_count_seeds(dist->member));
	for (size_t i = 0; i < nr; i++) {
		struct holder peer = { 0 };

		g_strlcpy(peer.control, member_sample_seed(dist->member),
			  sizeof(peer.control));
		announce_to(dist, &peer, dist->muted, now);
	}
}

static void gossip_spread(struct dist *dist, int64_t now)
{
	const struct member_host *hosts[2 * ANNOUNCE_FANOUT];
	size_t other, own;

	if (dist->muted)
		return;
	if (!member_has_list(dist->member)) {
		announce_to_seeds(dist, ANNOUNCE_FANOUT, now);
		return;
	}
	/* A small own zone is compensated by other zones, and vice versa. */
	own = member_sample(dist->member, MEMBER_OWN_ZONE, ANNOUNCE_FANOUT,
			    hosts, now);
	other = member_sample(dist->member, MEMBER_OTHER_ZONE, ANNOUNCE_FANOUT,
			      &hosts[own], now);
	if (!other) {
		announce_to_hosts(dist, hosts, own, now);
		return;
	}
	announce_to_hosts(dist, hosts, MIN(own, ANNOUNCE_FANOUT - 1), now);
	announce_to_hosts(dist, &hosts[own],
			  MIN(other,
			      ANNOUNCE_FANOUT - MIN(own, ANNOUNCE_FANOUT - 1)),
			  now);
}

/*
 * One in four exchanges goes to a suspected member, and each one when all
 * members are suspected. Otherwise the two sides of a healed partition, which
 * suspect each other, would exchange nothing for up to MEMBER_SUSPECT_NS.
 */
static void gossip_exchange(struct dist *dist, int64_t now)
{
	const struct member_host *host;
	size_t drawn = 0;

	if (!member_has_list(dist->member)) {
		announce_to_seeds(dist, 1, now);
		return;
	}
	if (!rng_below(dist->rng, 4))
		drawn = member_sample(dist->member, MEMBER_SUSPECTED, 1, &host,
				      now);
	if (!drawn)
		drawn = member_sample(dist->member, MEMBER_ANY_ZONE, 1, &host,
				      now);
	if (!drawn)
		drawn = member_sample(dist->member, MEMBER_SUSPECTED, 1, &host,
				      now);
	announce_to_hosts(dist, &host, drawn, now);
}

const struct dist_policy dist_policy_gossip = {
	.name = "gossip",
	.watches = gossip_watches,
	.watches_from = gossip_watches_from,
	.spread = gossip_spread,
	.exchange = gossip_exchange,
	.uses_peers = true,
	.reuses_parts = true,
};

/* The baseline: every daemon watches the source and reads all parts there. */

static bool direct_watches(const struct dist *dist, int64_t now)
{
	(void)dist;
	(void)now;
	return true;
}

static int64_t direct_watches_from(const struct dist *dist, int64_t now)
{
	(void)dist;
	return now;
}

static void direct_no_op(struct dist *dist, int64_t now)
{
	(void)dist;
	(void)now;
}

const struct dist_policy dist_policy_direct = {
	.name = "direct",
	.watches = direct_watches,
	.watches_from = direct_watches_from,
	.spread = direct_no_op,
	.exchange = direct_no_op,
	.uses_peers = false,
	.reuses_parts = false,
};

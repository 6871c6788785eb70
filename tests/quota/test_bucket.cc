#include <gtest/gtest.h>

#include <deque>
#include <string>
#include <vector>

extern "C" {
#include "base/clock.h"
#include "quota/quota.h"
}

namespace
{

const struct quota_bounds BOUNDS = { 5 * NS_PER_SEC, 0.25, 20 };

/*
 * Guards against parts of the design that together exceed the bound, for slow,
 * fast, bursty and plain limits.
 */
TEST(QuotaBounds, PartsAddUpToLessThanTheBound)
{
	for (double rate : { 0.1, 1.0, 40.0, 261.0, 20000.0 }) {
		for (double burst : { 0.0, 1.0, 261.0, 5000.0 }) {
			struct quota_limit limit = { rate, burst };
			double lease_s =
				(double)quota_lease_ns(&BOUNDS) / NS_PER_SEC;
			double sum = quota_depth(&BOUNDS, &limit) + rate * 5 +
				     1.25 * rate * lease_s;

			for (int rank = 0; rank < 70; rank++)
				sum += quota_fallback(&BOUNDS, &limit, 70,
						      rank);
			EXPECT_LE(sum, quota_allowed(&BOUNDS, &limit,
						     BOUNDS.window_ns))
				<< rate << " " << burst;
		}
	}
}

/* Guards against grants beyond the depth, and against a wrong refill. */
TEST(QuotaBucket, GrantsDepthThenRate)
{
	struct quota_limit limit = { 100, 50 };
	struct quota_bucket bucket;
	int64_t now = NS_PER_SEC;

	quota_bucket_init(&bucket, now);
	EXPECT_EQ(quota_bucket_grant(&bucket, &BOUNDS, &limit, 10, 0, now), 0);
	EXPECT_GT(quota_bucket_wait(&bucket, &limit, now), 9 * NS_PER_MS);
	now += 10 * NS_PER_SEC;
	EXPECT_EQ(quota_bucket_grant(&bucket, &BOUNDS, &limit, 500, 0, now),
		  50);
	now += 100 * NS_PER_MS;
	EXPECT_EQ(quota_bucket_grant(&bucket, &BOUNDS, &limit, 500, 0, now),
		  10);
	/* A lowered limit cuts the bucket at once. */
	now += 10 * NS_PER_SEC;
	limit.burst = limit.rate_per_s = 10;
	EXPECT_LE(quota_bucket_grant(&bucket, &BOUNDS, &limit, 500, 0, now),
		  11);
}

/*
 * Guards against tokens that add up beyond the burst because they are granted,
 * held for most of the lease, returned and granted again.
 */
TEST(QuotaBucket, ReturnedTokensDoNotAddUp)
{
	struct quota_limit limit = { 100, 50 };
	struct quota_bucket bucket;
	int64_t now = NS_PER_SEC;
	std::deque<int> grants(10);
	int held = 0, most = 0;

	quota_bucket_init(&bucket, now);
	for (int i = 0; i < 500; i++) {
		now += 20 * NS_PER_MS;
		grants.push_back(quota_bucket_grant(&bucket, &BOUNDS, &limit,
						    1000, grants.front(), now));
		held += grants.back() - grants.front();
		grants.pop_front();
		most = std::max(most, held);
	}
	EXPECT_LE(most, 50 + 1.25 * 100 * 0.3 + 1);
	EXPECT_GE(most, 50);
}

/* Guards against a token that is used after its lease has ended. */
TEST(QuotaShare, TokensEndWithTheirLease)
{
	struct quota_share share = {};
	int64_t now = NS_PER_SEC, lease = quota_lease_ns(&BOUNDS);

	EXPECT_EQ(quota_share_take(&share, &BOUNDS, 0, now), QUOTA_WAIT);
	EXPECT_EQ(quota_share_wanted(&share, &BOUNDS, now), 1);
	quota_share_ask(&share, 1, now);
	quota_share_granted(&share, 3, lease, 0, now + NS_PER_MS);
	EXPECT_EQ(quota_share_take_waiting(&share, &BOUNDS, 0, now),
		  QUOTA_TAKEN);
	EXPECT_EQ(quota_share_take(&share, &BOUNDS, 0, now + lease - 1),
		  QUOTA_TAKEN);
	EXPECT_EQ(quota_share_take(&share, &BOUNDS, 0, now + lease),
		  QUOTA_WAIT);
}

/*
 * Guards against a fallback that allows more than its share within a window,
 * and against one that is used although the owner has refused.
 */
TEST(QuotaShare, FallbackIsBoundedInEveryWindow)
{
	struct quota_share share = {};
	std::vector<int64_t> starts;

	for (int64_t now = NS_PER_SEC; now < 30 * NS_PER_SEC;
	     now += 10 * NS_PER_MS) {
		quota_share_failed(&share, now);
		if (quota_share_take(&share, &BOUNDS, 4, now) == QUOTA_TAKEN)
			starts.push_back(now);
	}
	EXPECT_GE(starts.size(), 20u);
	for (size_t i = 4; i < starts.size(); i++)
		EXPECT_GE(starts[i] - starts[i - 4], BOUNDS.window_ns);
	quota_share_granted(&share, 0, 0, 0, 40 * NS_PER_SEC);
	share.waiting = share.asked_tokens = 1;
	quota_share_granted(&share, 0, 0, 0, 40 * NS_PER_SEC);
	EXPECT_EQ(quota_share_take(&share, &BOUNDS, 4, 40 * NS_PER_SEC),
		  QUOTA_REFUSED);
	quota_share_release(&share);
}

/* Guards against an owner that changes for more organisations than needed. */
TEST(QuotaMembers, OnlyTheOrganisationsOfALostDaemonMove)
{
	struct quota_members *all = quota_members_new();
	struct quota_members *fewer = quota_members_new();

	for (int i = 9; i >= 0; i--) {
		std::string ip = "10.0.0." + std::to_string(i);

		quota_members_add(all, ip.c_str());
		quota_members_add(all, ip.c_str());
		if (i != 4)
			quota_members_add(fewer, ip.c_str());
	}
	EXPECT_EQ(all->ips->len, 10u);
	for (uint64_t id = 0; id < 1000; id++) {
		std::string owner = quota_members_owner(all, id);

		if (owner != "10.0.0.4") {
			EXPECT_EQ(owner, quota_members_owner(fewer, id));
		}
		EXPECT_EQ(quota_members_rank(all, id, owner.c_str()), 0);
	}
	quota_members_free(all);
	quota_members_free(fewer);
}

} // namespace

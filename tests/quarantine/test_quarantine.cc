#include "quarantine_model.h"

#include <set>

/* Guards against equal fingerprints of requests whose parts, joined, match. */
TEST(Fingerprint, DependsOnBoundariesOfParts)
{
	std::set<uint64_t> prints = {
		quarantine_fingerprint("ab", "c", "d", "e", 1),
		quarantine_fingerprint("a", "bc", "d", "e", 1),
		quarantine_fingerprint("a", "b", "cd", "e", 1),
		quarantine_fingerprint("a", "b", "c", "de", 2),
		quarantine_fingerprint("a", "b", "cde", "", 0),
		quarantine_fingerprint("a", "b", "cde", nullptr, 0),
	};

	EXPECT_EQ(prints.size(), 5u);
}

/* Guards against refusing a request that was in flight during one crash. */
TEST(Quarantine, AdmitsRequestsInFlightDuringOneCrash)
{
	struct quarantine_options options = { 1, 2, 1000, 0 };
	struct quarantine *q = quarantine_new(&options);
	int64_t until;

	for (uint64_t life = 1; life <= 2; life++) {
		quarantine_crash(q, 7, life, 10, nullptr);
		/* A second copy in flight must not count again. */
		quarantine_crash(q, 7, life, 10, nullptr);
		quarantine_crash(q, 100 + life, life, 10, nullptr);
		quarantine_crash(q, 8, life, 10, nullptr);
		quarantine_success(q, 8, 11);
		EXPECT_EQ(quarantine_check(q, 7, 11, nullptr), life == 2);
	}
	EXPECT_FALSE(quarantine_check(q, 101, 11, nullptr));
	EXPECT_FALSE(quarantine_check(q, 102, 11, nullptr));
	EXPECT_FALSE(quarantine_check(q, 8, 11, nullptr));
	EXPECT_TRUE(quarantine_check(q, 7, 1009, &until));
	EXPECT_EQ(until, 1010);
	EXPECT_FALSE(quarantine_check(q, 7, 1010, nullptr));
	quarantine_free(q);
}

/* Guards against merging invalid entries from a peer. */
TEST(Quarantine, IgnoresInvalidEntries)
{
	struct quarantine_options options = { 1, 1, 1000, 0 };
	struct quarantine *q = quarantine_new(&options);
	const struct quarantine_entry bad[] = {
		{ 7, 2, 0, 0, 100 },
		{ 7, 2, 1, 2, 100 },
		{ 7, 2, 1, 0, 0 },
		{ 7, 1, 1, 0, 100 }, /* of the own origin */
	};

	for (auto &entry : bad)
		EXPECT_FALSE(quarantine_merge(q, &entry, 0));
	EXPECT_EQ(quarantine_expire(q, 0), 0u);
	quarantine_free(q);
}

/*
 * Guards against crashing requests that are not refused, other requests that
 * are, and quarantines that do not end.
 */
TEST(Fuzz, QuarantineModel)
{
	for (Delivery delivery :
	     { Delivery::Lossy, Delivery::Prompt, Delivery::Crowded })
		fuzzWorld<QuarantineModel>(delivery);
}

TEST(Mutant, QuarantineModel)
{
	const char *delivery = std::getenv("DELIVERY");

	expectViolation<QuarantineModel>(!delivery ? Delivery::Lossy
					 : *delivery == 'p'
						 ? Delivery::Prompt
						 : Delivery::Crowded);
}

#include "ward.h"

#include <set>

/* Guards against two requests that share a fingerprint by their borders. */
TEST(Fingerprint, SeparatesItsParts)
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
TEST(Quarantine, SparesNeighbours)
{
	struct quarantine_options options = { 1, 2, 1000, 0 };
	struct quarantine *q = quarantine_new(&options);
	int64_t until;

	for (uint64_t life = 1; life <= 2; life++) {
		quarantine_crash(q, 7, life, 10, nullptr);
		/* Two copies in flight are one crash. */
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

/* Guards against nonsense from a peer taken as news. */
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

/* Guards against killers that run on, neighbours refused, no end of it. */
TEST(Fuzz, Ward)
{
	for (Spread spread : { Spread::Slow, Spread::Prompt, Spread::Crowded })
		fuzzWorld<Ward>(spread);
}

TEST(Mutant, Ward)
{
	const char *spread = std::getenv("SPREAD");

	expectViolation<Ward>(!spread	       ? Spread::Slow
			      : *spread == 'p' ? Spread::Prompt
					       : Spread::Crowded);
}

#include "quarantine_model.h"

#include <set>
#include <vector>

extern "C" {
#include "base/clock.h"
}

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

/* The fingerprints exported after a position, which is moved. */
std::vector<uint64_t> export_after(const struct quarantine *q,
				   uint64_t *position, int64_t now, size_t max)
{
	std::vector<struct quarantine_entry> entries(max);
	std::vector<uint64_t> prints;

	entries.resize(
		quarantine_export_after(q, position, now, entries.data(), max));
	for (const struct quarantine_entry &entry : entries)
		prints.push_back(entry.fingerprint);
	return prints;
}

/*
 * Guards against a peer that never gets a crash that it has not confirmed, and
 * against crashes that are sent to it over and over.
 */
TEST(Quarantine, PeerGetsEachChangeOnce)
{
	const int64_t lasts = 1000 * NS_PER_MS;
	struct quarantine_options options = { 1, 2, lasts, 0 };
	struct quarantine *q = quarantine_new(&options);
	const struct quarantine_entry received = { 9, 2, 1, 0, 5000 };
	uint64_t position = 0, other = 0;
	using Prints = std::vector<uint64_t>;

	EXPECT_EQ(export_after(q, &position, 0, 4), Prints());
	quarantine_crash(q, 7, 1, 0, nullptr);
	quarantine_crash(q, 8, 1, 0, nullptr);
	EXPECT_TRUE(quarantine_merge(q, &received, 0));
	EXPECT_EQ(export_after(q, &position, 0, 2), Prints({ 7, 8 }));
	EXPECT_EQ(export_after(q, &position, 0, 2), Prints({ 9 }));
	EXPECT_EQ(export_after(q, &position, 0, 2), Prints());
	/* Received again, it is no change. */
	EXPECT_FALSE(quarantine_merge(q, &received, 0));
	EXPECT_EQ(export_after(q, &position, 0, 2), Prints());
	quarantine_crash(q, 7, 2, 1, nullptr);
	quarantine_success(q, 8, 1);
	EXPECT_EQ(export_after(q, &position, 1, 4), Prints({ 7, 8 }));
	/* A peer that knows nothing gets all, each as it is now. */
	EXPECT_EQ(export_after(q, &other, 1, 4), Prints({ 9, 7, 8 }));
	/* Entries that have ended are passed over. */
	other = 0;
	EXPECT_EQ(export_after(q, &other, lasts, 4), Prints());
	EXPECT_EQ(other, position);
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

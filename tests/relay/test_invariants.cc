#include <gtest/gtest.h>

#include "invariants.h"

namespace
{

/*
 * Guards against a soak that passes whatever happens: plants a violation of
 * each invariant and expects it, and only it, to be reported.
 */
TEST(Invariants, EachViolationIsDetected)
{
	const std::map<std::string, SentRequest> sent = {
		{ "order", { true, 200 } },
		{ "refused", { true, 503 } },
		{ "lookup", { false, 200 } },
		{ "lost", { true, 502 } },
	};
	const std::map<std::string, int> good = { { "order", 1 },
						  { "lookup", 2 },
						  { "lost", 1 } };
	static const struct {
		const char *id;
		int runs;
		size_t invariant;
	} violations[] = {
		{ "order", 2, 0 }, /* run twice */
		{ "lost", 2, 0 },  /* run twice, and the caller got an error */
		{ "refused", 1, 1 }, { "lookup", 0, 2 }, { "nobody's", 1, 3 },
	};

	for (const CheckResult &check : check_invariants(sent, good)) {
		EXPECT_GT(check.checked, 0) << check.invariant;
		EXPECT_EQ(check.violated, 0) << check.invariant;
	}
	for (const auto &violation : violations) {
		std::map<std::string, int> runs = good;
		std::vector<CheckResult> checks;

		runs[violation.id] = violation.runs;
		if (!violation.runs)
			runs.erase(violation.id);
		checks = check_invariants(sent, runs);
		for (size_t i = 0; i < checks.size(); i++)
			EXPECT_EQ(checks[i].violated, i == violation.invariant)
				<< violation.id << ": " << checks[i].invariant;
	}
}

} // namespace

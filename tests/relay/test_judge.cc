#include <gtest/gtest.h>

#include "judge.h"

namespace
{

/* Guards against a soak that passes whatever happens: each fault is planted. */
TEST(Judge, CatchesOnePlantedFaultOfEachPromise)
{
	const std::map<std::string, Sent> sent = {
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
		size_t promise;
	} faults[] = {
		{ "order", 2, 0 }, /* doubled */
		{ "lost", 2, 0 },  /* doubled, and the caller does not know */
		{ "refused", 1, 1 }, { "lookup", 0, 2 }, { "nobody's", 1, 3 },
	};

	for (const Check &check : judge(sent, good)) {
		EXPECT_GT(check.judged, 0) << check.promise;
		EXPECT_EQ(check.broken, 0) << check.promise;
	}
	for (const auto &fault : faults) {
		std::map<std::string, int> runs = good;
		std::vector<Check> checks;

		runs[fault.id] = fault.runs;
		if (!fault.runs)
			runs.erase(fault.id);
		checks = judge(sent, runs);
		for (size_t i = 0; i < checks.size(); i++)
			EXPECT_EQ(checks[i].broken, i == fault.promise)
				<< fault.id << ": " << checks[i].promise;
	}
}

} // namespace

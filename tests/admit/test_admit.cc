#include "admit_model.h"

#include <map>

namespace
{
constexpr int64_t kMs = 1000000;

const struct admit_limit_policy *const kPolicies[] = { &admit_limit_fixed,
						       &admit_limit_time,
						       &admit_limit_observed };

struct admit_options fixedOptions(int slots, int queue_max)
{
	struct admit_options options = {};

	options.slots = slots;
	options.cold_slots = 1;
	options.queue_max = queue_max;
	options.ramp_ns = 1000 * kMs;
	options.limit_policy = &admit_limit_fixed;
	return options;
}
} // namespace

/* Guards against a caller that gets more starts by sending more requests. */
TEST(Admit, SharesStartsBetweenCallers)
{
	struct admit_options options = fixedOptions(1, 100);
	struct admit *admit = admit_new(&options, 0);
	std::vector<struct admit_request> requests(100);
	std::map<uint64_t, int> starts;
	struct admit_request *request = nullptr, *displaced;
	CDS_LIST_HEAD(expired);

	for (std::size_t i = 0; i < requests.size(); i++) {
		requests[i].priority = ADMIT_LOOKUP;
		requests[i].caller = i < 80 ? 1 : 2;
		requests[i].deadline = INT64_MAX;
		if (admit_arrive(admit, &requests[i], 0, &displaced) ==
		    ADMIT_RUN)
			request = &requests[i];
	}
	for (int i = 0; i < 20; i++) {
		admit_done(admit, request, ADMIT_ANSWERED, i * kMs);
		request = admit_next(admit, i * kMs, &expired);
		starts[request->caller]++;
	}
	EXPECT_EQ(starts[1], 10);
	EXPECT_EQ(starts[2], 10);
	for (auto &each : requests)
		admit_cancel(admit, &each);
	admit_free(admit);
}

/* Guards against requests lost when new settings reduce the queue. */
TEST(Admit, KeepsRequestsWhenQueueShrinks)
{
	struct admit_options options = fixedOptions(2, 10);
	struct admit *admit = admit_new(&options, 0);
	std::vector<struct admit_request> requests(12);
	struct admit_request *displaced;
	CDS_LIST_HEAD(expired);

	for (auto &request : requests) {
		request.deadline = INT64_MAX;
		admit_arrive(admit, &request, 0, &displaced);
	}
	options = fixedOptions(1, 0);
	admit_set_policy(admit, &options, 0);
	EXPECT_EQ(admit_running(admit), 2);
	EXPECT_EQ(admit_queued(admit), 10);
	admit_done(admit, &requests[0], ADMIT_ANSWERED, kMs);
	EXPECT_EQ(admit_next(admit, kMs, &expired), nullptr);
	admit_done(admit, &requests[1], ADMIT_ANSWERED, kMs);
	for (int i = 2; i < 12; i++) {
		struct admit_request *next = admit_next(admit, kMs, &expired);

		ASSERT_NE(next, nullptr);
		admit_done(admit, next, ADMIT_ANSWERED, kMs);
	}
	EXPECT_EQ(admit_queued(admit), 0);
	admit_free(admit);
}

/* Guards against a limit that rises on the slow answers of a cold server. */
TEST(Admit, SlowAnswersDoNotRaiseLimit)
{
	struct admit_options options = fixedOptions(4, 0);
	struct admit_request request = {}, *displaced;
	int64_t now = 0;

	options.limit_policy = &admit_limit_observed;
	struct admit *admit = admit_new(&options, now);
	auto run = [&](int64_t service) {
		request.deadline = INT64_MAX;
		ASSERT_EQ(admit_arrive(admit, &request, now, &displaced),
			  ADMIT_RUN);
		now += service;
		admit_done(admit, &request, ADMIT_ANSWERED, now);
	};
	for (int i = 0; i < 1000; i++)
		run(10 * kMs);
	EXPECT_EQ(admit_limit(admit, now), 4);
	ASSERT_TRUE(admit_backend_lost(admit, admit_life(admit), now));
	EXPECT_TRUE(admit_cold(admit));
	for (int i = 0; i < 30; i++)
		run(100 * kMs);
	EXPECT_EQ(admit_limit(admit, now), 1);
	for (int i = 0; i < 200; i++)
		run(10 * kMs);
	EXPECT_EQ(admit_limit(admit, now), 4);
	admit_free(admit);
}

/* Guards against an empty dump caused by an error in its format string. */
TEST(Admit, DumpHasLimitAndQueues)
{
	struct admit_options options = fixedOptions(3, 10);
	struct admit *admit = admit_new(&options, 0);
	json_t *dump = admit_dump(admit);

	EXPECT_EQ(json_integer_value(json_object_get(dump, "limit")), 3);
	EXPECT_EQ(json_object_size(json_object_get(dump, "queued")), 3u);
	json_decref(dump);
	admit_free(admit);
	EXPECT_STREQ(admit_verdict_name(ADMIT_REFUSED_DRAINING), "draining");
}

/*
 * Guards against overload, starvation, lost requests and a limit that stops
 * rising.
 */
TEST(Fuzz, AdmitModel)
{
	for (auto *policy : kPolicies)
		fuzzWorld<AdmitModel>(policy);
}

TEST(Mutant, AdmitModel)
{
	const char *name = std::getenv("POLICY");

	expectViolation<AdmitModel>(name && *name == 't'
					    ? &admit_limit_time
					    : &admit_limit_observed);
}

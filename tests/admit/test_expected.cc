#include <gtest/gtest.h>

#include <vector>

extern "C" {
#include "admit/admit.h"
#include "base/clock.h"
}

namespace
{
constexpr int64_t kMs = NS_PER_MS;

/* A server of one slot that is at a request of 10 ms and has others queued. */
class AdmitExpected : public testing::Test
{
      protected:
	AdmitExpected()
	{
		struct admit_options options = {};

		options.slots = options.cold_slots = 1;
		options.queue_max = 10;
		options.limit_policy = &admit_limit_fixed;
		admit = admit_new(&options, 0);
		requests[0].priority = ADMIT_LOOKUP;
		requests[0].deadline = INT64_MAX;
		EXPECT_EQ(admit_arrive(admit, &requests[0], 0, &displaced),
			  ADMIT_RUN);
		admit_done(admit, &requests[0], ADMIT_ANSWERED, 10 * kMs);
		EXPECT_EQ(admit_arrive(admit, &requests[0], 10 * kMs,
				       &displaced),
			  ADMIT_RUN);
	}
	~AdmitExpected() override
	{
		for (auto &request : requests)
			admit_cancel(admit, &request);
		admit_free(admit);
	}
	enum admit_verdict arrive(int64_t expected_ns, int64_t due)
	{
		struct admit_request &request = requests[nr++];

		request.priority = ADMIT_LOOKUP;
		request.deadline = INT64_MAX;
		request.due = due;
		request.expected_ns = expected_ns;
		return admit_arrive(admit, &request, 10 * kMs, &displaced);
	}

	struct admit *admit;
	struct admit_request *displaced = nullptr;
	std::vector<struct admit_request> requests =
		std::vector<struct admit_request>(10);
	size_t nr = 1;
};

/* Guards against a run of much work that begins though it ends too late. */
TEST_F(AdmitExpected, RefusesWorkThatCannotEndInTime)
{
	EXPECT_EQ(arrive(100 * kMs, 60 * kMs), ADMIT_REFUSED_DEADLINE);
	EXPECT_EQ(arrive(30 * kMs, 60 * kMs), ADMIT_QUEUED);
}

/* Guards against a wait by the number of queued requests, not their work. */
TEST_F(AdmitExpected, CountsTheWorkOfQueuedRequests)
{
	EXPECT_EQ(arrive(100 * kMs, 0), ADMIT_QUEUED);
	EXPECT_EQ(arrive(10 * kMs, 60 * kMs), ADMIT_REFUSED_DEADLINE);
	EXPECT_EQ(arrive(10 * kMs, 150 * kMs), ADMIT_QUEUED);
	EXPECT_EQ(admit_queued(admit), 2);
}

/* Guards against a change for requests whose work is not known. */
TEST_F(AdmitExpected, UnknownWorkGoesByTheMean)
{
	EXPECT_EQ(arrive(0, 15 * kMs), ADMIT_REFUSED_DEADLINE);
	EXPECT_EQ(arrive(0, 25 * kMs), ADMIT_QUEUED);
}

} // namespace

#include <gtest/gtest.h>

#include <vector>

extern "C" {
#include "admit/admit.h"
}

/* Precedence of the organisation's level over the request's priority. */

namespace
{

struct admit_request make(int level, enum admit_priority priority,
			  uint64_t caller = 1)
{
	struct admit_request request = {};

	request.level = level;
	request.priority = priority;
	request.caller = caller;
	request.deadline = INT64_MAX;
	return request;
}

struct admit *make_admit(int queue_max)
{
	struct admit_options options = {};

	options.slots = options.cold_slots = 1;
	options.queue_max = queue_max;
	options.limit_policy = &admit_limit_fixed;
	return admit_new(&options, 0);
}

/*
 * Guards against a queue that starts an order of a less urgent organisation
 * before a background request of a more urgent one, or that ignores the
 * priority among equal organisations.
 */
TEST(AdmitLevel, LevelDecidesBeforePriority)
{
	struct admit *admit = make_admit(8);
	struct admit_request running = make(0, ADMIT_ORDER);
	struct admit_request order2 = make(2, ADMIT_ORDER);
	struct admit_request lookup1 = make(1, ADMIT_LOOKUP);
	struct admit_request order1 = make(1, ADMIT_ORDER);
	struct admit_request background0 = make(0, ADMIT_BACKGROUND);
	struct admit_request *displaced;
	struct cds_list_head expired;
	std::vector<struct admit_request *> started;

	CDS_INIT_LIST_HEAD(&expired);
	EXPECT_EQ(admit_arrive(admit, &running, 0, &displaced), ADMIT_RUN);
	for (struct admit_request *request :
	     { &order2, &lookup1, &order1, &background0 })
		EXPECT_EQ(admit_arrive(admit, request, 0, &displaced),
			  ADMIT_QUEUED);
	for (struct admit_request *next = &running; next;
	     next = admit_next(admit, 1, &expired)) {
		if (next != &running)
			started.push_back(next);
		admit_done(admit, next, ADMIT_ANSWERED, 1);
	}
	EXPECT_EQ(started, (std::vector<struct admit_request *>{
				   &background0, &order1, &lookup1, &order2 }));
	admit_free(admit);
}

/*
 * Guards against a full queue that refuses the request of a more urgent
 * organisation while it holds one of a less urgent organisation, and against
 * the reverse.
 */
TEST(AdmitLevel, FullQueueDisplacesTheLeastUrgentLevel)
{
	struct admit *admit = make_admit(2);
	struct admit_request running = make(0, ADMIT_ORDER);
	struct admit_request order1 = make(1, ADMIT_ORDER);
	struct admit_request order3 = make(3, ADMIT_ORDER);
	struct admit_request background0 = make(0, ADMIT_BACKGROUND);
	struct admit_request order2 = make(2, ADMIT_ORDER, 2);
	struct admit_request *displaced;

	admit_arrive(admit, &running, 0, &displaced);
	admit_arrive(admit, &order3, 0, &displaced);
	admit_arrive(admit, &order1, 0, &displaced);
	EXPECT_EQ(admit_arrive(admit, &background0, 0, &displaced),
		  ADMIT_QUEUED);
	EXPECT_EQ(displaced, &order3);
	EXPECT_EQ(admit_arrive(admit, &order2, 0, &displaced),
		  ADMIT_REFUSED_FULL);
	EXPECT_TRUE(admit_cancel(admit, &background0));
	EXPECT_TRUE(admit_cancel(admit, &order1));
	admit_done(admit, &running, ADMIT_ANSWERED, 1);
	admit_free(admit);
}

} // namespace

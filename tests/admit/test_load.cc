#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <list>
#include <vector>

extern "C" {
#include "admit/admit.h"
#include "base/clock.h"
#include "base/rng.h"
}

/* Load patterns replayed in virtual time against one backend server. */

namespace
{

struct Request {
	struct admit_request admit; /* first: cast back from results */
	int64_t service_ns;
	int64_t objective;
};

struct Load {
	double per_s = 100;
	double seconds = 20;
	int slots = 12;
	int64_t service_ms = 160;
	int64_t objective_ms = 500;
	int64_t deadline_ms = 1000;
	double orders = 0;	   /* share of requests in the order class */
	bool set_objective = true; /* pass the objective to admit_arrive() */
	/* From this second on service times are slow_factor times as long. */
	double slow_from = INFINITY, slow_factor = 1;
	bool set_due = false; /* pass the objective as admit_request.due */
	/* The process with the queue is suspended; the server runs on. */
	double suspended_at = INFINITY, suspended_s = 0;
};

struct Outcome {
	int arrived = 0, in_objective = 0, late = 0, refused = 0;
	int orders = 0, orders_refused = 0;
	int64_t longest_wait_ns = 0; /* of the refused requests */
	std::vector<int64_t> starts;
};

class Replay
{
      public:
	explicit Replay(const Load &load) : load(load)
	{
		struct admit_options options = {};

		options.slots = load.slots;
		options.cold_slots = load.slots;
		options.queue_max = 3 * load.slots;
		options.limit_policy = &admit_limit_fixed;
		admit = admit_new(&options, 0);
		rng_init(&rng, 7);
	}

	~Replay()
	{
		for (Request *request : running)
			delete request;
		while (step(INT64_MAX))
			;
		admit_free(admit);
	}

	Outcome run()
	{
		int64_t end = (int64_t)(load.seconds * NS_PER_SEC);

		for (int64_t at = gap(); at < end; at += gap()) {
			if ((double)at / NS_PER_SEC >= load.suspended_at) {
				at += (int64_t)(load.suspended_s * NS_PER_SEC);
				load.suspended_at = INFINITY;
				now = at;
			}
			while (step(at))
				;
			now = at;
			arrive();
		}
		while (step(INT64_MAX))
			;
		return outcome;
	}

	struct admit *admit;

      private:
	/* Exponentially distributed with mean 1. */
	double draw()
	{
		double u = (double)(rng_next(&rng) >> 11) / (1ull << 53);

		return -std::log(1 - u);
	}

	int64_t gap()
	{
		return (int64_t)(draw() / load.per_s * NS_PER_SEC) + 1;
	}

	double service_factor() const
	{
		return (double)now / NS_PER_SEC >= load.slow_from
			       ? load.slow_factor
			       : 1;
	}

	void refuse(struct admit_request *admitted)
	{
		Request *request = (Request *)admitted;

		outcome.refused++;
		if (admitted->priority == ADMIT_ORDER)
			outcome.orders_refused++;
		outcome.longest_wait_ns = std::max(outcome.longest_wait_ns,
						   now - admitted->arrival);
		delete request;
	}

	void start(struct admit_request *admitted)
	{
		outcome.starts.push_back(now);
		running.push_back((Request *)admitted);
	}

	void arrive()
	{
		struct admit_request *displaced = nullptr;
		Request *request = new Request();

		outcome.arrived++;
		request->service_ns =
			(int64_t)(load.service_ms * NS_PER_MS *
				  (0.5 + draw() / 2) * service_factor());
		request->objective = now + load.objective_ms * NS_PER_MS;
		if (load.set_due)
			request->admit.due = request->objective;
		request->admit.deadline = now + load.deadline_ms * NS_PER_MS;
		request->admit.priority =
			rng_below(&rng, 1000) < load.orders * 1000
				? ADMIT_ORDER
				: ADMIT_LOOKUP;
		if (request->admit.priority == ADMIT_ORDER)
			outcome.orders++;
		else if (load.set_objective)
			request->admit.objective = request->objective;
		switch (admit_arrive(admit, &request->admit, now, &displaced)) {
		case ADMIT_RUN:
			start(&request->admit);
			break;
		case ADMIT_QUEUED:
			break;
		default:
			refuse(&request->admit);
		}
		if (displaced)
			refuse(displaced);
	}

	void start_next()
	{
		struct admit_request *next, *after;
		struct cds_list_head expired;

		CDS_INIT_LIST_HEAD(&expired);
		admit_expire(admit, now, &expired);
		while ((next = admit_next(admit, now, &expired)))
			start(next);
		cds_list_for_each_entry_safe (next, after, &expired, node)
			refuse(next);
	}

	void finish(Request *request)
	{
		running.remove(request);
		admit_done(admit, &request->admit, ADMIT_ANSWERED, now);
		if (now <= request->objective)
			outcome.in_objective++;
		else
			outcome.late++;
		delete request;
	}

	/*
	 * Runs the next end of a request or timer until the time given; false
	 * when there is none.
	 */
	bool step(int64_t until)
	{
		int64_t timer = admit_next_timer(admit);
		Request *first = nullptr;

		for (Request *request : running)
			if (!first || ends(request) < ends(first))
				first = request;
		if (first && ends(first) <= std::min(until, timer)) {
			now = std::max(now, ends(first));
			finish(first);
		} else if (timer < until) {
			now = std::max(now, timer);
		} else {
			return false;
		}
		start_next();
		return true;
	}

	static int64_t ends(const Request *request)
	{
		return request->admit.started + request->service_ns;
	}

	Load load;
	struct rng rng;
	int64_t now = 0;
	std::list<Request *> running;
	Outcome outcome;
};

/*
 * Requests arrive at 1.3 times the rate that the server can serve, as when a
 * third of the servers is lost. Guards against a queue that makes nearly all
 * requests late: a request is queued only if it can still meet its objective.
 */
TEST(AdmitLoad, OverloadIsServedInTimeAndRefusedAtOnce)
{
	Load load;
	Outcome kept, plain;
	double capacity;

	load.per_s = 1.3 * load.slots * 1000 / load.service_ms;
	capacity = load.slots * 1000.0 / load.service_ms * load.seconds;
	kept = Replay(load).run();
	load.set_objective = false;
	plain = Replay(load).run();
	EXPECT_GE(kept.in_objective, 0.85 * capacity);
	EXPECT_GE(kept.in_objective, 1.5 * plain.in_objective);
	/* Refusals must not leave slots unused: about as many are served. */
	EXPECT_GE(kept.in_objective + kept.late,
		  0.95 * (plain.in_objective + plain.late));
	EXPECT_LE(kept.longest_wait_ns, load.objective_ms * NS_PER_MS);
}

/* Guards against orders that are refused because lookups fill the queue. */
TEST(AdmitLoad, OrdersAreServedInAnOverloadOfLookups)
{
	Load load;
	Outcome outcome;

	load.per_s = 1.5 * load.slots * 1000 / load.service_ms;
	load.orders = 0.25;
	outcome = Replay(load).run();
	EXPECT_GT(outcome.orders, 100);
	EXPECT_LE(outcome.orders_refused, outcome.orders / 100);
	EXPECT_GT(outcome.refused, outcome.arrived / 5);
}

/*
 * A server at half load becomes 12 times slower, so that all its answers are
 * late. Guards against requests that are sent to it until the mean service time
 * has adapted, which took 16 late answers: the ages of the running requests
 * must count as well.
 */
TEST(AdmitLoad, ServerThatBecomesSlowRefusesSoon)
{
	Load load;
	Outcome with_due, plain;

	load.per_s = 0.5 * load.slots * 1000 / load.service_ms;
	load.deadline_ms = 3000;
	load.slow_from = 5;
	load.slow_factor = 12;
	plain = Replay(load).run();
	load.set_due = true;
	with_due = Replay(load).run();
	EXPECT_GT(plain.late, 50);
	EXPECT_LE(with_due.late, 30);
	EXPECT_GE(with_due.in_objective, plain.in_objective * 9 / 10);
}

/*
 * A daemon that was suspended for 5 s reads answers that its server sent in
 * time. Guards against service times of 5 s measured from them, which made it
 * refuse the requests of the next second as too late.
 */
TEST(AdmitLoad, ProcessPauseDoesNotRaiseServiceTimes)
{
	Load load;
	Outcome outcome;

	load.per_s = 0.6 * load.slots * 1000 / load.service_ms;
	load.suspended_at = 5;
	load.suspended_s = 5;
	load.set_due = true;
	outcome = Replay(load).run();
	EXPECT_LE(outcome.refused, outcome.arrived / 200);
	/* Only the requests that ran during the pause are late. */
	EXPECT_LE(outcome.late, load.slots);
}

/* Guards against refusals while the load is below the server's capacity. */
TEST(AdmitLoad, LoadBelowCapacityIsNotRefused)
{
	Load load;
	Outcome outcome;

	load.per_s = 0.6 * load.slots * 1000 / load.service_ms;
	outcome = Replay(load).run();
	EXPECT_LE(outcome.refused, outcome.arrived / 200);
	load.set_due = true;
	outcome = Replay(load).run();
	EXPECT_LE(outcome.refused, outcome.arrived / 200);
}

size_t starts_before(const Outcome &outcome, int64_t end)
{
	return (size_t)std::count_if(outcome.starts.begin(),
				     outcome.starts.end(),
				     [end](int64_t at) { return at < end; });
}

/* The largest number of starts in any second that ends before the time. */
size_t most_in_a_second(const Outcome &outcome, int64_t end)
{
	size_t most = 0, first = 0;

	for (size_t i = 0; i < starts_before(outcome, end); i++) {
		while (outcome.starts[first] <= outcome.starts[i] - NS_PER_SEC)
			first++;
		most = std::max(most, i - first + 1);
	}
	return most;
}

struct ColdCase {
	double per_s, overage;
	int slack;
	size_t least; /* minimum number of starts while the server is cold */
};

/*
 * The load is above the rate that a server tolerates while it is cold, for 3 s.
 * Guards against more starts in any second than the bound allows, and against a
 * rate that is too low: after a power failure, a whole service refused half of
 * the requests that it could have served.
 */
TEST(AdmitLoad, StartsOfColdServerAreRateLimited)
{
	const ColdCase cases[] = { { 16, 1.5, 5, 66 },
				   { 16, 1.5, 8, 66 },
				   { 4, 1, 2, 10 },
				   { 1, 1, 0, 1 } };
	const int64_t warm = 3 * NS_PER_SEC;
	Load load;

	load.per_s = 200;
	load.seconds = 5;
	load.slots = 50;
	load.service_ms = 20;
	for (const ColdCase &c : cases) {
		struct admit_cold_rate rate =
			admit_cold_rate_within(c.per_s, c.overage, c.slack);
		Replay replay(load);
		Outcome outcome;

		admit_set_cold(replay.admit, &rate, warm, 0, 0);
		outcome = replay.run();
		EXPECT_LE((double)most_in_a_second(outcome, warm),
			  c.per_s * c.overage + c.slack);
		EXPECT_GE(starts_before(outcome, warm), c.least) << c.per_s;
		EXPECT_GE(outcome.starts.size(), 300u);
	}
}

/*
 * A server gets 40 requests a second and is found to be cold half a second
 * after it was warm for the last time; then more requests come than may start.
 * Guards against starts at the cold rate on top of those that came before it
 * applied, and against a limit that counts starts while the server was warm.
 */
TEST(AdmitLoad, ColdLimitCountsTheStartsBeforeItWasNoticed)
{
	const int64_t last_warm = 9 * NS_PER_SEC;
	const int64_t noticed = last_warm + NS_PER_SEC / 2;
	const int64_t warm = noticed + 3 * NS_PER_SEC;
	struct admit_cold_rate rate = admit_cold_rate_within(16, 1.5, 5);
	struct admit_options options = {};
	struct admit_request request = {}, *displaced;
	struct admit *admit;
	Outcome outcome;

	options.slots = options.cold_slots = 4;
	options.limit_policy = &admit_limit_fixed;
	admit = admit_new(&options, 0);
	request.deadline = INT64_MAX;
	for (int64_t now = last_warm - NS_PER_SEC; now < warm;
	     now += NS_PER_MS) {
		if (now == noticed)
			admit_set_cold(admit, &rate, warm, last_warm, now);
		if (now < noticed && now % (25 * NS_PER_MS))
			continue;
		if (admit_arrive(admit, &request, now, &displaced) != ADMIT_RUN)
			continue;
		admit_done(admit, &request, ADMIT_ANSWERED, now);
		if (now > last_warm)
			outcome.starts.push_back(now);
	}
	EXPECT_LE(most_in_a_second(outcome, warm), 29u);
	EXPECT_GE(outcome.starts.size() - starts_before(outcome, noticed), 50u);
	admit_free(admit);
}

/*
 * One answer of a server is lost while the others take 100 ms. Guards against a
 * run that is noticed only at its deadline, and against runs that count as
 * overdue because this process was suspended.
 */
TEST(AdmitLoad, RunWhoseAnswerIsLostIsOverdueSoon)
{
	struct admit_options options = {};
	struct admit_request usual = {}, lost = {}, *displaced;
	const int64_t run_ns = 100 * NS_PER_MS;
	int64_t now = NS_PER_SEC;
	struct admit *admit;

	options.slots = options.cold_slots = 4;
	options.limit_policy = &admit_limit_fixed;
	admit = admit_new(&options, now);
	usual.deadline = lost.deadline = INT64_MAX;
	ASSERT_EQ(admit_arrive(admit, &lost, now, &displaced), ADMIT_RUN);
	/* Nothing is known of the server yet. */
	EXPECT_FALSE(admit_is_overdue(admit, &lost, now + 60 * NS_PER_SEC));
	for (int i = 0; i < 10; i++) {
		ASSERT_EQ(admit_arrive(admit, &usual, now, &displaced),
			  ADMIT_RUN);
		now += run_ns;
		admit_done(admit, &usual, ADMIT_ANSWERED, now);
	}
	EXPECT_TRUE(admit_is_overdue(admit, &lost, now));
	admit_done(admit, &lost, ADMIT_FAILED, now);
	ASSERT_EQ(admit_arrive(admit, &lost, now, &displaced), ADMIT_RUN);
	EXPECT_FALSE(admit_is_overdue(admit, &lost, now + 2 * run_ns));
	/* A suspended process cannot tell how long the run took. */
	now += 10 * NS_PER_SEC;
	ASSERT_EQ(admit_arrive(admit, &usual, now, &displaced), ADMIT_RUN);
	EXPECT_FALSE(admit_is_overdue(admit, &lost, now + run_ns));
	admit_done(admit, &usual, ADMIT_ANSWERED, now);
	admit_done(admit, &lost, ADMIT_ANSWERED, now);
	admit_free(admit);
}

} // namespace

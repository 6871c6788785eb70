#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <functional>
#include <set>
#include <string>

extern "C" {
#include "retry/retry.h"
}

namespace
{

struct Row {
	enum failure_reason reason;
	enum outcome outcome;
	int status;
};

/* The expected outcome and HTTP status of every failure reason. */
const Row table[] = {
	{ FAILURE_NONE, OUTCOME_RAN, 0 },
	{ FAILURE_BAD_REQUEST, OUTCOME_NOT_RUN, 400 },
	{ FAILURE_BODY_TOO_LARGE, OUTCOME_NOT_RUN, 413 },
	{ FAILURE_NO_ROUTE, OUTCOME_NOT_RUN, 404 },
	{ FAILURE_INGRESS_DRAINING, OUTCOME_NOT_RUN, 503 },
	{ FAILURE_INGRESS_DEADLINE, OUTCOME_NOT_RUN, 504 },
	{ FAILURE_HOPS, OUTCOME_NOT_RUN, 508 },
	{ FAILURE_NO_TARGET, OUTCOME_NOT_RUN, 503 },
	{ FAILURE_BUDGET, OUTCOME_NOT_RUN, 503 },
	{ FAILURE_QUARANTINED, OUTCOME_NOT_RUN, 422 },
	{ FAILURE_LINK_REFUSED, OUTCOME_NOT_RUN, 502 },
	{ FAILURE_LINK_LOST, OUTCOME_UNKNOWN, 502 },
	{ FAILURE_QUEUE_FULL, OUTCOME_NOT_RUN, 503 },
	{ FAILURE_TARGET_DRAINING, OUTCOME_NOT_RUN, 503 },
	{ FAILURE_TARGET_DEADLINE, OUTCOME_NOT_RUN, 504 },
	{ FAILURE_TARGET_UNSOUND, OUTCOME_NOT_RUN, 503 },
	{ FAILURE_VERSION, OUTCOME_NOT_RUN, 503 },
	{ FAILURE_BACKEND_REFUSED, OUTCOME_NOT_RUN, 502 },
	{ FAILURE_BACKEND_SHED, OUTCOME_NOT_RUN, 503 },
	{ FAILURE_BACKEND_FAILED, OUTCOME_RAN, 0 },
	{ FAILURE_BACKEND_LOST, OUTCOME_UNKNOWN, 502 },
	{ FAILURE_DEADLINE, OUTCOME_UNKNOWN, 504 },
	{ FAILURE_TRUNCATED, OUTCOME_UNKNOWN, 0 },
	{ FAILURE_CANCELLED, OUTCOME_UNKNOWN, 0 },
	{ FAILURE_TICKET_NEEDED, OUTCOME_NOT_RUN, 428 },
	{ FAILURE_TICKET_TOO_FAR, OUTCOME_NOT_RUN, 400 },
	{ FAILURE_TICKET_RECORDS, OUTCOME_NOT_RUN, 503 },
	{ FAILURE_TICKET_REFUSED, OUTCOME_NOT_RUN, 503 },
	{ FAILURE_TICKET_OTHER_REQUEST, OUTCOME_UNKNOWN, 422 },
	{ FAILURE_TICKET_EXPIRED, OUTCOME_UNKNOWN, 409 },
	{ FAILURE_TICKET_INCARNATION, OUTCOME_UNKNOWN, 409 },
	{ FAILURE_TICKET_UNREACHABLE, OUTCOME_UNKNOWN, 502 },
	{ FAILURE_TICKET_RUNNING, OUTCOME_UNKNOWN, 409 },
	{ FAILURE_TICKET_RAN, OUTCOME_RAN, 409 },
	{ FAILURE_QUOTA, OUTCOME_NOT_RUN, 429 },
	{ FAILURE_KEY_REVOKED, OUTCOME_NOT_RUN, 401 },
};

/* Guards against a row with another outcome or status than documented. */
TEST(FailureTable, MatchesDocumentation)
{
	std::set<std::string> names;

	ASSERT_EQ(std::size(table), (size_t)FAILURE_REASONS);
	for (const Row &row : table) {
		const struct failure *failure = failure_get(row.reason);
		enum failure_reason parsed;

		EXPECT_EQ(failure->outcome, row.outcome) << failure->name;
		EXPECT_EQ(failure->status, row.status) << failure->name;
		EXPECT_TRUE(names.insert(failure->name).second);
		ASSERT_TRUE(failure_parse(&parsed, failure->name));
		EXPECT_EQ(parsed, row.reason);
	}
	EXPECT_EQ(failure_get((enum failure_reason)999)->outcome,
		  OUTCOME_UNKNOWN);
}

/* Guards against ejection for failures that only show that a target is busy. */
TEST(FailureTable, OnlyUnreachableOrUnknownCountsForEjection)
{
	const std::set<int> counted = {
		FAILURE_LINK_REFUSED,	 FAILURE_LINK_LOST,
		FAILURE_BACKEND_REFUSED, FAILURE_BACKEND_LOST,
		FAILURE_DEADLINE,	 FAILURE_TRUNCATED,
	};

	for (int i = 0; i < FAILURE_REASONS; i++)
		EXPECT_EQ(failure_get((enum failure_reason)i)
				  ->counts_for_ejection,
			  counted.count(i) == 1)
			<< failure_get((enum failure_reason)i)->name;
}

/* Guards against a name of an outcome that peers or callers cannot read. */
TEST(Outcome, NamesRoundTrip)
{
	enum outcome outcome;

	EXPECT_STREQ(outcome_name(OUTCOME_RAN), "ran");
	EXPECT_STREQ(outcome_name(OUTCOME_NOT_RUN), "not-run");
	EXPECT_STREQ(outcome_name(OUTCOME_UNKNOWN), "unknown");
	for (auto o : { OUTCOME_RAN, OUTCOME_NOT_RUN, OUTCOME_UNKNOWN }) {
		ASSERT_TRUE(outcome_parse(&outcome, outcome_name(o)));
		EXPECT_EQ(outcome, o);
	}
	EXPECT_FALSE(outcome_parse(&outcome, "Ran"));
	EXPECT_FALSE(outcome_parse(&outcome, ""));
}

using Allowed = std::function<bool(enum failure_reason, bool, bool)>;

/* Whether a request that may have run is retried only if that is harmless. */
bool never_runs_twice(const Allowed &allowed)
{
	for (int i = 0; i < FAILURE_REASONS; i++) {
		auto reason = (enum failure_reason)i;
		enum outcome outcome = table[i].outcome;

		for (bool idempotent : { false, true }) {
			for (bool once : { false, true }) {
				bool want = outcome == OUTCOME_NOT_RUN ||
					    (outcome == OUTCOME_UNKNOWN &&
					     idempotent && !once);

				if (allowed(reason, idempotent, once) != want)
					return false;
			}
		}
	}
	return true;
}

/* Guards against a second run of a request that may have run. */
TEST(RetryAllowed, FollowsTheOutcome)
{
	EXPECT_TRUE(never_runs_twice(retry_allowed));
	/* Mutants: at_most_once ignored, method ignored, ran retried. */
	EXPECT_FALSE(never_runs_twice([](auto reason, bool idem, bool) {
		return retry_allowed(reason, idem, false);
	}));
	EXPECT_FALSE(never_runs_twice([](auto reason, bool, bool once) {
		return retry_allowed(reason, true, once);
	}));
	EXPECT_FALSE(never_runs_twice([](auto reason, bool idem, bool once) {
		return reason == FAILURE_TICKET_RAN ||
		       retry_allowed(reason, idem, once);
	}));
}

/* Guards against methods that are wrongly taken for idempotent. */
TEST(Method, IsIdempotent)
{
	for (const char *m : { "GET", "HEAD", "OPTIONS", "PUT", "DELETE" })
		EXPECT_TRUE(method_is_idempotent(m)) << m;
	for (const char *m : { "POST", "PATCH", "get", "GETX", "" })
		EXPECT_FALSE(method_is_idempotent(m)) << m;
}

/* The functions of the budget under test. */
struct Budget {
	std::function<void(struct retry_budget *, int)> request;
	std::function<bool(struct retry_budget *)> take;
};

bool budget_bounds_retries(const Budget &sut)
{
	return rc::check("retries <= burst + ratio x requests", [&] {
		auto steps = *rc::gen::container<std::vector<bool>>(
			rc::gen::arbitrary<bool>());
		int ratio = *rc::gen::inRange(0, 101);
		struct retry_budget budget;
		int64_t requests = 0, taken = 0;

		retry_budget_init(&budget);
		for (int round = 0; round < 4; round++) {
			for (bool take : steps) {
				if (take)
					taken += sut.take(&budget);
				else
					sut.request(&budget, ratio), requests++;
				RC_ASSERT(taken * 100 <=
					  RETRY_BURST * 100 + requests * ratio);
			}
		}
		/* Requests without retries fill the bucket up to the burst. */
		for (int i = 0; i < 2000; i++)
			sut.request(&budget, 100);
		for (int i = 0; i < RETRY_BURST; i++)
			RC_ASSERT(sut.take(&budget));
		RC_ASSERT(!sut.take(&budget));
	});
}

/* Guards against retries that exceed their share of the requests. */
TEST(RetryBudget, BoundsRetries)
{
	EXPECT_TRUE(budget_bounds_retries(
		{ retry_budget_request, retry_budget_take }));
	/* Mutants: a take that removes no token, a request that adds twice. */
	EXPECT_FALSE(budget_bounds_retries(
		{ retry_budget_request, [](struct retry_budget *b) {
			 return b->hundredths >= 100;
		 } }));
	EXPECT_FALSE(
		budget_bounds_retries({ [](struct retry_budget *b, int ratio) {
					       b->hundredths += 2 * ratio;
				       },
					retry_budget_take }));
}

/* Guards against a context that two daemons parse differently. */
TEST(Context, RoundTripsAndIsStrict)
{
	const char *refused[] = {
		"",
		"deadline=1;hops=2",
		"deadline=1;hops=2;retries=3;",
		"deadline=1;hops=2;retries=3 ",
		" deadline=1;hops=2;retries=3",
		"deadline=1; hops=2;retries=3",
		"hops=2;deadline=1;retries=3",
		"deadline=-1;hops=2;retries=3",
		"deadline=+1;hops=2;retries=3",
		"deadline=01;hops=2;retries=3",
		"deadline=;hops=2;retries=3",
		"deadline=0x1;hops=2;retries=3",
		"deadline=9007199254740992;hops=2;retries=3",
		"deadline=99999999999999999999999;hops=2;retries=3",
		"deadline=1;hops=26;retries=3",
		"deadline=1;hops=2;retries=6",
		"deadline=1;hops=2;retries=3;x=1",
		"Deadline=1;hops=2;retries=3",
	};

	for (const char *text : refused) {
		struct request_context context = { 7, 8, 9 };

		EXPECT_FALSE(request_context_parse(&context, text)) << text;
		EXPECT_EQ(context.deadline_wall_ms, 7) << text;
	}
	EXPECT_TRUE(rc::check("context round trip", [] {
		struct request_context in, out;
		char text[CONTEXT_TEXT_MAX];

		in.deadline_wall_ms =
			*rc::gen::inRange<int64_t>(0, INT64_C(1) << 53);
		in.hops = *rc::gen::inRange(0, CONTEXT_HOPS_MAX + 1);
		in.retries = *rc::gen::inRange(0, CONTEXT_RETRIES_MAX + 1);
		request_context_format(&in, text);
		RC_ASSERT(request_context_parse(&out, text));
		RC_ASSERT(out.deadline_wall_ms == in.deadline_wall_ms);
		RC_ASSERT(out.hops == in.hops);
		RC_ASSERT(out.retries == in.retries);
	}));
}

using Next = std::function<bool(const struct request_context *, int64_t, int,
				int, struct request_context *)>;

bool next_never_exceeds_arrived(const Next &next)
{
	return rc::check("the next context never exceeds the arrived", [&] {
		struct request_context c, n;
		int64_t now = *rc::gen::inRange<int64_t>(0, 10000);
		int deadline_ms = *rc::gen::inRange(1, 10000);
		int retry_max = *rc::gen::inRange(0, CONTEXT_RETRIES_MAX + 1);

		c.deadline_wall_ms = *rc::gen::inRange<int64_t>(0, 20000);
		c.hops = *rc::gen::inRange(0, CONTEXT_HOPS_MAX + 1);
		c.retries = *rc::gen::inRange(0, CONTEXT_RETRIES_MAX + 1);
		if (!next(&c, now, deadline_ms, retry_max, &n)) {
			RC_ASSERT(c.hops == 0);
			return;
		}
		RC_ASSERT(n.hops == c.hops - 1);
		RC_ASSERT(n.hops >= 0);
		RC_ASSERT(n.deadline_wall_ms ==
			  std::min(c.deadline_wall_ms, now + deadline_ms));
		RC_ASSERT(n.retries == std::min(c.retries, retry_max));
	});
}

/* Guards against a chain of calls that extends its own context. */
TEST(Context, NextNeverExceedsArrived)
{
	using C = const struct request_context *;
	using N = struct request_context *;

	EXPECT_TRUE(next_never_exceeds_arrived(request_context_next));
	EXPECT_FALSE(next_never_exceeds_arrived(
		[](C c, int64_t now, int d, int r, N n) {
			bool ok = request_context_next(c, now, d, r, n);

			n->deadline_wall_ms = now + d;
			return ok;
		}));
	EXPECT_FALSE(next_never_exceeds_arrived(
		[](C c, int64_t now, int d, int r, N n) {
			bool ok = request_context_next(c, now, d, r, n);

			n->retries = r;
			return ok;
		}));
	EXPECT_FALSE(next_never_exceeds_arrived(
		[](C c, int64_t now, int d, int r, N n) {
			bool ok = request_context_next(c, now, d, r, n);

			n->hops = c->hops;
			return ok;
		}));
}

/* The failure of an attempt, by the number of requests sent so far. */
using Fault = std::function<enum failure_reason(long)>;
/* The number of retries that an attempt passes on. */
using Passed = std::function<int(const struct retry_attempts &)>;

/*
 * Counts the requests sent in a chain of calls in which every attempt fails. An
 * attempt with an unknown outcome reaches the next hop, which makes its own
 * attempts.
 */
struct Chain {
	Fault fault;
	Passed passed;
	long sends = 0;
	long limit = 1000000;

	void run(const struct request_context &arrived)
	{
		struct request_context context;
		struct retry_attempts attempts;
		struct retry_budget budget;
		enum failure_reason reason;

		if (!request_context_next(&arrived, 0, 1000,
					  CONTEXT_RETRIES_MAX, &context))
			return;
		retry_attempts_init(&attempts, &context, true, false);
		do {
			struct request_context sent = context;

			if (++sends > limit)
				return;
			reason = fault(sends);
			sent.retries = passed(attempts);
			if (failure_get(reason)->outcome == OUTCOME_UNKNOWN)
				run(sent);
			/* A full budget, so that it does not limit retries. */
			retry_budget_init(&budget);
		} while (retry_decide(&attempts, &budget, reason, true, false,
				      0, 1) == RETRY_YES);
	}
};

int passed_unchanged(const struct retry_attempts &attempts)
{
	return attempts.passed;
}

bool chain_is_bounded(const Passed &passed)
{
	return rc::check("sends <= hops x (1 + retries)", [&] {
		int hops = *rc::gen::inRange(0, CONTEXT_HOPS_MAX + 1);
		int retries = *rc::gen::inRange(0, CONTEXT_RETRIES_MAX + 1);
		auto faults = *rc::gen::container<std::vector<bool>>(
			rc::gen::arbitrary<bool>());
		Chain chain;

		chain.passed = passed;
		chain.fault = [&](long n) {
			return !faults.empty() &&
					       faults[(size_t)n % faults.size()]
				       ? FAILURE_QUEUE_FULL
				       : FAILURE_BACKEND_LOST;
		};
		chain.run({ 1000, hops, retries });
		RC_ASSERT(chain.sends <= (long)hops * (1 + retries));
	});
}

/* Guards against retries that multiply along a chain of calls. */
TEST(Chain, SendsAreBounded)
{
	EXPECT_TRUE(chain_is_bounded(passed_unchanged));
	/* Mutants: pass on what is kept too, pass on one more. */
	EXPECT_FALSE(chain_is_bounded([](const struct retry_attempts &a) {
		return a.kept + a.passed;
	}));
	EXPECT_FALSE(chain_is_bounded(
		[](const struct retry_attempts &a) { return a.passed + 1; }));
}

/* Guards against a worst case above the 75 requests derived in retry.h. */
TEST(Chain, WorstCaseOf25Hops)
{
	Chain chain, multiplied;

	chain.passed = passed_unchanged;
	chain.fault = [](long) { return FAILURE_BACKEND_LOST; };
	chain.run({ 1000, CONTEXT_HOPS_MAX, 2 });
	EXPECT_LE(chain.sends, CONTEXT_HOPS_MAX * 3);
	EXPECT_GE(chain.sends, CONTEXT_HOPS_MAX);
	RecordProperty("sends", (int)chain.sends);

	/* Mutant: every hop starts with the full number of retries. */
	multiplied.passed = [](const struct retry_attempts &) { return 2; };
	multiplied.fault = chain.fault;
	multiplied.limit = 100000;
	multiplied.run({ 1000, CONTEXT_HOPS_MAX, 2 });
	EXPECT_GT(multiplied.sends, multiplied.limit);
}

/* Guards against a decision that omits one of its conditions. */
TEST(RetryDecide, ReturnsTheUnmetCondition)
{
	struct request_context context = { 1000, 25, 2 };
	struct retry_attempts attempts;
	struct retry_budget budget;

	retry_budget_init(&budget);
	retry_attempts_init(&attempts, &context, false, true);
	EXPECT_EQ(attempts.passed, 2);
	EXPECT_EQ(retry_decide(&attempts, &budget, FAILURE_LINK_LOST, false,
			       true, 0, 1),
		  RETRY_NO_OUTCOME);
	EXPECT_EQ(retry_decide(&attempts, &budget, FAILURE_NO_ROUTE, false,
			       true, 0, 1),
		  RETRY_NO_USE);
	EXPECT_EQ(retry_decide(&attempts, &budget, FAILURE_QUEUE_FULL, false,
			       true, 1, 1),
		  RETRY_NO_DEADLINE);
	EXPECT_EQ(retry_decide(&attempts, &budget, FAILURE_QUEUE_FULL, false,
			       true, 0, 1),
		  RETRY_YES);
	budget.hundredths = 99;
	EXPECT_EQ(retry_decide(&attempts, &budget, FAILURE_QUEUE_FULL, false,
			       true, 0, 1),
		  RETRY_NO_BUDGET);
	EXPECT_EQ(budget.hundredths, 99);
	retry_budget_init(&budget);
	EXPECT_EQ(retry_decide(&attempts, &budget, FAILURE_QUEUE_FULL, false,
			       true, 0, 1),
		  RETRY_YES);
	EXPECT_EQ(retry_decide(&attempts, &budget, FAILURE_QUEUE_FULL, false,
			       true, 0, 1),
		  RETRY_NO_LEFT);
}

} // namespace

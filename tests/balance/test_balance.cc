#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <cstring>
#include <map>
#include <set>
#include <string>
#include <vector>

extern "C" {
#include "balance/balance.h"
#include "base/clock.h"
}

namespace
{

/* One ingress in zone z0 and one service "s" with index 0. */
class Ingress
{
      public:
	explicit Ingress(const struct balance_policy *policy = nullptr,
			 const std::string &name = "ingress")
	{
		struct balance_options options = {};

		rng_init(&rng, 11);
		options.host = name.c_str();
		options.zone = "z0";
		options.region = "r0";
		options.policy = policy;
		options.rng = &rng;
		balance = balance_new(&options);
	}
	~Ingress()
	{
		balance_free(balance);
	}

	/* Adds a target to the list that update() applies. */
	void add(const std::string &host, const std::string &zone,
		 const std::string &region = "r0", uint32_t cold = 10)
	{
		hosts.push_back({ host, zone, region, host + ":1", cold });
	}

	void update(int eject_percent = 34, int overflow_percent = 80)
	{
		struct balance_service service = { "s", eject_percent,
						   overflow_percent };
		std::vector<struct balance_target> targets;

		for (const Host &h : hosts)
			targets.push_back(
				{ h.host.c_str(), h.zone.c_str(),
				  h.region.c_str(), h.traffic.c_str(), 10,
				  h.cold, out_of_service.count(h.host) == 0 });
		balance_update_begin(balance);
		EXPECT_EQ(balance_update(balance, &service, targets.data(),
					 targets.size(), now),
			  0);
		balance_update_end(balance, now);
	}

	/* Picks a target and starts; an empty host when there is no target. */
	struct balance_choice send(bool retryable = true)
	{
		struct balance_request request = {
			0, nullptr, 0, retryable, 0, nullptr
		};
		struct balance_choice choice = {};

		if (balance_pick(balance, &request, now, &choice)) {
			EXPECT_TRUE(balance_start(balance, choice.target, now));
		}
		return choice;
	}

	void end(const struct balance_choice &choice,
		 enum failure_reason reason, int64_t latency = NS_PER_MS)
	{
		struct balance_result result = {};

		result.reason = reason;
		result.latency_ns = latency;
		balance_finish(balance, choice.target, &result, now);
	}

	/* Sends a request to a host and ends it with a load report. */
	void report(const std::string &host, uint32_t in_flight, uint32_t queue,
		    uint32_t limit, int64_t latency = NS_PER_MS)
	{
		struct balance_choice choice = send_to(host);
		struct balance_result result = {};

		result.latency_ns = latency;
		result.reported = true;
		result.in_flight = in_flight;
		result.queue = queue;
		result.limit = limit;
		balance_finish(balance, choice.target, &result, now);
	}

	/* Sends n requests that are answered; returns their number by host. */
	std::map<std::string, int> send_answered(int n)
	{
		std::map<std::string, int> counts;

		for (int i = 0; i < n; i++) {
			struct balance_choice choice = send();

			counts[choice.host]++;
			end(choice, FAILURE_NONE);
		}
		return counts;
	}

	/* Starts a request at a host without the policy. */
	struct balance_choice send_to(const std::string &host)
	{
		struct balance_choice choice = {};

		EXPECT_TRUE(balance_find(balance, 0, host.c_str(), &choice));
		EXPECT_TRUE(balance_start(balance, choice.target, now));
		return choice;
	}

	/* Fails as many requests to a host as its ejection takes. */
	void eject(const std::string &host)
	{
		for (int i = 0; i < 5; i++) {
			EXPECT_FALSE(flag(host, "ejected"));
			end(send_to(host), FAILURE_LINK_LOST);
		}
		ASSERT_TRUE(flag(host, "ejected"));
	}

	/* The hosts for which the dump shows a flag. */
	std::set<std::string> flagged(const char *name)
	{
		json_t *dump = balance_dump(balance, now), *entry;
		json_t *targets = json_object_get(
			json_object_get(json_object_get(dump, "services"), "s"),
			"targets");
		std::set<std::string> found;
		size_t i;

		json_array_foreach (targets, i, entry) {
			if (json_is_true(json_object_get(entry, name)))
				found.insert(json_string_value(
					json_object_get(entry, "host")));
		}
		json_decref(dump);
		return found;
	}

	bool flag(const std::string &host, const char *name)
	{
		return flagged(name).count(host) == 1;
	}

	struct Host {
		std::string host, zone, region, traffic;
		uint32_t cold;
	};

	std::vector<Host> hosts;
	std::set<std::string> out_of_service;
	struct rng rng;
	struct balance *balance;
	int64_t now = 1000 * NS_PER_SEC;
};

/* Guards against a policy that prefers the more loaded or slower target. */
TEST(Policy, ChoosesLowerLoadOrCost)
{
	const struct {
		const char *name;
		std::vector<struct balance_candidate> candidates;
		size_t want;
	} rows[] = {
		{ "least-in-flight", { { 3, 10, 1 }, { 2, 10, 9 } }, 1 },
		{ "least-in-flight", { { 3, 10, 1 }, { 2, 1, 1 } }, 0 },
		{ "two-choices", { { 0, 10, 9 }, { 0, 10, 8 } }, 1 },
		{ "two-choices", { { 0, 10, 9 }, { 1, 10, 7 } }, 0 },
		{ "two-choices", { { 0, 10, 9 }, { 1, 10, 6 } }, 1 },
		{ "two-choices", { { 2, 1, 9 }, { 2, 10, 9 } }, 1 },
		{ "two-choices", { { 4, 1, 9 } }, 0 },
	};
	struct rng rng;

	rng_init(&rng, 3);
	for (const auto &row : rows) {
		const auto *policy = balance_policy_find(row.name);
		uint64_t cursor = 0;

		ASSERT_NE(policy, nullptr);
		for (int i = 0; i < 20; i++)
			EXPECT_EQ(policy->choose(row.candidates.data(),
						 row.candidates.size(), &cursor,
						 &rng),
				  row.want)
				<< row.name;
	}
	EXPECT_EQ(balance_policy_find("random"), nullptr);
}

/* Guards against a round robin that skips targets. */
TEST(Policy, RoundRobinIsEven)
{
	Ingress in(&balance_round_robin);

	for (int i = 0; i < 4; i++)
		in.add("h" + std::to_string(i), "z0");
	in.update();
	for (const auto &entry : in.send_answered(400))
		EXPECT_EQ(entry.second, 100) << entry.first;
}

/*
 * Guards against requests that leave the own zone below the threshold, or stay
 * in it at full utilization.
 */
TEST(Zones, OwnFirstThenRegionThenAll)
{
	Ingress in;

	in.add("own", "z0");
	in.add("near", "z1");
	in.add("far", "z9", "r1");
	in.update();
	EXPECT_EQ(in.send_answered(100)["own"], 100);
	/* 90% is half way from 80% to 100%: half of the requests overflow. */
	in.report("own", 9, 0, 10);
	int near = in.send_answered(400)["near"];
	EXPECT_GT(near, 160);
	EXPECT_LT(near, 240);
	in.report("own", 10, 0, 10);
	EXPECT_GT(in.send_answered(100)["near"], 30);
	EXPECT_EQ(in.send_answered(100).count("far"), 0u);
	in.report("near", 10, 0, 10);
	in.report("own", 10, 0, 10);
	EXPECT_GT(in.send_answered(100)["far"], 30);
	/* A load report is used for a second. */
	in.now += NS_PER_SEC;
	EXPECT_EQ(in.send_answered(100)["own"], 100);
	in.out_of_service = { "own" };
	in.update();
	EXPECT_EQ(in.send_answered(100)["near"], 100);
	in.out_of_service = { "own", "near" };
	in.update();
	EXPECT_EQ(in.send_answered(100)["far"], 100);
	in.out_of_service = { "own", "near", "far" };
	in.update();
	EXPECT_STREQ(in.send().host, "");
}

/* Guards against retries that are sent to the zone of the failed attempt. */
TEST(Zones, RetryAvoidsZoneOfFailure)
{
	Ingress in;

	for (int i = 0; i < 3; i++)
		in.add("own" + std::to_string(i), "z0");
	in.add("near", "z1");
	in.update();
	for (int i = 0; i < 4; i++) {
		struct balance_choice first = in.send(), second;
		struct balance_request retry = { 0, &first.target, 1, true,
						 0, nullptr };

		ASSERT_TRUE(first.own_zone);
		in.end(first, i % 2 ? FAILURE_LINK_LOST : FAILURE_QUEUE_FULL);
		ASSERT_TRUE(balance_pick(in.balance, &retry, in.now, &second));
		EXPECT_EQ(!strcmp(second.host, "near"), i % 2 == 1);
		/* An answer resets the failures. */
		in.report(first.host, 0, 0, 10);
		in.now += NS_PER_SEC;
	}
}

/* Guards against full load for a cold target. */
TEST(Ramp, ColdTargetGetsShareOfItsLimit)
{
	Ingress in;

	for (int i = 0; i < 9; i++)
		in.add("h" + std::to_string(i), "z0");
	in.add("cold", "z0", "r0", 1);
	in.update();
	int cold = 0;

	for (int i = 0; i < 82; i++)
		cold += !strcmp(in.send().host, "cold");
	/* 82 in flight on 91 slots: a tenth of them would be 8. */
	EXPECT_LE(cold, 2);
	in.report("cold", 1, 0, 10);
	cold = 0;
	for (int i = 0; i < 20; i++)
		cold += !strcmp(in.send().host, "cold");
	EXPECT_GE(cold, 2);
}

/* Guards against full load for a backend server that may have restarted. */
TEST(Ramp, LostConnectionMakesTargetCold)
{
	Ingress in;
	int restarted = 0;

	for (const char *host : { "restarted", "warm" })
		in.add(host, "z0", "r0", 1);
	in.update();
	for (const char *host : { "restarted", "warm" })
		in.report(host, 0, 0, 10);
	in.end(in.send_to("restarted"), FAILURE_LINK_LOST);
	for (int i = 0; i < 10; i++)
		restarted += !strcmp(in.send().host, "restarted");
	EXPECT_LE(restarted, 1);
}

/* Guards against a wrong report that draws more work than slots, or none. */
TEST(Reports, WrongReportsAreBounded)
{
	Ingress in;

	in.add("wrong", "z0");
	in.add("right", "z0");
	in.update();
	in.report("wrong", 0, 0, 1000000);
	in.report("right", 0, 0, 10);
	std::map<std::string, int> counts;

	for (int i = 0; i < 20; i++)
		counts[in.send().host]++;
	EXPECT_EQ(counts["wrong"], 10);
	in.report("wrong", 0, 0, 0);
	EXPECT_STRNE(in.send().host, "");
}

/* Guards against an ejection that never ends, or a back-off of wrong length. */
TEST(Ejection, BacksOffAndTriesAgain)
{
	Ingress in;

	in.add("failing", "z0");
	in.add("working", "z0");
	in.update();
	in.eject("failing");
	ASSERT_TRUE(in.flag("failing", "ejected"));
	int64_t wait = NS_PER_SEC;

	for (int trial = 0; trial < 8; trial++) {
		in.now += wait - 1;
		EXPECT_EQ(in.send_answered(20).count("failing"), 0u) << trial;
		in.now += 1;
		struct balance_choice c = in.send();

		ASSERT_STREQ(c.host, "failing") << trial;
		EXPECT_TRUE(c.trial);
		/* One trial at a time. */
		EXPECT_EQ(in.send_answered(20).count("failing"), 0u) << trial;
		in.end(c, FAILURE_LINK_LOST);
		wait = std::min(2 * wait, 30 * NS_PER_SEC);
	}
	in.now += wait;
	in.end(in.send(), FAILURE_NONE);
	EXPECT_FALSE(in.flag("failing", "ejected"));
	EXPECT_GT(in.send_answered(200)["failing"], 0);
}

/*
 * Guards against an ejection that a request sent before it, or a cancelled
 * trial, ends or extends.
 */
TEST(Ejection, OnlyTheTrialCounts)
{
	Ingress in;
	std::vector<struct balance_choice> old;

	in.add("failing", "z0");
	in.add("working", "z0");
	in.update();
	while (old.size() < 3)
		old.push_back(in.send_to("failing"));
	in.eject("failing");
	in.now += NS_PER_SEC;
	struct balance_choice trial = in.send();

	ASSERT_TRUE(trial.trial);
	in.end(trial, FAILURE_CANCELLED);
	EXPECT_TRUE(in.flag("failing", "ejected"));
	in.now += NS_PER_SEC;
	trial = in.send();
	ASSERT_TRUE(trial.trial);
	in.end(trial, FAILURE_LINK_LOST);
	for (const auto &c : old)
		in.end(c, FAILURE_LINK_LOST);
	in.now += 2 * NS_PER_SEC;
	EXPECT_TRUE(in.send().trial);
}

/*
 * Guards against a back-off that is not reset after the target has worked for
 * 30 s, or is reset earlier.
 */
TEST(Ejection, BackOffIsResetAfterTimeWithoutFailures)
{
	const struct {
		int64_t working, back_off;
	} rows[] = {
		{ 29 * NS_PER_SEC, 2 * NS_PER_SEC },
		{ 30 * NS_PER_SEC, NS_PER_SEC },
	};

	for (const auto &row : rows) {
		Ingress in;

		in.add("failing", "z0");
		in.add("working", "z0");
		in.update();
		in.eject("failing");
		in.now += NS_PER_SEC;
		in.end(in.send(), FAILURE_NONE);
		in.now += row.working;
		/* No other target is ejected, so this one may be. */
		in.eject("failing");
		in.now += row.back_off - 1;
		EXPECT_FALSE(in.send().trial);
		in.now += 1;
		EXPECT_TRUE(in.send().trial);
	}
}

/* Guards against a leaving target that counts towards the ejection limit. */
TEST(Ejection, LeavingTargetsDoNotCountTowardsLimit)
{
	Ingress in;
	std::vector<struct balance_choice> started;

	for (const char *host : { "leaving", "failing", "working" })
		in.add(host, "z0");
	in.update();
	while (started.size() < 5)
		started.push_back(in.send_to("leaving"));
	balance_mark_leaving(in.balance, "leaving", true, in.now);
	for (const auto &c : started)
		in.end(c, FAILURE_LINK_LOST);
	in.eject("failing");
}

/* Guards against full load for a daemon that may still drain or be cold. */
TEST(Draining, EndsWithTrial)
{
	Ingress in;

	in.add("draining", "z0");
	in.add("other", "z0");
	in.update();
	in.end(in.send_to("draining"), FAILURE_TARGET_DRAINING);
	in.now += 5 * NS_PER_SEC - 1;
	EXPECT_EQ(in.send_answered(20).count("draining"), 0u);
	in.now += 1;
	struct balance_choice trial = in.send();

	EXPECT_STREQ(trial.host, "draining");
	EXPECT_TRUE(trial.trial);
	EXPECT_EQ(in.send_answered(20).count("draining"), 0u);
	in.end(trial, FAILURE_NONE);
	EXPECT_GT(in.send_answered(20)["draining"], 0);
}

/* Guards against a target that was slow once and is never measured again. */
TEST(Latency, DecaysWithTime)
{
	Ingress in;

	in.add("slow", "z0");
	in.add("quick", "z0");
	in.update();
	in.report("slow", 0, 0, 10, 100 * NS_PER_MS);
	in.report("quick", 0, 0, 10, NS_PER_MS);
	EXPECT_EQ(in.send_answered(100).count("slow"), 0u);
	/* The latency of "slow" has decayed to the mean of the service. */
	in.now += 60 * NS_PER_SEC;
	std::vector<struct balance_choice> sent;

	for (int i = 0; i < 20; i++)
		sent.push_back(in.send());
	EXPECT_GT(std::count_if(sent.begin(), sent.end(),
				[](const struct balance_choice &c) {
					return !strcmp(c.host, "slow");
				}),
		  0);
}

/* Guards against a trial by a request that cannot be retried if it fails. */
TEST(Ejection, TrialsPreferRetryableRequests)
{
	Ingress in;

	in.add("failing", "z0");
	in.add("working", "z0");
	in.update();
	in.eject("failing");
	in.now += NS_PER_SEC;
	struct balance_choice c = in.send(false);

	EXPECT_STREQ(c.host, "working");
	in.end(c, FAILURE_NONE);
	in.now += NS_PER_SEC;
	EXPECT_STREQ(in.send(false).host, "failing");
}

/* Guards against a target that refuses everything and gets most requests. */
TEST(Refusals, TargetIsAvoidedWithDoublingBackOff)
{
	Ingress in;
	int refused = 0;

	for (int i = 0; i < 4; i++)
		in.add("h" + std::to_string(i), "z0");
	in.update();
	/* 2 s at 1,000 requests a second; back-offs of 10, 20, 40 ms, ... */
	for (int i = 0; i < 2000; i++) {
		struct balance_choice c = in.send();
		bool refuses = !strcmp(c.host, "h0");

		refused += refuses;
		in.end(c, refuses ? FAILURE_QUEUE_FULL : FAILURE_NONE);
		in.now += NS_PER_MS;
	}
	EXPECT_GE(refused, 2);
	EXPECT_LE(refused, 10);
	/* An answer resets the back-off. */
	in.report("h0", 0, 0, 10);
	in.now += 5 * NS_PER_SEC;
	in.end(in.send_to("h0"), FAILURE_QUEUE_FULL);
	EXPECT_EQ(in.send_answered(50).count("h0"), 0u);
	in.now += 10 * NS_PER_MS;
	EXPECT_GT(in.send_answered(50)["h0"], 0);
	/* When all targets refuse, requests are still sent. */
	for (int i = 0; i < 100; i++) {
		struct balance_choice c = in.send();

		ASSERT_STRNE(c.host, "");
		in.end(c, FAILURE_QUEUE_FULL);
	}
}

/* Guards against failing all requests when every target is ejected. */
TEST(Ejection, AllEjectedAreStillTried)
{
	Ingress in;

	for (int i = 0; i < 4; i++)
		in.add("h" + std::to_string(i), "z0");
	in.update(100);
	for (int i = 0; i < 200; i++) {
		struct balance_choice c = in.send();

		ASSERT_STRNE(c.host, "");
		in.end(c, FAILURE_BACKEND_REFUSED);
	}
	EXPECT_TRUE(in.flag("h0", "ejected"));
	EXPECT_TRUE(in.send().trial);
}

/* Guards against ejecting the only target, or any with a limit of 0%. */
TEST(Ejection, LimitForFewTargets)
{
	const struct {
		int n, percent, want;
	} rows[] = {
		{ 1, 100, 0 }, { 2, 1, 1 },  { 2, 0, 0 },   { 3, 34, 1 },
		{ 9, 34, 3 },  { 3, 67, 2 }, { 3, 100, 3 },
	};

	for (const auto &row : rows) {
		Ingress in;

		for (int i = 0; i < row.n; i++)
			in.add("h" + std::to_string(i), "z0");
		in.update(row.percent);
		for (int i = 0; i < 300; i++)
			in.end(in.send(), FAILURE_LINK_LOST);
		EXPECT_EQ((int)in.flagged("ejected").size(), row.want)
			<< row.n << " targets, limit " << row.percent << "%";
	}
}

/*
 * Guards against a request with a ticket that cannot reach the record of its
 * first copy because the host is leaving.
 */
TEST(Find, FindsTargetsThatAcceptNoNewWork)
{
	Ingress in;
	struct balance_choice choice;

	in.add("h0", "z0");
	in.update();
	balance_mark_leaving(in.balance, "h0", true, in.now);
	EXPECT_STREQ(in.send().host, "");
	ASSERT_TRUE(balance_find(in.balance, 0, "h0", &choice));
	EXPECT_FALSE(choice.accepts_new_work);
	EXPECT_STREQ(choice.traffic, "h0:1");
	EXPECT_FALSE(balance_find(in.balance, 0, "h1", &choice));
	EXPECT_FALSE(balance_find(in.balance, 5, "h0", &choice));
}

/* Guards against a start at a target that was removed after its pick. */
TEST(Update, StartFailsAfterRemoval)
{
	Ingress in;
	struct balance_choice choice;

	in.add("h0", "z0");
	in.update();
	struct balance_choice started = in.send();

	in.hosts.clear();
	in.update();
	EXPECT_FALSE(balance_start(in.balance, started.target, in.now));
	EXPECT_EQ(balance_in_flight(in.balance, started.target), 1u);
	in.end(started, FAILURE_NONE);
	EXPECT_EQ(balance_in_flight(in.balance, started.target), 0u);
	EXPECT_FALSE(balance_find(in.balance, 0, "h0", &choice));
	EXPECT_EQ(balance_service_index(in.balance, "s"), 0);
	EXPECT_EQ(balance_service_index(in.balance, "t"), -1);
}

/* Guards against work sent to the former address of a host. */
TEST(Update, NewAddressIsANewTarget)
{
	Ingress in;

	in.add("h0", "z0");
	in.update();
	struct balance_choice started = in.send();

	in.hosts[0].traffic = "h0:2";
	in.update();
	struct balance_choice next = in.send();

	EXPECT_STREQ(next.traffic, "h0:2");
	EXPECT_NE(next.target, started.target);
	EXPECT_EQ(balance_in_flight(in.balance, started.target), 1u);
	EXPECT_EQ(balance_in_flight(in.balance, next.target), 1u);
	in.end(started, FAILURE_NONE);
	EXPECT_EQ(balance_in_flight(in.balance, next.target), 1u);
}

/* The subset that an ingress uses of a service with per_zone targets a zone. */
std::set<std::string> subset(const std::string &ingress, int per_zone,
			     const std::string &out_of_service)
{
	Ingress in(nullptr, ingress);

	for (int i = 0; i < 3 * per_zone; i++)
		in.add("h" + std::to_string(i), "z" + std::to_string(i % 3));
	in.out_of_service = { out_of_service };
	in.update();
	return in.flagged("in_subset");
}

/*
 * Guards against a subset that lacks a zone, changes more than necessary, or
 * gives one target many more links than the formula in balance.h.
 */
TEST(Subset, CoversZonesIsStableAndBounded)
{
	constexpr int per_zone = 30, ingresses = 300;
	std::map<std::string, int> links;

	for (int i = 0; i < ingresses; i++) {
		std::string name = "ingress" + std::to_string(i);
		auto before = subset(name, per_zone, "");
		std::string gone = *before.begin();
		auto after = subset(name, per_zone, gone);
		int zones[3] = {}, same = 0;

		for (const auto &h : before) {
			zones[std::stoi(h.substr(1)) % 3]++;
			same += (int)after.count(h);
			links[h]++;
		}
		EXPECT_EQ(zones[0], 10);
		EXPECT_EQ(zones[1], 4);
		EXPECT_EQ(zones[2], 4);
		EXPECT_EQ(after.size(), before.size());
		EXPECT_EQ(same, (int)before.size() - 1);
		EXPECT_EQ(after.count(gone), 0u);
	}
	/* Every ingress is in zone z0 here: 300 x 10/30 and 300 x 4/30. */
	for (const auto &entry : links) {
		bool own = std::stoi(entry.first.substr(1)) % 3 == 0;
		double mean = ingresses * (own ? 10.0 : 4.0) / per_zone;

		EXPECT_LT(entry.second, mean + 4 * std::sqrt(mean));
	}
}

/*
 * Guards against requests that leave the own region while it has free targets,
 * and against data that leaves the regions allowed for it.
 */
TEST(Regions, OwnFirstAndOnlyAllowedRegions)
{
	char r1[] = "r1", r9[] = "r9";
	char *const only_r1[] = { r1, nullptr }, *const only_r9[] = { r9,
								      nullptr };
	struct balance_request request = {};
	struct balance_choice choice;
	Ingress in;

	in.add("far", "z8", "r1");
	in.add("near", "z1", "r0");
	in.update();
	for (int i = 0; i < 20; i++) {
		ASSERT_TRUE(
			balance_pick(in.balance, &request, in.now, &choice));
		EXPECT_STREQ(choice.host, "near");
	}
	request.regions = only_r1;
	ASSERT_TRUE(balance_pick(in.balance, &request, in.now, &choice));
	EXPECT_STREQ(choice.host, "far");
	request.excluded = &choice.target;
	request.nr_excluded = 1;
	EXPECT_FALSE(balance_pick(in.balance, &request, in.now, &choice));
	request.nr_excluded = 0;
	request.regions = only_r9;
	EXPECT_FALSE(balance_pick(in.balance, &request, in.now, &choice));
}

} // namespace

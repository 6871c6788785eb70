#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

extern "C" {
#include "base/clock.h"
#include "base/rng.h"
#include "quota/quota.h"
}

/*
 * Leases over some hundred daemons in virtual time: messages are delayed and
 * lost, daemons restart and are cut off, and callers are spread unevenly.
 */

namespace
{

const struct quota_bounds BOUNDS = { 5 * NS_PER_SEC, 0.25, 20 };
const int64_t WAIT_NS = 40 * NS_PER_MS;
const int64_t ASK_NS = 300 * NS_PER_MS;
const uint64_t ID = 77;

std::string ip_of(int i)
{
	return "10.0." + std::to_string(i / 250) + "." +
	       std::to_string(i % 250);
}

struct Daemon {
	bool alive = true;
	int generation = 0;
	int partition = 0; /* daemons of another partition are not reached */
	int64_t started_at = 0;
	struct quota_share share = {};
	struct quota_owner *owner = nullptr;
	int64_t ask_number = 0;
	std::deque<int64_t> waiting; /* arrival times */
};

class Fleet
{
      public:
	Fleet(int nr, struct quota_limit limit, uint64_t seed)
	    : limit(limit), daemons((size_t)nr)
	{
		rng_init(&rng, seed);
		for (int i = 0; i < nr; i++)
			members.insert(i);
		for (int i = 0; i < nr; i++)
			boot(i);
	}

	~Fleet()
	{
		for (Daemon &daemon : daemons)
			release(daemon);
	}

	void at(int64_t time, std::function<void()> action)
	{
		events.push({ time, next_event++, std::move(action) });
	}

	/* Requests of the organisation at a rate, at daemons that pick returns.
	 */
	void load(double per_s, int64_t from, int64_t until,
		  std::function<int()> pick)
	{
		at(from, [=] {
			arrive(pick());
			int64_t gap = (int64_t)(NS_PER_SEC / per_s *
						(0.5 + uniform()));
			if (now + gap < until)
				load(per_s, now + gap, until, pick);
		});
	}

	void run(int64_t until)
	{
		while (!events.empty() && events.top().time <= until) {
			Event event = events.top();

			events.pop();
			now = std::max(now, event.time);
			event.action();
		}
		now = until;
	}

	int owner_of()
	{
		struct quota_members *set = make_members();
		std::string owner = quota_members_owner(set, ID);

		quota_members_free(set);
		for (size_t i = 0; i < daemons.size(); i++)
			if (ip_of((int)i) == owner)
				return (int)i;
		return -1;
	}

	void kill(int i)
	{
		daemons[(size_t)i].alive = false;
		for (size_t n = 0; n < daemons[(size_t)i].waiting.size(); n++)
			refused++;
		daemons[(size_t)i].waiting.clear();
	}

	void boot(int i)
	{
		Daemon &daemon = daemons[(size_t)i];

		release(daemon);
		daemon.alive = true;
		daemon.generation++;
		daemon.started_at = now;
		daemon.share = {};
		daemon.owner = quota_owner_new(ip_of(i).c_str(), &BOUNDS);
		apply(i);
	}

	/* Adds or removes a daemon; the others learn of it one after another.
	 */
	void change(int i, bool add, int64_t spread_ns)
	{
		if (add)
			members.insert(i);
		else
			members.erase(i);
		for (size_t n = 0; n < daemons.size(); n++)
			at(now + (int64_t)(uniform() * (double)spread_ns),
			   [this, n] {
				   if (daemons[n].alive)
					   apply((int)n);
			   });
	}

	/* The most starts in a window; checks the bound. */
	size_t check_bound()
	{
		size_t most = 0, first = 0;

		for (size_t i = 0; i < starts.size(); i++) {
			while (starts[i] - starts[first] >= BOUNDS.window_ns)
				first++;
			most = std::max(most, i - first + 1);
		}
		EXPECT_LE((double)most,
			  quota_allowed(&BOUNDS, &limit, BOUNDS.window_ns));
		return most;
	}

	double uniform()
	{
		return (double)rng_below(&rng, 1 << 30) / (1 << 30);
	}

	int any()
	{
		return (int)rng_below(&rng, daemons.size());
	}

	struct quota_limit limit;
	std::vector<Daemon> daemons;
	std::vector<int64_t> starts;
	int refused = 0;
	long messages = 0;
	double loss = 0;
	bool drop_handovers = false;
	int64_t now = NS_PER_SEC;

      private:
	struct Event {
		int64_t time;
		long number;
		std::function<void()> action;
		bool operator<(const Event &other) const
		{
			return time != other.time ? time > other.time
						  : number > other.number;
		}
	};

	void release(Daemon &daemon)
	{
		quota_share_release(&daemon.share);
		if (daemon.owner)
			quota_owner_free(daemon.owner);
		daemon.owner = nullptr;
	}

	struct quota_members *make_members()
	{
		struct quota_members *set = quota_members_new();

		for (int i : members)
			quota_members_add(set, ip_of(i).c_str());
		return set;
	}

	void apply(int i)
	{
		GArray *handovers = g_array_new(FALSE, FALSE,
						sizeof(struct quota_handover));

		quota_owner_set_members(daemons[(size_t)i].owner,
					make_members(), handovers, now);
		for (guint n = 0; n < handovers->len; n++) {
			auto item = g_array_index(handovers,
						  struct quota_handover, n);
			int to = find(item.owner);

			item.owner = nullptr;
			if (drop_handovers)
				continue;
			send(i, to, [this, to, item] {
				quota_owner_receive(daemons[(size_t)to].owner,
						    item.id, item.tokens,
						    item.outstanding, now);
			});
		}
		g_array_unref(handovers);
	}

	int find(const char *ip)
	{
		for (size_t i = 0; i < daemons.size(); i++)
			if (ip_of((int)i) == ip)
				return (int)i;
		return -1;
	}

	/* Delivers a message after 0.2 to 3 ms, unless it is lost. */
	void send(int from, int to, std::function<void()> receive)
	{
		messages++;
		if (uniform() < loss || daemons[(size_t)from].partition !=
						daemons[(size_t)to].partition)
			return;
		at(now + 200 * NS_PER_US +
			   (int64_t)(uniform() * 2800 * NS_PER_US),
		   [this, to, receive] {
			   if (daemons[(size_t)to].alive)
				   receive();
		   });
	}

	int fallback(int i)
	{
		const struct quota_members *set =
			quota_owner_members(daemons[(size_t)i].owner);

		if (now - daemons[(size_t)i].started_at < BOUNDS.window_ns)
			return 0;
		return quota_fallback(&BOUNDS, &limit, (int)set->ips->len,
				      quota_members_rank(set, ID,
							 ip_of(i).c_str()));
	}

	void arrive(int i)
	{
		Daemon &daemon = daemons[(size_t)i];

		if (!daemon.alive)
			return;
		switch (quota_share_take(&daemon.share, &BOUNDS, fallback(i),
					 now)) {
		case QUOTA_TAKEN:
			starts.push_back(now);
			break;
		case QUOTA_REFUSED:
			refused++;
			break;
		case QUOTA_WAIT:
			daemon.waiting.push_back(now);
			int generation = daemon.generation;
			at(now + WAIT_NS, [this, i, generation] {
				Daemon &late = daemons[(size_t)i];

				if (late.generation != generation ||
				    late.waiting.empty() ||
				    late.waiting.front() + WAIT_NS > now)
					return;
				quota_share_overdue(&late.share, now);
				end_waiting(i, 1);
			});
		}
		ask(i);
	}

	void end_waiting(int i, size_t nr)
	{
		Daemon &daemon = daemons[(size_t)i];

		while (nr-- && !daemon.waiting.empty()) {
			daemon.waiting.pop_front();
			if (quota_share_take_waiting(&daemon.share, &BOUNDS,
						     fallback(i),
						     now) == QUOTA_TAKEN)
				starts.push_back(now);
			else
				refused++;
		}
	}

	void answered(int i, int generation, int64_t number,
		      struct quota_grant grant)
	{
		Daemon &daemon = daemons[(size_t)i];

		if (daemon.generation != generation ||
		    daemon.ask_number != number || !daemon.share.asked)
			return;
		if (grant.is_owner)
			quota_share_granted(&daemon.share, grant.tokens,
					    quota_lease_ns(&BOUNDS),
					    grant.wait_ns, now);
		else
			quota_share_failed(&daemon.share, now);
		for (size_t n = daemon.waiting.size();
		     n && quota_share_is_decided(&daemon.share, now); n--)
			end_waiting(i, 1);
		if (!daemon.waiting.empty())
			ask(i);
	}

	void ask(int i)
	{
		Daemon &daemon = daemons[(size_t)i];
		int wanted = quota_share_wanted(&daemon.share, &BOUNDS, now);
		int generation = daemon.generation, unused;
		int64_t number;
		int to;

		if (!wanted)
			return;
		to = find(quota_members_owner(quota_owner_members(daemon.owner),
					      ID));
		unused = quota_share_ask(&daemon.share, wanted, now);
		number = ++daemon.ask_number;
		send(i, to, [=] {
			struct quota_grant grant =
				quota_owner_ask(daemons[(size_t)to].owner, ID,
						&limit, wanted, unused, now);
			send(to, i,
			     [=] { answered(i, generation, number, grant); });
		});
		at(now + ASK_NS, [=] {
			Daemon &late = daemons[(size_t)i];

			if (late.generation == generation &&
			    late.ask_number == number && late.share.asked)
				quota_share_failed(&late.share, now);
		});
	}

	struct rng rng;
	std::set<int> members;
	std::priority_queue<Event> events;
	long next_event = 0;
};

/*
 * Guards against refusals below the allowance when the callers of an
 * organisation are unevenly spread and their place moves.
 */
TEST(QuotaFleet, UnevenDemandWithinTheAllowanceIsServed)
{
	Fleet fleet(300, { 261, 261 }, 1);
	int64_t start = fleet.now + 2 * NS_PER_SEC;

	/* Most come from 3 daemons, and others after 10 s. */
	fleet.load(180, start, start + 10 * NS_PER_SEC,
		   [&] { return fleet.any() % 3; });
	fleet.load(180, start + 10 * NS_PER_SEC, start + 20 * NS_PER_SEC,
		   [&] { return 100 + fleet.any() % 3; });
	fleet.load(50, start, start + 20 * NS_PER_SEC,
		   [&] { return fleet.any(); });
	fleet.run(start + 20 * NS_PER_SEC);
	fleet.check_bound();
	EXPECT_LE(fleet.refused, (int)fleet.starts.size() / 200);
	printf("started %zu, refused %d, messages %ld\n", fleet.starts.size(),
	       fleet.refused, fleet.messages);
}

/*
 * Guards against refusals below the allowance when each daemon has few
 * requests: tokens that are held ahead of them expire.
 */
TEST(QuotaFleet, ThinlySpreadDemandWithinTheAllowanceIsServed)
{
	Fleet fleet(300, { 935, 935 }, 4);
	int64_t start = fleet.now + 2 * NS_PER_SEC;

	fleet.load(720, start, start + 10 * NS_PER_SEC,
		   [&] { return fleet.any(); });
	fleet.run(start + 10 * NS_PER_SEC);
	fleet.check_bound();
	EXPECT_LE(fleet.refused, (int)fleet.starts.size() / 200);
}

/*
 * Guards against an organisation far over its allowance that gets more than the
 * bound or less than its rate, and whose asks flood the owner.
 */
TEST(QuotaFleet, ExcessIsRefusedAndTheRateIsServed)
{
	Fleet fleet(300, { 100, 100 }, 2);
	int64_t start = fleet.now + 2 * NS_PER_SEC;

	fleet.load(2000, start, start + 20 * NS_PER_SEC,
		   [&] { return fleet.any(); });
	fleet.run(start + 20 * NS_PER_SEC);
	fleet.check_bound();
	EXPECT_GE(fleet.starts.size(), 20u * 100 * 9 / 10);
	/* 300 daemons ask each 0.5 s, and each ask has an answer. */
	EXPECT_LE(fleet.messages, 20 * 2 * 700);
	printf("started %zu, refused %d, messages %ld\n", fleet.starts.size(),
	       fleet.refused, fleet.messages);
}

/*
 * Guards against a bucket that is granted twice because its owner restarts, or
 * because the owner changes again and again without a handover.
 */
TEST(QuotaFleet, NothingIsGrantedTwiceWhenOwnersChangeOften)
{
	for (bool restarts : { true, false }) {
		Fleet fleet(100, { 100, 500 }, 3);
		int64_t start = fleet.now + 8 * NS_PER_SEC;

		fleet.drop_handovers = true;
		fleet.load(1500, start, start + 15 * NS_PER_SEC,
			   [&] { return fleet.any(); });
		for (int i = 1; i < 20; i++) {
			fleet.at(start + i * 700 * NS_PER_MS,
				 [&fleet, i, restarts] {
					 static int left;

					 if (restarts) {
						 int owner = fleet.owner_of();

						 fleet.kill(owner);
						 fleet.boot(owner);
					 } else if (i % 2) {
						 left = fleet.owner_of();
						 fleet.change(left, false,
							      100 * NS_PER_MS);
					 } else {
						 fleet.change(left, true,
							      100 * NS_PER_MS);
					 }
				 });
		}
		fleet.run(start + 15 * NS_PER_SEC);
		fleet.check_bound();
	}
}

/*
 * Guards against more starts than the bound when daemons restart, views differ,
 * messages are lost and daemons are cut off, in every combination that the
 * seeds reach.
 */
TEST(QuotaFleet, BoundHoldsUnderFaults)
{
	for (uint64_t seed = 1; seed <= 8; seed++) {
		Fleet fleet(200, { 200, seed % 2 ? 3000.0 : 0.0 }, seed);
		int64_t start = fleet.now + NS_PER_SEC;
		size_t most;

		fleet.loss = 0.02 * (double)(seed % 4);
		fleet.load(1500, start, start + 40 * NS_PER_SEC, [&] {
			return fleet.uniform() < 0.5 ? fleet.any() % 5
						     : fleet.any();
		});
		for (int64_t at = 3; at < 38; at += 3) {
			int64_t time = start + at * NS_PER_SEC;
			int fault = (int)((at / 3 + (int64_t)seed) % 5);

			fleet.at(time, [&fleet, fault] {
				int owner = fleet.owner_of();

				switch (fault) {
				case 0: /* the owner restarts */
					fleet.kill(owner);
					fleet.at(fleet.now + 300 * NS_PER_MS,
						 [&fleet, owner] {
							 fleet.boot(owner);
						 });
					break;
				case 1: /* all restart at once */
					for (int i = 0; i < 200; i++)
						fleet.kill(i);
					for (int i = 0; i < 200; i++)
						fleet.boot(i);
					break;
				case 2: /* half are cut off for 2 s */
					for (int i = 0; i < 200; i++)
						fleet.daemons[(size_t)i]
							.partition = i % 2;
					fleet.at(
						fleet.now + 2 * NS_PER_SEC,
						[&fleet] {
							for (Daemon &daemon :
							     fleet.daemons)
								daemon.partition =
									0;
						});
					break;
				case 3: /* the owner leaves the set */
					fleet.change(owner, false,
						     500 * NS_PER_MS);
					break;
				default: /* a daemon leaves and returns */
					fleet.change(7, false, 500 * NS_PER_MS);
					fleet.at(
						fleet.now + NS_PER_SEC,
						[&fleet] {
							fleet.change(
								7, true,
								500 * NS_PER_MS);
						});
				}
			});
		}
		fleet.run(start + 40 * NS_PER_SEC);
		most = fleet.check_bound();
		printf("seed %d: started %zu, most in a window %zu of %.0f\n",
		       (int)seed, fleet.starts.size(), most,
		       quota_allowed(&BOUNDS, &fleet.limit, BOUNDS.window_ns));
	}
}

} // namespace

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

extern "C" {
#include "balance/balance.h"
#include "base/clock.h"
}

/*
 * Applies random sequences of events to a balance and to a model of it and
 * compares the two. Further runs plant a fault in the calls of the balance, and
 * the comparison must detect each fault.
 */
namespace
{

constexpr int NR_HOSTS = 9, NR_ZONES = 3, NR_SERVICES = 2;
constexpr int EJECT_PERCENT = 34;
constexpr uint32_t EJECT_FAILURES = 5;
constexpr int64_t DRAINING_LIFE = 5 * NS_PER_SEC;

/* A fault in the calls of the library. */
enum class Mutant {
	none,
	omits_leaving,
	ignores_marks,
	hides_draining,
	ejects_all,
	ejects_early,
	never_readmits,
	skips_updates,
	skips_update_end,
	loses_state,
	omits_finish,
	finishes_twice,
	ignores_excluded,
};

struct Event {
	enum Kind {
		update,
		leaving,
		pick,
		finish,
		outage,
		wait
	} kind;
	uint32_t a, b, c;
};

std::ostream &operator<<(std::ostream &out, const Event &e)
{
	static const char *names[] = { "update", "leaving", "pick",
				       "finish", "outage",  "wait" };
	return out << names[e.kind] << "(" << e.a << "," << e.b << "," << e.c
		   << ")";
}

rc::Gen<Event> any_event()
{
	/* An outage is a sequence of requests that all fail. */
	auto kind = rc::gen::weightedElement<Event::Kind>({
		{ 2, Event::update },
		{ 2, Event::leaving },
		{ 10, Event::pick },
		{ 10, Event::finish },
		{ 2, Event::outage },
		{ 3, Event::wait },
	});
	auto number = rc::gen::inRange<uint32_t>(0, 1u << 20);

	return rc::gen::construct<Event>(kind, number, number, number);
}

struct ModelTarget {
	bool in_service = false;
	bool leaving = false;
	int64_t draining_until = INT64_MIN;
	uint32_t failures = 0; /* consecutive */
	bool may_be_ejected = false;
	uint32_t in_flight = 0;
	balance_handle handle = 0;
};

struct StartedRequest {
	int service;
	int host;
	balance_handle handle;
	bool removed; /* an update has removed the target */
};

class Run
{
      public:
	explicit Run(Mutant mutant) : mutant(mutant)
	{
		struct balance_options options = {};

		rng_init(&rng, 7);
		options.host = "ingress";
		options.zone = "z0";
		options.region = "r";
		options.rng = &rng;
		options.eject_failures =
			mutant == Mutant::ejects_early ? 2 : EJECT_FAILURES;
		if (mutant == Mutant::never_readmits)
			options.eject_first_ns = options.eject_longest_ns =
				3600 * NS_PER_SEC;
		balance.reset(balance_new(&options));
	}

	void apply(const Event &event)
	{
		switch (event.kind) {
		case Event::update:
			return update(event);
		case Event::leaving:
			return mark_leaving(event);
		case Event::pick:
			return pick(event);
		case Event::finish:
			return finish(event);
		case Event::outage:
			return outage(event);
		default:
			now += (int64_t)(event.a % 3000) * NS_PER_MS;
		}
	}

	/* Invariants that hold after every event. */
	void check()
	{
		/* Freed by its destructor, since RC_ASSERT throws. */
		std::unique_ptr<json_t, decltype(&json_decref)> dump(
			balance_dump(balance.get(), now), json_decref);
		json_t *services = json_object_get(dump.get(), "services");

		for (int s = 0; s < NR_SERVICES; s++)
			check_service(s, json_object_get(services,
							 key(s).c_str()));
		for (const StartedRequest &started : started_requests)
			RC_ASSERT(balance_in_flight(balance.get(),
						    started.handle) ==
				  in_flight(started.handle));
	}

	/* Ends all requests with answers; every target must be readmitted. */
	void recover()
	{
		while (!started_requests.empty())
			finish_at(0, FAILURE_NONE, false);
		check();
		for (int i = 0; i < 400; i++) {
			now += NS_PER_SEC;
			pick({ Event::pick, (uint32_t)i, 0, 1 });
			while (!started_requests.empty())
				finish_at(0, FAILURE_NONE, false);
		}
		check();
		RC_ASSERT(nr_ejected == 0);
	}

      private:
	static std::string key(int s)
	{
		return "service" + std::to_string(s);
	}
	static std::string host(int h)
	{
		return "h" + std::to_string(h);
	}

	uint32_t in_flight(balance_handle handle)
	{
		return (uint32_t)std::count_if(started_requests.begin(),
					       started_requests.end(),
					       [&](const StartedRequest &r) {
						       return r.handle ==
							      handle;
					       });
	}

	bool accepts(const ModelTarget &target) const
	{
		return target.in_service && !target.leaving &&
		       now >= target.draining_until;
	}

	void update(const Event &event)
	{
		bool skip = mutant == Mutant::skips_updates && ++updates % 2;

		balance_update_begin(balance.get());
		for (int s = 0; s < NR_SERVICES; s++) {
			/* Some configuration versions lack a service. */
			bool absent = (event.c >> s) % 8 == 7;

			update_service(s, absent ? 0 : event.a >> (s * 9),
				       event.b >> (s * 9), skip, absent);
		}
		if (mutant != Mutant::skips_update_end)
			balance_update_end(balance.get(), now);
		if (mutant == Mutant::loses_state)
			port++;
	}

	void update_service(int s, uint32_t present, uint32_t marks, bool skip,
			    bool absent)
	{
		std::array<std::string, NR_HOSTS> names, zones, addresses;
		std::vector<struct balance_target> targets;
		std::string name = key(s);
		struct balance_service settings = { name.c_str(), EJECT_PERCENT,
						    80 };

		if (mutant == Mutant::ejects_all)
			settings.eject_percent_max = 100;
		for (int h = 0; h < NR_HOSTS; h++) {
			if (!(present >> h & 1)) {
				remove_target(s, h);
				continue;
			}
			/* A quarter of the targets is marked out of service. */
			bool in = (marks >> h & 1) || (marks >> (h + 1) & 1);

			names[h] = host(h);
			zones[h] = "z" + std::to_string(h % NR_ZONES);
			addresses[h] = "127.0.0.1:" + std::to_string(port + h);
			model[s][h].in_service = in;
			model[s][h].leaving = leaving[h];
			targets.push_back(
				{ names[h].c_str(), zones[h].c_str(), "r",
				  addresses[h].c_str(), 10, 1,
				  in || mutant == Mutant::ignores_marks });
		}
		if (!skip && !absent)
			index[s] = balance_update(balance.get(), &settings,
						  targets.data(),
						  targets.size(), now);
	}

	void remove_target(int s, int h)
	{
		model[s].erase(h);
		for (StartedRequest &started : started_requests)
			started.removed |=
				started.service == s && started.host == h;
	}

	void mark_leaving(const Event &event)
	{
		int h = (int)(event.a % NR_HOSTS);

		leaving[h] = event.b % 2;
		for (auto &targets : model) {
			auto found = targets.find(h);

			if (found != targets.end())
				found->second.leaving = leaving[h];
		}
		if (mutant != Mutant::omits_leaving)
			balance_mark_leaving(balance.get(), host(h).c_str(),
					     leaving[h], now);
	}

	void pick(const Event &event)
	{
		int s = (int)(event.a % NR_SERVICES);
		std::vector<balance_handle> excluded;
		struct balance_request request = {};
		struct balance_choice choice;
		bool possible = false;

		for (const auto &entry : model[s]) {
			const ModelTarget &target = entry.second;

			/* Excludes up to three targets that were used. */
			if (target.handle && (event.b >> entry.first & 1) &&
			    excluded.size() < 3)
				excluded.push_back(target.handle);
			else
				possible |= accepts(target);
		}
		request.service = index[s];
		request.excluded = excluded.data();
		request.nr_excluded = mutant == Mutant::ignores_excluded
					      ? 0
					      : excluded.size();
		request.retryable = event.c % 2;
		bool picked =
			balance_pick(balance.get(), &request, now, &choice);
		RC_ASSERT(picked == possible);
		if (!picked)
			return;

		int h = choice.host[1] - '0';
		auto found = model[s].find(h);
		RC_ASSERT(found != model[s].end());
		RC_ASSERT(accepts(found->second));
		RC_ASSERT(choice.accepts_new_work);
		RC_ASSERT(choice.own_zone == (h % NR_ZONES == 0));
		RC_ASSERT(std::find(excluded.begin(), excluded.end(),
				    choice.target) == excluded.end());
		RC_ASSERT(balance_start(balance.get(), choice.target, now));
		found->second.handle = choice.target;
		found->second.in_flight++;
		started_requests.push_back({ s, h, choice.target, false });
	}

	void finish(const Event &event)
	{
		/* Mostly failures, to cause ejections. */
		static const enum failure_reason reasons[] = {
			FAILURE_NONE,
			FAILURE_LINK_LOST,
			FAILURE_LINK_REFUSED,
			FAILURE_BACKEND_LOST,
			FAILURE_DEADLINE,
			FAILURE_QUEUE_FULL,
			FAILURE_CANCELLED,
			FAILURE_TARGET_DRAINING,
			FAILURE_BACKEND_REFUSED,
			FAILURE_LINK_LOST,
		};

		if (started_requests.empty())
			return;
		finish_at(event.a % started_requests.size(),
			  reasons[event.b % std::size(reasons)],
			  event.c % 16 == 0);
	}

	void outage(const Event &event)
	{
		for (uint32_t i = 0; i < event.b % 40; i++) {
			size_t before = started_requests.size();

			pick({ Event::pick, event.a, 0, event.c });
			if (started_requests.size() > before)
				finish_at(before, FAILURE_LINK_LOST, false);
			check();
		}
	}

	void finish_at(size_t at, enum failure_reason reason, bool draining)
	{
		StartedRequest started = started_requests[at];
		struct balance_result result = {};

		result.reason = reason;
		result.latency_ns = NS_PER_MS;
		result.reported = reason != FAILURE_LINK_LOST &&
				  reason != FAILURE_LINK_REFUSED;
		result.in_flight = 3;
		result.limit = 10;
		result.draining = draining && mutant != Mutant::hides_draining;
		started_requests.erase(started_requests.begin() + (long)at);
		if (mutant != Mutant::omits_finish || at % 4)
			balance_finish(balance.get(), started.handle, &result,
				       now);
		if (mutant == Mutant::finishes_twice)
			balance_finish(balance.get(), started.handle, &result,
				       now);
		if (!started.removed)
			update_model(model[started.service][started.host],
				     reason, result.reported && draining);
	}

	void update_model(ModelTarget &target, enum failure_reason reason,
			  bool draining)
	{
		target.in_flight--;
		if (failure_get(reason)->counts_for_ejection)
			target.failures++;
		else if (reason == FAILURE_NONE)
			target.failures = 0;
		target.may_be_ejected |= target.failures >= EJECT_FAILURES;
		if (draining || reason == FAILURE_TARGET_DRAINING)
			target.draining_until = now + DRAINING_LIFE;
	}

	void check_service(int s, json_t *dump)
	{
		json_t *entry;
		size_t i, n = 0, ejected = 0;

		if (s == 0)
			nr_ejected = 0;
		for (const auto &target : model[s])
			n += accepts(target.second);
		json_array_foreach (json_object_get(dump, "targets"), i,
				    entry) {
			const char *name = json_string_value(
				json_object_get(entry, "host"));
			auto found = model[s].find(name[1] - '0');

			RC_ASSERT(found != model[s].end());
			const ModelTarget &target = found->second;
			RC_ASSERT(
				json_integer_value(
					json_object_get(entry, "in_flight")) ==
				target.in_flight);
			if (!json_is_true(json_object_get(entry, "ejected")))
				continue;
			RC_ASSERT(target.may_be_ejected);
			ejected += json_is_true(
				json_object_get(entry, "in_subset"));
		}
		size_t limit = n * EJECT_PERCENT / 100;
		if (n >= 2 && !limit)
			limit = 1;
		RC_ASSERT(ejected <= (n < 2 ? 0 : limit));
		nr_ejected += ejected;
	}

	struct Free {
		void operator()(struct balance *b) const
		{
			balance_free(b);
		}
	};

	Mutant mutant;
	struct rng rng;
	std::unique_ptr<struct balance, Free> balance;
	int64_t now = 100 * NS_PER_SEC;
	std::array<std::map<int, ModelTarget>, NR_SERVICES> model;
	std::array<bool, NR_HOSTS> leaving = {};
	std::array<int, NR_SERVICES> index = { -1, -1 };
	std::vector<StartedRequest> started_requests;
	size_t nr_ejected = 0;
	int updates = 0, port = 7000;
};

bool matches_model(Mutant mutant)
{
	return rc::check("balance matches the model", [mutant] {
		auto events =
			*rc::gen::container<std::vector<Event>>(any_event());
		Run run(mutant);

		run.apply({ Event::update, 0x3ffff, 0x3ffff, 0 });
		for (const Event &event : events) {
			run.apply(event);
			run.check();
		}
		run.recover();
	});
}

/*
 * Guards against new work for targets that are out of service, draining,
 * leaving or removed; ejections that are too early, above the limit or never
 * end; in-flight counts that are wrong or lost by an update.
 */
TEST(BalanceState, MatchesModel)
{
	EXPECT_TRUE(matches_model(Mutant::none));
}

/* Guards against a comparison that detects no faults. */
class BalanceMutants : public testing::TestWithParam<Mutant>
{
};

TEST_P(BalanceMutants, IsDetected)
{
	EXPECT_FALSE(matches_model(GetParam()));
}

INSTANTIATE_TEST_SUITE_P(
	All, BalanceMutants,
	testing::Values(Mutant::omits_leaving, Mutant::ignores_marks,
			Mutant::hides_draining, Mutant::ejects_all,
			Mutant::ejects_early, Mutant::never_readmits,
			Mutant::skips_updates, Mutant::skips_update_end,
			Mutant::loses_state, Mutant::omits_finish,
			Mutant::finishes_twice, Mutant::ignores_excluded));

} // namespace

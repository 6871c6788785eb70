#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <vector>

extern "C" {
#include "admit/admit.h"
#include "base/clock.h"
#include "base/rng.h"
#include "retry/window.h"
}

/*
 * Simulates several daemons in one process and in virtual time, and checks the
 * limits that hold for all of them together: retries of a service, and starts
 * of requests on a cold server. Messages are delayed or lost, servers restart
 * cold, and daemons restart without state. The tests also inject faults into
 * the daemons, and expect the violation that each fault causes.
 */

namespace
{

const int NR_DAEMONS = 6; /* one for each server */
const int64_t WINDOW_NS = 10 * NS_PER_SEC;
const double RATIO = 0.2;
const int SLACK = 60;
const double COLD_PER_S = 16, COLD_OVERAGE = 1.5, COLD_SLACK = 5;
const int64_t COLD_NS = 3 * NS_PER_SEC;
const int64_t SECONDS = 40;

struct InjectedFaults {
	bool takes_all_slack = false; /* each daemon uses the slack of all */
	double cold_burst =
		0.6 * (COLD_PER_S * (COLD_OVERAGE - 1) + COLD_SLACK);
	bool ignores_drain = false;
	bool starts_warm = false; /* restarted daemons assume warm servers */
};

struct Request {
	struct admit_request admit; /* first, for the cast in start_next() */
	int sender, server, attempts;
	bool at_most_once; /* must run at most once */
	int runs;
	int64_t deadline;
};

struct Daemon {
	struct retry_window window = {};
	struct admit *admit = nullptr;
	bool draining = false;
	int64_t cold_until = 0; /* of the server of the daemon */
	std::vector<int64_t> cold_starts;
};

class Fleet
{
      public:
	Fleet(uint64_t seed, const InjectedFaults &faults) : faults(faults)
	{
		rng_init(&rng, seed);
		for (Daemon &daemon : daemons)
			start_daemon(daemon);
	}

	~Fleet()
	{
		for (auto &request : requests)
			for (Daemon &daemon : daemons)
				if (request->admit.state == ADMIT_WAITING)
					admit_cancel(daemon.admit,
						     &request->admit);
		for (Daemon &daemon : daemons)
			admit_free(daemon.admit);
	}

	/* Returns a violation, or "". */
	std::string run()
	{
		schedule_faults();
		at(0, [this] { arrive(); });
		while (!events.empty() &&
		       events.top().when < SECONDS * NS_PER_SEC &&
		       violation.empty()) {
			Event event = events.top();

			events.pop();
			now = event.when;
			event.act();
		}
		check_retries();
		check_cold_starts();
		return violation;
	}

	int nr_retries = 0, nr_cold_starts = 0, nr_at_most_once = 0;

      private:
	struct Event {
		int64_t when;
		uint64_t number;
		std::function<void()> act;
		bool operator<(const Event &other) const
		{
			return when != other.when ? when > other.when
						  : number > other.number;
		}
	};

	void at(int64_t when, std::function<void()> act)
	{
		events.push({ when, next_event++, std::move(act) });
	}

	bool chance(int percent)
	{
		return (int)rng_below(&rng, 100) < percent;
	}

	int64_t between(int64_t min_ms, int64_t max_ms)
	{
		return (min_ms +
			(int64_t)rng_below(&rng, (uint64_t)(max_ms - min_ms))) *
		       NS_PER_MS;
	}

	void start_daemon(Daemon &daemon)
	{
		struct admit_options options = {};
		struct retry_window_options retries = {};

		options.slots = options.cold_slots = 12;
		options.queue_max = 36;
		options.limit_policy = &admit_limit_fixed;
		retries.window_ms = WINDOW_NS / NS_PER_MS;
		retries.ratio = RATIO;
		retries.slack = SLACK;
		retries.nr_daemons = faults.takes_all_slack ? 1 : NR_DAEMONS;
		daemon.admit = admit_new(&options, now);
		daemon.window = {};
		retry_window_set(&daemon.window, &retries, now);
		if (!faults.starts_warm)
			set_cold(daemon, now + COLD_NS);
	}

	void set_cold(Daemon &daemon, int64_t until)
	{
		struct admit_cold_rate rate = { COLD_PER_S, faults.cold_burst };

		admit_set_cold(daemon.admit, &rate, until, now, now);
	}

	/* Schedules restarts of daemons and servers, and one drain. */
	void schedule_faults()
	{
		for (int i = 0; i < 12; i++)
			at(between(0, SECONDS * 1000), [this] {
				restart_daemon(
					daemons[rng_below(&rng, NR_DAEMONS)]);
			});
		for (int i = 0; i < 10; i++)
			at(between(0, SECONDS * 1000), [this] {
				Daemon &daemon =
					daemons[rng_below(&rng, NR_DAEMONS)];

				daemon.cold_until = now + COLD_NS;
				set_cold(daemon, now + COLD_NS);
			});
		at(SECONDS * NS_PER_SEC / 2, [this] {
			daemons[0].draining = true;
			if (!faults.ignores_drain)
				admit_drain(daemons[0].admit);
		});
	}

	/* Loses the queue and the running requests, as after SIGKILL. */
	void restart_daemon(Daemon &daemon)
	{
		if (daemon.draining)
			return;
		for (auto &request : requests)
			if (&daemons[request->server] == &daemon) {
				if (request->admit.state == ADMIT_WAITING)
					admit_cancel(daemon.admit,
						     &request->admit);
				if (request->admit.state == ADMIT_RUNNING)
					admit_done(daemon.admit,
						   &request->admit, ADMIT_LOST,
						   now);
			}
		admit_free(daemon.admit);
		start_daemon(daemon);
	}

	/* About 100 requests per second, no requests for 2 s, then 250. */
	int64_t next_arrival_gap()
	{
		int64_t second = now / NS_PER_SEC % 9;

		if (second == 4)
			return 2 * NS_PER_SEC;
		return second > 5 ? between(1, 7) : between(1, 19);
	}

	/* Share of requests that fail: 10 %, between 9 s and 25 s 70 %. */
	int failing_percent() const
	{
		int64_t second = now / NS_PER_SEC;

		return second > 8 && second < 25 ? 70 : 10;
	}

	void arrive()
	{
		Request *request = new Request();

		requests.emplace_back(request);
		request->sender = (int)rng_below(&rng, NR_DAEMONS);
		request->at_most_once = chance(30);
		request->deadline = now + 2 * NS_PER_SEC;
		nr_at_most_once += request->at_most_once;
		retry_window_request(&daemons[request->sender].window, now);
		request_times.push_back(now);
		send(request);
		at(now + next_arrival_gap(), [this] { arrive(); });
	}

	void send(Request *request)
	{
		request->server = (int)rng_below(&rng, NR_DAEMONS);
		request->attempts++;
		if (request->attempts > 1) {
			retry_times.push_back(now);
			nr_retries++;
		}
		/* The request or its answer is lost. */
		if (chance(4)) {
			at(now + between(50, 400),
			   [this, request] { fail(request); });
			return;
		}
		at(now + between(1, 40), [this, request] { submit(request); });
	}

	/* Handles a missing answer; the request may have run. */
	void fail(Request *request)
	{
		struct retry_window *window = &daemons[request->sender].window;

		if (request->at_most_once || request->attempts == 2 ||
		    now >= request->deadline ||
		    !retry_window_take(window, RETRY_NORMAL, now))
			return;
		send(request);
	}

	void submit(Request *request)
	{
		Daemon &daemon = daemons[request->server];
		struct admit_request *displaced = nullptr;

		request->admit = {};
		request->admit.priority =
			request->at_most_once ? ADMIT_ORDER : ADMIT_LOOKUP;
		request->admit.deadline = request->deadline;
		if (admit_arrive(daemon.admit, &request->admit, now,
				 &displaced) == ADMIT_RUN)
			start(request);
		wait_for_timer(request->server);
	}

	void start(Request *request)
	{
		Daemon &daemon = daemons[request->server];
		struct admit *admit = daemon.admit;
		bool fails = chance(failing_percent());

		if (daemon.draining)
			violation = "started on a draining server";
		if (++request->runs > 1 && request->at_most_once)
			violation = "ran twice";
		if (now < daemon.cold_until) {
			daemon.cold_starts.push_back(now);
			nr_cold_starts++;
		}
		at(now + between(20, 250), [this, request, admit, fails] {
			/* The daemon of the server has restarted. */
			if (daemons[request->server].admit != admit ||
			    request->admit.state != ADMIT_RUNNING)
				return;
			admit_done(admit, &request->admit,
				   fails ? ADMIT_LOST : ADMIT_ANSWERED, now);
			start_next(request->server);
			if (fails)
				fail(request);
		});
	}

	void start_next(int server)
	{
		struct admit *admit = daemons[server].admit;
		struct admit_request *next;
		struct cds_list_head expired;

		CDS_INIT_LIST_HEAD(&expired);
		admit_expire(admit, now, &expired);
		while ((next = admit_next(admit, now, &expired))) {
			/* Queued requests are refused, as in the relay. */
			if (daemons[server].draining)
				admit_done(admit, next, ADMIT_SHED, now);
			else
				start((Request *)next);
		}
		wait_for_timer(server);
	}

	void wait_for_timer(int server)
	{
		struct admit *admit = daemons[server].admit;
		int64_t timer = admit_next_timer(admit);

		if (timer != DEADLINE_NEVER)
			at(std::max(timer, now + NS_PER_MS),
			   [this, server, admit] {
				   if (daemons[server].admit == admit &&
				       admit_next_timer(admit) <= now)
					   start_next(server);
			   });
	}

	static size_t count(const std::vector<int64_t> &times, int64_t from,
			    int64_t to)
	{
		return (size_t)(std::lower_bound(times.begin(), times.end(),
						 to) -
				std::lower_bound(times.begin(), times.end(),
						 from));
	}

	/* The limit depends on requests in the same or preceding window. */
	void check_retries()
	{
		for (int64_t from : retry_times) {
			size_t nr = count(retry_times, from, from + WINDOW_NS);
			size_t base = std::max(count(request_times, from,
						     from + WINDOW_NS),
					       count(request_times,
						     from - WINDOW_NS, from));

			if ((double)nr > RATIO * (double)base + SLACK)
				violation = "retries above the limit of the "
					    "service";
		}
	}

	void check_cold_starts()
	{
		for (Daemon &daemon : daemons)
			for (int64_t from : daemon.cold_starts)
				if ((double)count(daemon.cold_starts, from,
						  from + NS_PER_SEC) >
				    COLD_PER_S * COLD_OVERAGE + COLD_SLACK)
					violation =
						"starts above the limit of a "
						"cold server";
	}

	const InjectedFaults faults;
	struct rng rng;
	int64_t now = 0;
	uint64_t next_event = 0;
	Daemon daemons[NR_DAEMONS];
	std::priority_queue<Event> events;
	std::vector<std::unique_ptr<Request>> requests;
	std::vector<int64_t> request_times, retry_times;
	std::string violation;
};

const uint64_t SEEDS = 30;

/* Returns the violation of the first seed that has one, or "". */
std::string first_violation(const InjectedFaults &faults)
{
	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		std::string violation = Fleet(seed, faults).run();

		if (!violation.empty())
			return violation;
	}
	return "";
}

TEST(Fleet, KeepsLimitsAcrossDaemons)
{
	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		Fleet fleet(seed, InjectedFaults());

		EXPECT_EQ(fleet.run(), "") << "seed " << seed;
		/* Each check had enough cases. */
		EXPECT_GT(fleet.nr_retries, 50) << "seed " << seed;
		EXPECT_GT(fleet.nr_cold_starts, 100) << "seed " << seed;
		EXPECT_GT(fleet.nr_at_most_once, 500) << "seed " << seed;
	}
}

TEST(Fleet, DetectsInjectedFaults)
{
	InjectedFaults no_sharing, burst, warm, drain;

	drain.ignores_drain = true;
	EXPECT_EQ(first_violation(drain), "started on a draining server");
	no_sharing.takes_all_slack = true;
	EXPECT_EQ(first_violation(no_sharing),
		  "retries above the limit of the service");
	burst.cold_burst = 30;
	EXPECT_EQ(first_violation(burst),
		  "starts above the limit of a cold server");
	warm.starts_warm = true;
	EXPECT_EQ(first_violation(warm),
		  "starts above the limit of a cold server");
}

} // namespace

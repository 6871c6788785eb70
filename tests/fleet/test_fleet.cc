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
 * The decisions of several daemons in one process and in virtual time, against
 * the promises that hold for all of them together: what a service bears in
 * repeats, and what a cold server bears in starts. Messages are late or lost,
 * servers end and come back cold, and daemons start anew without memory. Each
 * promise is shown to fail when one daemon's part of it is planted wrong.
 */

namespace
{

const int NR = 6; /* daemons, each beside a server */
const int64_t WINDOW_NS = 10 * NS_PER_SEC;
const double RATIO = 0.2;
const int SLACK = 60;
const double COLD_PER_S = 16, COLD_OVERAGE = 1.5, COLD_SLACK = 5;
const int64_t COLD_NS = 3 * NS_PER_SEC;
const int64_t SECONDS = 40;

struct Planted {
	bool counts_alone = false; /* takes all of the slack for itself */
	double cold_burst =
		0.6 * (COLD_PER_S * (COLD_OVERAGE - 1) + COLD_SLACK);
	bool ignores_leaving = false;
	bool forgets_cold = false; /* a new daemon takes its server for warm */
};

struct Request {
	struct admit_request admit; /* first: cast back from lists */
	int sender, server, attempts;
	bool once; /* runs at most once */
	int runs;
	int64_t deadline;
};

struct Daemon {
	struct retry_window window = {};
	struct admit *admit = nullptr;
	bool draining = false;
	int64_t cold_until = 0; /* of the server beside it */
	std::vector<int64_t> cold_starts;
};

class Fleet
{
      public:
	Fleet(uint64_t seed, const Planted &planted) : planted(planted)
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

	/* The first promise that was broken, or "". */
	std::string run()
	{
		plan_troubles();
		at(0, [this] { arrive(); });
		while (!events.empty() &&
		       events.top().when < SECONDS * NS_PER_SEC &&
		       broken.empty()) {
			Event event = events.top();

			events.pop();
			now = event.when;
			event.act();
		}
		check_repeats();
		check_cold_starts();
		return broken;
	}

	int nr_repeats = 0, nr_cold_starts = 0, nr_once = 0;

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

	int64_t between(int64_t least_ms, int64_t most_ms)
	{
		return (least_ms +
			(int64_t)rng_below(&rng,
					   (uint64_t)(most_ms - least_ms))) *
		       NS_PER_MS;
	}

	void start_daemon(Daemon &daemon)
	{
		struct admit_options options = {};
		struct retry_window_options repeats = {};

		options.slots = options.cold_slots = 12;
		options.queue_max = 36;
		options.limit_policy = &admit_limit_fixed;
		repeats.window_ms = WINDOW_NS / NS_PER_MS;
		repeats.ratio = RATIO;
		repeats.slack = SLACK;
		repeats.nr_daemons = planted.counts_alone ? 1 : NR;
		daemon.admit = admit_new(&options, now);
		daemon.window = {};
		retry_window_set(&daemon.window, &repeats, now);
		if (!planted.forgets_cold)
			set_cold(daemon, now + COLD_NS);
	}

	void set_cold(Daemon &daemon, int64_t until)
	{
		struct admit_cold_rate rate = { COLD_PER_S,
						planted.cold_burst };

		admit_set_cold(daemon.admit, &rate, until, now);
	}

	/* Restarts of daemons, in series; servers that end and come back. */
	void plan_troubles()
	{
		for (int i = 0; i < 12; i++)
			at(between(0, SECONDS * 1000), [this] {
				restart_daemon(daemons[rng_below(&rng, NR)]);
			});
		for (int i = 0; i < 10; i++)
			at(between(0, SECONDS * 1000), [this] {
				Daemon &daemon = daemons[rng_below(&rng, NR)];

				daemon.cold_until = now + COLD_NS;
				set_cold(daemon, now + COLD_NS);
			});
		at(SECONDS * NS_PER_SEC / 2, [this] {
			daemons[0].draining = true;
			if (!planted.ignores_leaving)
				admit_drain(daemons[0].admit);
		});
	}

	/* Its queue and what it ran are lost, as after SIGKILL. */
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

	/* 100 a second, then nothing for 2 s, then 250 a second at once. */
	int64_t gap()
	{
		int64_t second = now / NS_PER_SEC % 9;

		if (second == 4)
			return 2 * NS_PER_SEC;
		return second > 5 ? between(1, 7) : between(1, 19);
	}

	/* Servers fail some requests, and for a while most of them. */
	int failing_percent() const
	{
		int64_t second = now / NS_PER_SEC;

		return second > 8 && second < 25 ? 70 : 10;
	}

	void arrive()
	{
		Request *request = new Request();

		requests.emplace_back(request);
		request->sender = (int)rng_below(&rng, NR);
		request->once = chance(30);
		request->deadline = now + 2 * NS_PER_SEC;
		nr_once += request->once;
		retry_window_request(&daemons[request->sender].window, now);
		asked.push_back(now);
		send(request);
		at(now + gap(), [this] { arrive(); });
	}

	void send(Request *request)
	{
		request->server = (int)rng_below(&rng, NR);
		request->attempts++;
		if (request->attempts > 1) {
			repeated.push_back(now);
			nr_repeats++;
		}
		/* The message, or the answer later, is lost. */
		if (chance(4)) {
			at(now + between(50, 400),
			   [this, request] { fail(request); });
			return;
		}
		at(now + between(1, 40), [this, request] { submit(request); });
	}

	/* The sender has no answer; it may have run. */
	void fail(Request *request)
	{
		struct retry_window *window = &daemons[request->sender].window;

		if (request->once || request->attempts == 2 ||
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
			request->once ? ADMIT_ORDER : ADMIT_LOOKUP;
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
			broken = "started at a server that is leaving";
		if (++request->runs > 1 && request->once)
			broken = "ran twice";
		if (now < daemon.cold_until) {
			daemon.cold_starts.push_back(now);
			nr_cold_starts++;
		}
		at(now + between(20, 250), [this, request, admit, fails] {
			/* The daemon beside the server was restarted. */
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
			/* Those that waited are refused, as in the relay. */
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

	/* In each window, by the requests of it or of the one before. */
	void check_repeats()
	{
		for (int64_t from : repeated) {
			size_t nr = count(repeated, from, from + WINDOW_NS);
			size_t base =
				std::max(count(asked, from, from + WINDOW_NS),
					 count(asked, from - WINDOW_NS, from));

			if ((double)nr > RATIO * (double)base + SLACK)
				broken = "more repeats than the service bears";
		}
	}

	void check_cold_starts()
	{
		for (Daemon &daemon : daemons)
			for (int64_t from : daemon.cold_starts)
				if ((double)count(daemon.cold_starts, from,
						  from + NS_PER_SEC) >
				    COLD_PER_S * COLD_OVERAGE + COLD_SLACK)
					broken = "more starts than a cold "
						 "server bears";
	}

	const Planted planted;
	struct rng rng;
	int64_t now = 0;
	uint64_t next_event = 0;
	Daemon daemons[NR];
	std::priority_queue<Event> events;
	std::vector<std::unique_ptr<Request>> requests;
	std::vector<int64_t> asked, repeated;
	std::string broken;
};

const uint64_t SEEDS = 30;

/* The first promise that one of the seeds breaks. */
std::string first_broken(const Planted &planted)
{
	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		std::string broken = Fleet(seed, planted).run();

		if (!broken.empty())
			return broken;
	}
	return "";
}

TEST(Fleet, KeepsWhatAllDaemonsPromiseTogether)
{
	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		Fleet fleet(seed, Planted());

		EXPECT_EQ(fleet.run(), "") << "seed " << seed;
		/* Each check had something to judge. */
		EXPECT_GT(fleet.nr_repeats, 50) << "seed " << seed;
		EXPECT_GT(fleet.nr_cold_starts, 100) << "seed " << seed;
		EXPECT_GT(fleet.nr_once, 500) << "seed " << seed;
	}
}

TEST(Fleet, PlantedFaultsAreFound)
{
	Planted alone, burst, forgets, ignores;

	ignores.ignores_leaving = true;
	EXPECT_EQ(first_broken(ignores), "started at a server that is leaving");
	alone.counts_alone = true;
	EXPECT_EQ(first_broken(alone), "more repeats than the service bears");
	burst.cold_burst = 30;
	EXPECT_EQ(first_broken(burst), "more starts than a cold server bears");
	forgets.forgets_cold = true;
	EXPECT_EQ(first_broken(forgets),
		  "more starts than a cold server bears");
}

} // namespace

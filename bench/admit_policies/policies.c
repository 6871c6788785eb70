/*
 * Compares the limit policies of admission on an event-driven model of one
 * target. Prints one line for each policy, kind of warm-up and offered load.
 *
 * The model backend server has 10 slots and a service time of 20 ms when
 * warm, so its capacity is 500 requests/s. Cold, its service time is five
 * times as long and it can run one request at a time; both change linearly
 * while it warms up, either over 8 s or over 400 answers. It crashes when the
 * requests above this limit add up to CRASH_OVERLOAD_SLOT_S without a pause:
 * all requests in flight are lost, it refuses connections for 2 s and starts
 * cold. It also starts cold at 0 s, is restarted at 40 s, and loses its caches
 * at 80 s without a lost connection.
 */
#include <inttypes.h>
#include <math.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>

#include "admit/admit.h"
#include "base/clock.h"
#include "base/rng.h"

#define SLOTS 10
#define QUEUE_MAX 20
#define WARM_SERVICE_NS (20 * NS_PER_MS)
#define COLD_FACTOR 5
#define CAPACITY_PER_SEC 500
#define CRASH_OVERLOAD_SLOT_S 0.2
#define DOWN_NS (2 * NS_PER_SEC)
#define REFUSED_NS (100 * NS_PER_US)
#define DEADLINE_NS (2 * NS_PER_SEC)
#define WARM_NS (8 * NS_PER_SEC)
#define WARM_ANSWERS 400
#define RESTART_AT (40 * NS_PER_SEC)
#define FLUSH_AT (80 * NS_PER_SEC)
#define END_AT (120 * NS_PER_SEC)
#define NR_CALLERS 8
#define NR_SEEDS 10
#define NR_REQUESTS 256 /* more than slots, queue and one arrival */

struct request {
	struct admit_request admit;
	struct request *next_unused;
	int64_t end; /* when running */
	bool refused;
	bool running;
};

struct results {
	long offered, answered, refused, lost, crashes;
	double overload; /* slot-seconds above the concurrency limit */
	double wait_sum;
};

struct model {
	struct rng rng;
	struct admit *admit;
	struct request requests[NR_REQUESTS];
	struct request *unused;
	bool warms_by_time;
	double load;
	int64_t now;
	int64_t next_arrival;
	int64_t cold_since;
	int64_t up_at; /* connections are refused before this time */
	long warm_answers;
	double current_overload; /* slot-seconds of the current overload */
	bool restarted, flushed;
	struct results results;
};

static double uniform(struct rng *rng)
{
	return ((double)(rng_next(rng) >> 11) + 1) / 9007199254740993.0;
}

static double warm_fraction(const struct model *m)
{
	double part = m->warms_by_time
			      ? (double)(m->now - m->cold_since) / WARM_NS
			      : (double)m->warm_answers / WARM_ANSWERS;

	return part < 1 ? part : 1;
}

static double concurrency_limit(const struct model *m)
{
	return 1 + (SLOTS - 1) * warm_fraction(m);
}

static int in_flight(const struct model *m)
{
	int n = 0;

	for (int i = 0; i < NR_REQUESTS; i++)
		n += m->requests[i].running && !m->requests[i].refused;
	return n;
}

static int64_t service_ns(struct model *m)
{
	double factor = 1 + (COLD_FACTOR - 1) * (1 - warm_fraction(m));
	double spread = 0.5 - 0.5 * log(uniform(&m->rng));

	return (int64_t)(factor * spread * (double)WARM_SERVICE_NS);
}

static void release(struct model *m, struct request *r)
{
	r->running = false;
	r->next_unused = m->unused;
	m->unused = r;
}

static void run(struct model *m, struct request *r)
{
	r->running = true;
	r->refused = m->now < m->up_at;
	r->end = m->now + (r->refused ? REFUSED_NS : service_ns(m));
}

static void drop(struct model *m, struct request *r)
{
	m->results.refused++;
	release(m, r);
}

static void start_queued(struct model *m)
{
	CDS_LIST_HEAD(expired);
	struct admit_request *next, *after;

	while ((next = admit_next(m->admit, m->now, &expired)))
		run(m, caa_container_of(next, struct request, admit));
	admit_expire(m->admit, m->now, &expired);
	cds_list_for_each_entry_safe (next, after, &expired, node)
		drop(m, caa_container_of(next, struct request, admit));
}

static void arrive(struct model *m)
{
	struct request *r = m->unused;
	struct admit_request *displaced;
	uint64_t kind = rng_below(&m->rng, 10);

	m->next_arrival += (int64_t)(-log(uniform(&m->rng)) * NS_PER_SEC /
				     (m->load * CAPACITY_PER_SEC));
	m->results.offered++;
	m->unused = r->next_unused;
	r->admit.caller = rng_below(&m->rng, NR_CALLERS);
	r->admit.priority = kind < 2   ? ADMIT_ORDER
			    : kind < 9 ? ADMIT_LOOKUP
				       : ADMIT_BACKGROUND;
	r->admit.deadline = m->now + DEADLINE_NS;
	r->admit.cost = 1;
	switch (admit_arrive(m->admit, &r->admit, m->now, &displaced)) {
	case ADMIT_RUN:
		run(m, r);
		break;
	case ADMIT_QUEUED:
		if (displaced)
			drop(m, caa_container_of(displaced, struct request,
						 admit));
		break;
	default:
		drop(m, r);
	}
}

static void finish(struct model *m, struct request *r)
{
	enum admit_outcome outcome = ADMIT_ANSWERED;

	if (r->refused) {
		outcome = ADMIT_LOST;
		admit_backend_lost(m->admit, r->admit.life, m->now);
		m->results.refused++;
	} else {
		m->warm_answers++;
		m->results.answered += m->now <= r->admit.deadline;
		m->results.wait_sum +=
			(double)(r->admit.started - r->admit.arrival);
	}
	admit_done(m->admit, &r->admit, outcome, m->now);
	release(m, r);
}

static void reset_to_cold(struct model *m, int64_t at)
{
	m->cold_since = at;
	m->warm_answers = 0;
	m->current_overload = 0;
}

static void crash(struct model *m, int64_t down_ns)
{
	for (int i = 0; i < NR_REQUESTS; i++) {
		struct request *r = &m->requests[i];

		if (!r->running || r->refused)
			continue;
		m->results.lost++;
		admit_backend_lost(m->admit, r->admit.life, m->now);
		admit_done(m->admit, &r->admit, ADMIT_LOST, m->now);
		release(m, r);
	}
	m->up_at = m->now + down_ns;
	reset_to_cold(m, m->up_at);
}

/* Advances the clock and adds up the load above the concurrency limit. */
static void advance(struct model *m, int64_t until)
{
	double above =
		m->now < m->up_at ? 0 : in_flight(m) - concurrency_limit(m);
	double seconds = (double)(until - m->now) / NS_PER_SEC;

	if (above > 0.5) {
		m->results.overload += above * seconds;
		m->current_overload += above * seconds;
	} else {
		m->current_overload = 0;
	}
	m->now = until;
}

static struct request *next_end(struct model *m)
{
	struct request *first = NULL;

	for (int i = 0; i < NR_REQUESTS; i++) {
		struct request *r = &m->requests[i];

		if (r->running && (!first || r->end < first->end))
			first = r;
	}
	return first;
}

static void step(struct model *m)
{
	struct request *ending = next_end(m);
	int64_t timer = admit_next_timer(m->admit);
	int64_t until = m->next_arrival;

	if (ending && ending->end < until)
		until = ending->end;
	if (timer < until)
		until = timer;
	advance(m, until);
	if (!m->restarted && m->now >= RESTART_AT) {
		m->restarted = true;
		crash(m, DOWN_NS);
	} else if (!m->flushed && m->now >= FLUSH_AT) {
		m->flushed = true;
		reset_to_cold(m, m->now);
	} else if (m->current_overload > CRASH_OVERLOAD_SLOT_S) {
		m->results.crashes++;
		crash(m, DOWN_NS);
	} else if (ending && until == ending->end) {
		finish(m, ending);
	} else if (until == m->next_arrival) {
		arrive(m);
	}
	start_queued(m);
}

static struct results simulate(const struct admit_limit_policy *policy,
			       bool warms_by_time, double load, uint64_t seed)
{
	static struct model m;
	const struct admit_options options = {
		.slots = SLOTS,
		.queue_max = QUEUE_MAX,
		.cold_slots = 1,
		.ramp_ns = 10 * NS_PER_SEC,
		.limit_policy = policy,
	};

	m = (struct model){ .warms_by_time = warms_by_time, .load = load };
	rng_init(&m.rng, seed);
	m.admit = admit_new(&options, 0);
	for (int i = 0; i < NR_REQUESTS; i++)
		release(&m, &m.requests[i]);
	while (m.now < END_AT)
		step(&m);
	for (int i = 0; i < NR_REQUESTS; i++)
		admit_cancel(m.admit, &m.requests[i].admit);
	admit_free(m.admit);
	return m.results;
}

static void add(struct results *sum, const struct results *r)
{
	sum->offered += r->offered;
	sum->answered += r->answered;
	sum->refused += r->refused;
	sum->lost += r->lost;
	sum->crashes += r->crashes;
	sum->overload += r->overload;
	sum->wait_sum += r->wait_sum;
}

/* Counts are means over the seeds. */
static void print_line(const char *policy, const char *warm_up, double load,
		       const struct results *r)
{
	double seconds = (double)END_AT / NS_PER_SEC * NR_SEEDS;
	double answered = (double)r->answered;

	printf("%-9s %-8s %4.0f%% %9.1f %9.1f%% %8.0f %6.1f %8.1f %12.2f "
	       "%9.2f\n",
	       policy, warm_up, 100 * load, answered / seconds,
	       100 * answered / (double)r->offered,
	       (double)r->refused / NR_SEEDS, (double)r->lost / NR_SEEDS,
	       (double)r->crashes / NR_SEEDS, r->overload / NR_SEEDS,
	       r->wait_sum / NS_PER_MS / fmax(answered, 1));
}

static void compare(bool warms_by_time, double load)
{
	static const struct admit_limit_policy *const policies[] = {
		&admit_limit_fixed, &admit_limit_time, &admit_limit_observed
	};

	for (size_t p = 0; p < sizeof(policies) / sizeof(policies[0]); p++) {
		struct results sum = { 0 };

		for (uint64_t seed = 1; seed <= NR_SEEDS; seed++) {
			struct results r = simulate(policies[p], warms_by_time,
						    load, seed);

			add(&sum, &r);
		}
		print_line(policies[p]->name,
			   warms_by_time ? "time" : "answers", load, &sum);
	}
}

int main(void)
{
	static const double loads[] = { 0.5, 0.8, 1.0, 1.5 };

	printf("%-9s %-8s %5s %9s %10s %8s %6s %8s %12s %9s\n", "policy",
	       "warm-up", "load", "goodput/s", "of offered", "refused", "lost",
	       "crashes", "overload s", "wait ms");
	for (int warm = 0; warm < 2; warm++)
		for (size_t i = 0; i < sizeof(loads) / sizeof(loads[0]); i++)
			compare(!warm, loads[i]);
	return 0;
}

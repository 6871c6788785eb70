#include "cost/server.h"

#include <glib.h>
#include <math.h>

#include "base/clock.h"

/* Most run times that the speed stands for: a new one has at least 1/16. */
#define WEIGHT_MAX 15.0

/*
 * Without new run times the learned speed returns halfway to the usual one in
 * this time, so that a server that was slow is tried again.
 */
#define SPEED_HALF_LIFE_NS (10 * NS_PER_SEC)

/*
 * Largest change, as a factor, by which one run time counts. 3 in 100 requests
 * take 7 times their usual work and say little about the server.
 */
#define RUN_FACTOR_MAX 3

/* A server is taken for at most 16 times slower or faster than the usual. */
#define SLOWNESS_MAX 16.0

/* The reported pace is believed between a tenth and ten times the usual. */
#define PACE_PERCENT_MIN 10
#define PACE_PERCENT_MAX 1000

/*
 * The difference of a reported backlog to the mean halves in this time, and
 * that of a reported pace to the usual one. Backlogs change within a few run
 * times, the pace of shared machines within a second.
 */
#define BACKLOG_HALF_LIFE_NS (1 * NS_PER_SEC)
#define PACE_HALF_LIFE_NS (400 * NS_PER_MS)

static double decay(int64_t since, int64_t now, int64_t half_life_ns)
{
	return exp2(-(double)MAX(now - since, 0) / (double)half_life_ns);
}

/* The learned slowness, as it ages. */
static double get_slowness(const struct cost_server *server, int64_t now)
{
	if (!server->observed_at)
		return 1;
	return 1 + (server->slowness - 1) *
			   decay(server->observed_at, now, SPEED_HALF_LIFE_NS);
}

static double pace_of(int percent)
{
	if (!percent)
		return 1;
	return CLAMP(percent, PACE_PERCENT_MIN, PACE_PERCENT_MAX) / 100.0;
}

void cost_server_report(struct cost_server *server, int pace_percent,
			int64_t backlog_ns, int64_t now)
{
	server->pace = pace_of(pace_percent);
	server->backlog_ns = (double)MAX(backlog_ns, 0);
	server->unreported_ns = 0;
	server->reported_at = now;
}

void cost_server_sent(struct cost_server *server, int64_t work_ns)
{
	server->unreported_ns += (double)work_ns;
}

void cost_server_ended(struct cost_server *server, int64_t work_ns)
{
	server->unreported_ns = MAX(server->unreported_ns - (double)work_ns, 0);
}

void cost_server_ran(struct cost_server *server, int64_t run_ns,
		     int64_t work_ns, int pace_percent, int64_t now)
{
	double expected = (double)MAX(work_ns, 1) * pace_of(pace_percent);
	double slowness = get_slowness(server, now);
	double ratio = (double)MAX(run_ns, 1) / expected;

	ratio = CLAMP(ratio, slowness / RUN_FACTOR_MAX,
		      slowness * RUN_FACTOR_MAX);
	if (server->observed_at)
		server->weight *=
			decay(server->observed_at, now, SPEED_HALF_LIFE_NS);
	server->weight = MIN(server->weight, WEIGHT_MAX) + 1;
	/* Starts halfway, because the first run time may be a rare long one. */
	slowness += (ratio - slowness) / (server->weight + 1);
	server->slowness = CLAMP(slowness, 1 / SLOWNESS_MAX, SLOWNESS_MAX);
	server->observed_at = now;
}

void cost_server_refused(struct cost_server *server, int64_t wait_ns,
			 int64_t now)
{
	double factor = cost_server_factor(server, now);

	server->backlog_ns = MAX(server->backlog_ns, (double)wait_ns / factor);
}

bool cost_server_is_reporting(const struct cost_server *server,
			      int64_t max_age_ns, int64_t now)
{
	return server->reported_at && now - server->reported_at < max_age_ns;
}

double cost_server_pace(const struct cost_server *server, int64_t now)
{
	if (!server->reported_at)
		return 1;
	return 1 + (server->pace - 1) *
			   decay(server->reported_at, now, PACE_HALF_LIFE_NS);
}

double cost_server_factor(const struct cost_server *server, int64_t now)
{
	return get_slowness(server, now) * cost_server_pace(server, now);
}

int64_t cost_server_wait_ns(const struct cost_server *server, int slots,
			    double mean_backlog_ns, int64_t now)
{
	double backlog = mean_backlog_ns;

	if (server->reported_at)
		backlog +=
			(server->backlog_ns - backlog) *
			decay(server->reported_at, now, BACKLOG_HALF_LIFE_NS);
	backlog += server->unreported_ns / MAX(slots, 1);
	return (int64_t)(backlog * cost_server_factor(server, now));
}

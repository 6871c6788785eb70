#ifndef COST_SERVER_H
#define COST_SERVER_H

#include <stdbool.h>
#include <stdint.h>

/*
 * The speed and the outstanding work of one server, as one observer knows them:
 * a sender, or the daemon beside the server. No I/O, no clock, no locks.
 *
 * It addresses servers of speeds 0.5 to 1.6 in one service, and machines whose
 * pace changes several times a second. The pace comes from load reports. The
 * speed is learned from run times relative to the expected work and the
 * reported pace, so a false or constant pace is corrected by what is observed.
 */
struct cost_server {
	double pace;	      /* run time relative to the usual one */
	int64_t reported_at;  /* of the last report; 0: none */
	double backlog_ns;    /* work outstanding for each slot, as reported */
	double unreported_ns; /* work sent since the last report */
	double slowness;      /* observed / expected run time at that pace */
	int64_t observed_at;  /* of the last run time; 0: none */
	double weight;	      /* number of run times that it stands for */
};

/*
 * Applies a load report: the pace in percent (0: unknown) and the expected
 * work outstanding at the server, divided by its slots.
 */
void cost_server_report(struct cost_server *server, int pace_percent,
			int64_t backlog_ns, int64_t now);

/* Counts a request as sent to the server. */
void cost_server_sent(struct cost_server *server, int64_t work_ns);

/* Counts a request as ended whose answer, if any, had no report. */
void cost_server_ended(struct cost_server *server, int64_t work_ns);

/*
 * Applies the run time of a request whose expected work is known. The pace is
 * the one of that run, in percent; 0: unknown.
 */
void cost_server_ran(struct cost_server *server, int64_t run_ns,
		     int64_t work_ns, int pace_percent, int64_t now);

/*
 * Applies a refusal for lack of room by a server that works at its requests
 * for wait_ns more.
 */
void cost_server_refused(struct cost_server *server, int64_t wait_ns,
			 int64_t now);

/* Whether a report not older than max_age_ns is known. */
bool cost_server_is_reporting(const struct cost_server *server,
			      int64_t max_age_ns, int64_t now);

/* The reported pace, which returns to 1 as the report ages. */
double cost_server_pace(const struct cost_server *server, int64_t now);

/* Run time on this server of work that takes 1 on a usual one. */
double cost_server_factor(const struct cost_server *server, int64_t now);

/*
 * Time until the server has done the work that it has outstanding. As the last
 * report ages, it is replaced by the mean of the servers.
 */
int64_t cost_server_wait_ns(const struct cost_server *server, int slots,
			    double mean_backlog_ns, int64_t now);

#endif

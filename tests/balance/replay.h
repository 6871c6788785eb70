#ifndef BALANCE_REPLAY_H
#define BALANCE_REPLAY_H

#include <cstdint>
#include <vector>

/*
 * Replays a load on one service in virtual time: senders with a balance each,
 * and servers with the admission of lib/admit beside them. Requests are sent
 * again when they are refused, as relay/call.c does.
 */
struct ReplayOptions {
	uint64_t seed = 1;
	int senders = 120;
	int servers = 20;
	int slots = 13;
	double per_s = 1301;
	double work_ms = 160; /* mean work of a request */
	double objective_ms = 1000;
	bool two_routes = false; /* works of 0.4 and 2.2 times the mean */
	double rare_long = 0;	 /* share of requests of 7 times the work */
	std::vector<double> speeds = { 1 };
	double slow_share = 0;	    /* of servers that take 2.5 times as long */
	int64_t pace_ms = 600;	    /* how often the slow ones change */
	bool reports = true;	    /* the servers report their load */
	bool false_reports = false; /* a tenth of them: idle, at pace 20 */
	bool expected = true;	    /* the senders give the expected work */
	bool queue = true;	    /* the daemons admit by it */
	int seconds = 10;
};

struct ReplayResult {
	uint64_t requests, in_objective, arrivals, refused, late_first, crossed;
	double busiest; /* utilization of the busiest server / mean */
	double in_objective_percent() const
	{
		return 100.0 * (double)in_objective / (double)requests;
	}
	double refused_percent() const
	{
		return 100.0 * (double)refused / (double)arrivals;
	}
};

ReplayResult replay(const ReplayOptions &options);

#endif

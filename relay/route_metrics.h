#ifndef RELAY_ROUTE_METRICS_H
#define RELAY_ROUTE_METRICS_H

#include "base/counters.h"
#include "retry/retry.h"

#define ROUTE_METRICS_OUTCOMES 3

/* Counters and times of a route's requests; kept as long as the process. */
struct route_metrics {
	char *names[ROUTE_METRICS_OUTCOMES];
	char *labels;
	struct counter requests[ROUTE_METRICS_OUTCOMES];
	struct histogram time;
};

/* Those of all routes; all zero but for the metrics at the start. */
struct route_metrics_set {
	struct metrics *metrics; /* where they are registered */
	struct route_metrics *others;
	int nr;
};

/* New ones for a route, or those that routes beyond a limit share. */
struct route_metrics *route_metrics_get(struct route_metrics_set *set,
					const char *route);

/* Counts a request that was answered held_ns after its arrival. */
void route_metrics_count(struct route_metrics *metrics, enum outcome outcome,
			 int64_t held_ns);

#endif

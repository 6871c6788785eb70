#ifndef RELAY_ROUTE_METRICS_H
#define RELAY_ROUTE_METRICS_H

#include "base/counters.h"
#include "retry/retry.h"

#define ROUTE_METRICS_OUTCOMES 3

/* Counters and response times of a route's requests; never freed. */
struct route_metrics {
	char *names[ROUTE_METRICS_OUTCOMES];
	char *labels;
	struct counter requests[ROUTE_METRICS_OUTCOMES];
	struct histogram time;
};

/* The metrics of all routes; all zero but for `metrics` at the start. */
struct route_metrics_set {
	struct metrics *metrics;      /* registry for all of them */
	struct route_metrics *others; /* shared by routes beyond the limit */
	int nr;
};

/*
 * Registers the metrics of a route; those shared by several routes once the
 * limit of the number of routes is reached.
 */
struct route_metrics *route_metrics_get(struct route_metrics_set *set,
					const char *route);

/* Counts a request that was answered held_ns after its arrival. */
void route_metrics_count(struct route_metrics *metrics, enum outcome outcome,
			 int64_t held_ns);

#endif

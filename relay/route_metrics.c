#include "base/clock.h"
#include "relay/route_metrics.h"

/* Most routes with metrics of their own; the others share one set. */
#define ROUTES_MAX 128

static struct route_metrics *new_metrics(struct route_metrics_set *set,
					 const char *route)
{
	struct route_metrics *metrics = g_new0(struct route_metrics, 1);
	g_autofree char *escaped = g_strescape(route, NULL);

	metrics->labels = g_strdup_printf("route=\"%s\"", escaped);
	for (int i = 0; i < ROUTE_METRICS_OUTCOMES; i++) {
		metrics->names[i] = g_strdup_printf(
			"godwitspur_route_requests_total{%s,outcome=\"%s\"}",
			metrics->labels, outcome_name((enum outcome)i));
		metrics->requests[i].name = metrics->names[i];
		metrics->requests[i].help =
			"Callers' requests by route and outcome.";
		metrics_add_counter(set->metrics, &metrics->requests[i]);
	}
	metrics->time.name = "godwitspur_route_seconds";
	metrics->time.labels = metrics->labels;
	metrics->time.help = "Time from a request's arrival to its answer.";
	metrics_add_histogram(set->metrics, &metrics->time);
	return metrics;
}

struct route_metrics *route_metrics_get(struct route_metrics_set *set,
					const char *route)
{
	if (set->nr < ROUTES_MAX) {
		set->nr++;
		return new_metrics(set, route);
	}
	if (!set->others)
		set->others = new_metrics(set, "other");
	return set->others;
}

void route_metrics_count(struct route_metrics *metrics, enum outcome outcome,
			 int64_t held_ns)
{
	counter_add(&metrics->requests[outcome], 1);
	histogram_observe(&metrics->time, (uint64_t)(held_ns / NS_PER_US));
}

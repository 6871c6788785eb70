#ifndef BASE_COUNTERS_H
#define BASE_COUNTERS_H

#include <glib.h>
#include <pthread.h>
#include <stdint.h>
#include <urcu/list.h>

/*
 * Counters, gauges and latency histograms of a process, written as Prometheus
 * text format 0.0.4. Updates are atomic and take no lock; registration and
 * rendering do, so that a route's metrics may come with its first request.
 */

/* Upper bounds of the histogram buckets in microseconds; the last is +Inf. */
#define HISTOGRAM_BUCKETS 16

struct counter {
	struct cds_list_head node;
	const char *name; /* may hold labels: requests_total{outcome="ran"} */
	const char *help;
	int is_gauge;
	uint64_t value;
};

struct histogram {
	struct cds_list_head node;
	const char *name;
	const char *labels; /* route="a"; NULL: none */
	const char *help;
	uint64_t buckets[HISTOGRAM_BUCKETS];
	uint64_t sum_us;
	uint64_t count;
};

struct metrics {
	pthread_mutex_t lock; /* guards the lists */
	struct cds_list_head counters;
	struct cds_list_head histograms;
};

void metrics_init(struct metrics *metrics);

/* Registers a counter or gauge; the metrics own nothing of it. */
void metrics_add_counter(struct metrics *metrics, struct counter *counter);
void metrics_add_histogram(struct metrics *metrics, struct histogram *hist);

void counter_add(struct counter *counter, uint64_t n);
void counter_set(struct counter *counter, uint64_t value);
uint64_t counter_get(const struct counter *counter);

/* Adds one observation of us microseconds. */
void histogram_observe(struct histogram *hist, uint64_t us);

/* Appends all metrics as text. */
void metrics_render(struct metrics *metrics, GString *out);

#endif

#ifndef BASE_COUNTERS_H
#define BASE_COUNTERS_H

#include <glib.h>
#include <pthread.h>
#include <stdint.h>
#include <urcu/list.h>

/*
 * Counters, gauges and latency histograms of a process, rendered in the
 * Prometheus text format 0.0.4. Updates are atomic and take no lock.
 * Registration and rendering take a lock, so that the metrics of a route can be
 * registered at its first request.
 */

/* Number of buckets of a histogram; the last has the bound +Inf. */
#define HISTOGRAM_BUCKETS 16

struct counter {
	struct cds_list_head node;
	const char *name; /* with labels: requests_total{outcome="ran"} */
	const char *help;
	int is_gauge;
	uint64_t value;
};

struct histogram {
	struct cds_list_head node;
	const char *name;
	const char *labels; /* such as route="a"; NULL: none */
	const char *help;
	/*
	 * Upper bounds of all buckets but the last, in millionths of the unit;
	 * NULL: those for response times in microseconds.
	 */
	const uint64_t *bounds;
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

/*
 * Registers a counter, gauge or histogram, which has to outlive the metrics.
 * All members of one family are registered in sequence.
 */
void metrics_add_counter(struct metrics *metrics, struct counter *counter);
void metrics_add_histogram(struct metrics *metrics, struct histogram *hist);

void counter_add(struct counter *counter, uint64_t n);
void counter_set(struct counter *counter, uint64_t value);
uint64_t counter_get(const struct counter *counter);

/* Adds one observation in microseconds. */
void histogram_observe(struct histogram *hist, uint64_t us);

/* Appends all metrics in the text format. */
void metrics_render(struct metrics *metrics, GString *out);

#endif

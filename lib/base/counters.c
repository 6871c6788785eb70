#include <string.h>

#include "base/counters.h"

/* Upper bounds of the histogram buckets in microseconds, without +Inf. */
static const uint64_t bucket_bounds_us[HISTOGRAM_BUCKETS - 1] = {
	50,    100,   200,   390,    500,    1000,    2000,    5000,
	10000, 20000, 50000, 100000, 500000, 1000000, 5000000,
};

void metrics_init(struct metrics *metrics)
{
	pthread_mutex_init(&metrics->lock, NULL);
	CDS_INIT_LIST_HEAD(&metrics->counters);
	CDS_INIT_LIST_HEAD(&metrics->histograms);
}

void metrics_add_counter(struct metrics *metrics, struct counter *counter)
{
	pthread_mutex_lock(&metrics->lock);
	cds_list_add_tail(&counter->node, &metrics->counters);
	pthread_mutex_unlock(&metrics->lock);
}

void metrics_add_histogram(struct metrics *metrics, struct histogram *hist)
{
	pthread_mutex_lock(&metrics->lock);
	cds_list_add_tail(&hist->node, &metrics->histograms);
	pthread_mutex_unlock(&metrics->lock);
}

void counter_add(struct counter *counter, uint64_t n)
{
	__atomic_fetch_add(&counter->value, n, __ATOMIC_RELAXED);
}

void counter_set(struct counter *counter, uint64_t value)
{
	__atomic_store_n(&counter->value, value, __ATOMIC_RELAXED);
}

uint64_t counter_get(const struct counter *counter)
{
	return __atomic_load_n(&counter->value, __ATOMIC_RELAXED);
}

static const uint64_t *get_bounds(const struct histogram *hist)
{
	return hist->bounds ? hist->bounds : bucket_bounds_us;
}

void histogram_observe(struct histogram *hist, uint64_t us)
{
	int i = 0;

	while (i < HISTOGRAM_BUCKETS - 1 && us > get_bounds(hist)[i])
		i++;
	__atomic_fetch_add(&hist->buckets[i], 1, __ATOMIC_RELAXED);
	__atomic_fetch_add(&hist->sum_us, us, __ATOMIC_RELAXED);
	__atomic_fetch_add(&hist->count, 1, __ATOMIC_RELAXED);
}

static uint64_t load(const uint64_t *value)
{
	return __atomic_load_n(value, __ATOMIC_RELAXED);
}

/* Returns the length of a name without its labels. */
static int family_length(const char *name)
{
	return (int)strcspn(name, "{");
}

static void render_counters(const struct metrics *metrics, GString *out)
{
	const char *family = "";
	struct counter *c;

	cds_list_for_each_entry (c, &metrics->counters, node) {
		int len = family_length(c->name);

		/* Counters of one family follow each other in the list. */
		if (len != family_length(family) ||
		    strncmp(family, c->name, (size_t)len) != 0) {
			g_string_append_printf(out, "# HELP %.*s %s\n", len,
					       c->name, c->help);
			g_string_append_printf(out, "# TYPE %.*s %s\n", len,
					       c->name,
					       c->is_gauge ? "gauge"
							   : "counter");
			family = c->name;
		}
		g_string_append_printf(out, "%s %" G_GUINT64_FORMAT "\n",
				       c->name, counter_get(c));
	}
}

static void render_histogram(const struct histogram *h, GString *out)
{
	const char *labels = h->labels ? h->labels : "";
	const char *comma = h->labels ? "," : "";
	uint64_t cumulative = 0;

	for (int i = 0; i < HISTOGRAM_BUCKETS; i++) {
		cumulative += load(&h->buckets[i]);
		g_string_append_printf(out, "%s_bucket{%s%sle=\"", h->name,
				       labels, comma);
		if (i < HISTOGRAM_BUCKETS - 1)
			g_string_append_printf(out, "%g",
					       (double)get_bounds(h)[i] / 1e6);
		else
			g_string_append(out, "+Inf");
		g_string_append_printf(out, "\"} %" G_GUINT64_FORMAT "\n",
				       cumulative);
	}
	g_string_append_printf(out,
			       h->labels ? "%s_sum{%s} %g\n" : "%s_sum%s %g\n",
			       h->name, labels, (double)load(&h->sum_us) / 1e6);
	g_string_append_printf(out,
			       h->labels ? "%s_count{%s} %" G_GUINT64_FORMAT
					   "\n"
					 : "%s_count%s %" G_GUINT64_FORMAT "\n",
			       h->name, labels, load(&h->count));
}

static void render_histograms(const struct metrics *metrics, GString *out)
{
	const char *family = "";
	struct histogram *h;

	cds_list_for_each_entry (h, &metrics->histograms, node) {
		/* Histograms of one family follow each other in the list. */
		if (strcmp(family, h->name) != 0)
			g_string_append_printf(out,
					       "# HELP %s %s\n"
					       "# TYPE %s histogram\n",
					       h->name, h->help, h->name);
		family = h->name;
		render_histogram(h, out);
	}
}

void metrics_render(struct metrics *metrics, GString *out)
{
	pthread_mutex_lock(&metrics->lock);
	render_counters(metrics, out);
	render_histograms(metrics, out);
	pthread_mutex_unlock(&metrics->lock);
}

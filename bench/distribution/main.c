#include <argtable2.h>
#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "fleet/fleet.h"

/*
 * Measures how a fleet of real daemons distributes configuration versions: the
 * time from the publication of the manifest until each daemon has it in force,
 * bytes on the control connections, calls of the source, CPU time and memory.
 */

/* Daemons without the version after this time count as late. */
#define CHANGE_TIMEOUT_MS 60000
/*
 * Pause after a change, in which the token buckets refill that limit the calls
 * of the source. A daemon that read one part from the source has a token for
 * the next change after 2 s, one that read several parts after 3 s. Changes on
 * an ordinary day are 66 s apart.
 */
#define SETTLE_MS 2200
#define SETTLE_ALL_MS 3200
#define CALLS_POLL_MS 100
#define LOG_POLL_MS 5
#define DEFAULT_BUDGET_S 235
#define DEFAULT_REPEATS 1

enum change {
	CHANGE_COLD,
	CHANGE_ALL,
	CHANGE_ROUTE,
	CHANGE_SERVICE
};

static const char *const change_names[] = { "cold", "all", "route", "service" };

/* All samples of one row of the table. */
struct row {
	const char *policy;
	int nr;
	size_t bytes;
	enum change change;
	bool herd;
	int nr_changes;
	int nr_late; /* daemons without the version at the timeout */
	GArray *times_ms;
	GArray *sent, *received, *source;	  /* KB, by daemon */
	GArray *cpu_ms, *control_ms, *rss, *peak; /* rss, peak: MB */
	int64_t max_calls; /* of the source within a second */
	double calls;	   /* of the source for each change */
	double load;
};

struct bench {
	struct fleet *fleet;
	struct fleet_options options;
	struct generate tree;
	struct fleet_counters *before;
	bool *is_steady; /* not restarted during the change */
	int repeats;
	int64_t deadline;
	json_t *rows;
};

static int compare_doubles(const void *a, const void *b)
{
	double x = *(const double *)a, y = *(const double *)b;

	return (x > y) - (x < y);
}

/*
 * Returns the value that the given share (0..1) of the samples does not exceed.
 * Sorts the samples.
 */
static double quantile(GArray *samples, double share)
{
	guint index;

	if (!samples->len)
		return 0;
	g_array_sort(samples, compare_doubles);
	index = (guint)(share * samples->len);
	return g_array_index(samples, double, MIN(index, samples->len - 1));
}

static double mean(const GArray *samples)
{
	double sum = 0;

	for (guint i = 0; i < samples->len; i++)
		sum += g_array_index(samples, double, i);
	return samples->len ? sum / samples->len : 0;
}

static void add(GArray *samples, double value)
{
	g_array_append_val(samples, value);
}

static GArray *new_samples(void)
{
	return g_array_new(FALSE, FALSE, sizeof(double));
}

static void row_init(struct row *row, const struct bench *bench,
		     enum change change, bool herd)
{
	memset(row, 0, sizeof(*row));
	row->policy = bench->options.policy;
	row->nr = bench->options.nr;
	row->bytes = bench->tree.bytes;
	row->change = change;
	row->herd = herd;
	row->times_ms = new_samples();
	row->sent = new_samples();
	row->received = new_samples();
	row->source = new_samples();
	row->cpu_ms = new_samples();
	row->control_ms = new_samples();
	row->rss = new_samples();
	row->peak = new_samples();
}

static void row_release(struct row *row)
{
	g_array_unref(row->times_ms);
	g_array_unref(row->sent);
	g_array_unref(row->received);
	g_array_unref(row->source);
	g_array_unref(row->cpu_ms);
	g_array_unref(row->control_ms);
	g_array_unref(row->rss);
	g_array_unref(row->peak);
}

static void print_head(void)
{
	printf("policy  nr  tree_KB change  herd  med_ms  p99_ms last_ms late "
	       "sent_KB recv_KB  max_KB  src_KB calls max/s  cpu_ms ctl_ms "
	       "max_ms rss_MB peak_MB load\n");
}

static void print_row(struct row *row)
{
	printf("%-6s %3d %8zu %-7s %-4s %7.0f %7.0f %7.0f %4d %7.1f %7.1f "
	       "%7.1f %7.1f %5.0f %5" PRId64
	       " %7.1f %6.1f %6.1f %6.1f %7.1f %4.1f\n",
	       row->policy, row->nr, row->bytes / 1000,
	       change_names[row->change], row->herd ? "yes" : "no",
	       quantile(row->times_ms, 0.5), quantile(row->times_ms, 0.99),
	       quantile(row->times_ms, 1), row->nr_late, mean(row->sent),
	       mean(row->received), quantile(row->sent, 1), mean(row->source),
	       row->calls, row->max_calls, mean(row->cpu_ms),
	       mean(row->control_ms), quantile(row->control_ms, 1),
	       mean(row->rss), quantile(row->peak, 1), row->load);
	fflush(stdout);
}

static json_t *row_json(struct row *row)
{
	return json_pack(
		"{s:s, s:i, s:I, s:s, s:b, s:i, s:i, s:f, s:f, s:f, s:f, s:f, "
		"s:f, s:f, s:f, s:I, s:f, s:f, s:f, s:f, s:f, s:f}",
		"policy", row->policy, "daemons", row->nr, "tree_bytes",
		(json_int_t)row->bytes, "change", change_names[row->change],
		"herd", row->herd, "changes", row->nr_changes, "late",
		row->nr_late, "median_ms", quantile(row->times_ms, 0.5),
		"p99_ms", quantile(row->times_ms, 0.99), "last_ms",
		quantile(row->times_ms, 1), "sent_kb_mean", mean(row->sent),
		"sent_kb_max", quantile(row->sent, 1), "received_kb_mean",
		mean(row->received), "source_kb_mean", mean(row->source),
		"source_calls", row->calls, "source_calls_max_second",
		(json_int_t)row->max_calls, "cpu_ms_mean", mean(row->cpu_ms),
		"control_cpu_ms_mean", mean(row->control_ms),
		"control_cpu_ms_max", quantile(row->control_ms, 1),
		"rss_mb_mean", mean(row->rss), "peak_rss_mb_max",
		quantile(row->peak, 1), "load_average", row->load);
}

static void finish_row(struct bench *bench, struct row *row)
{
	row->calls /= MAX(row->nr_changes, 1);
	row->load = load_average();
	print_row(row);
	json_array_append_new(bench->rows, row_json(row));
	row_release(row);
}

/* Measurement of one change. */

static void read_before(struct bench *bench)
{
	for (int i = 0; i < bench->options.nr; i++)
		bench->is_steady[i] =
			fleet_read_counters(bench->fleet, i, &bench->before[i]);
}

/* Daemons restarted during the change have no counters from before it. */
static void add_after(struct bench *bench, struct row *row)
{
	for (int i = 0; i < bench->options.nr; i++) {
		const struct fleet_counters *before = &bench->before[i];
		struct fleet_counters after;

		if (!fleet_read_counters(bench->fleet, i, &after))
			continue;
		add(row->rss, (double)after.process.rss_kb / 1024);
		add(row->peak, (double)after.process.peak_rss_kb / 1024);
		if (!bench->is_steady[i])
			continue;
		add(row->sent, (after.sent - before->sent) / 1000);
		add(row->received, (after.received - before->received) / 1000);
		add(row->source, (after.source - before->source) / 1000);
		add(row->cpu_ms,
		    (double)(after.process.cpu_ns - before->process.cpu_ns) /
			    NS_PER_MS);
		add(row->control_ms, (double)(after.process.control_ns -
					      before->process.control_ns) /
					     NS_PER_MS);
	}
}

/*
 * Waits until all daemons have the version and settle_ms more, and samples the
 * rate of calls of the source meanwhile.
 */
static void wait_converged(struct bench *bench, struct row *row,
			   int64_t settle_ms)
{
	int64_t end = clock_monotonic_ns() + CHANGE_TIMEOUT_MS * NS_PER_MS;
	int64_t next_calls = 0, total, last_second, now;
	bool is_done = false;

	while ((now = clock_monotonic_ns()) < end) {
		if (now >= next_calls) {
			fleet_source_calls(bench->fleet, &total, &last_second);
			row->max_calls = MAX(row->max_calls, last_second);
			next_calls = now + CALLS_POLL_MS * NS_PER_MS;
		}
		if (!is_done && fleet_poll(bench->fleet, bench->tree.version) ==
					bench->options.nr) {
			is_done = true;
			end = now + settle_ms * NS_PER_MS;
		}
		sleep_ms(LOG_POLL_MS);
	}
}

static void add_times(struct bench *bench, struct row *row, int64_t start_ms)
{
	for (int i = 0; i < bench->options.nr; i++) {
		const struct fleet_daemon *daemon = &bench->fleet->daemons[i];

		if (daemon->version >= bench->tree.version)
			add(row->times_ms,
			    (double)(daemon->in_force_ms - start_ms));
		else
			row->nr_late++;
	}
}

static void restart_third(struct bench *bench)
{
	int nr = bench->options.nr / 3;

	for (int i = 0; i < nr; i++) {
		fleet_kill(bench->fleet, i);
		bench->is_steady[i] = false;
	}
	for (int i = 0; i < nr; i++)
		fleet_start(bench->fleet, i);
}

static void measure_change(struct bench *bench, struct row *row)
{
	int64_t calls_before, calls_after, last_second, start;

	bench->tree.version++;
	bench->tree.all += row->change == CHANGE_ALL;
	bench->tree.route += row->change == CHANGE_ROUTE;
	bench->tree.service += row->change == CHANGE_SERVICE;
	read_before(bench);
	fleet_source_calls(bench->fleet, &calls_before, &last_second);
	if (row->herd)
		restart_third(bench);
	start = fleet_publish(bench->fleet, &bench->tree);
	wait_converged(bench, row,
		       row->change == CHANGE_ALL || row->herd ? SETTLE_ALL_MS
							      : SETTLE_MS);
	fleet_source_calls(bench->fleet, &calls_after, &last_second);
	add_times(bench, row, start);
	add_after(bench, row);
	row->calls += (double)(calls_after - calls_before);
	row->nr_changes++;
}

/* Publishes a tree, then starts all daemons at the same time. */
static void measure_cold(struct bench *bench)
{
	int64_t calls, last_second, start;
	struct row row;

	row_init(&row, bench, CHANGE_COLD, true);
	bench->tree.version++;
	fleet_publish(bench->fleet, &bench->tree);
	fleet_source_calls(bench->fleet, &calls, &last_second);
	start = clock_wall_ms();
	for (int i = 0; i < bench->options.nr; i++) {
		fleet_start(bench->fleet, i);
		bench->is_steady[i] = true;
	}
	memset(bench->before, 0,
	       sizeof(*bench->before) * (size_t)bench->options.nr);
	wait_converged(bench, &row, SETTLE_ALL_MS);
	add_times(bench, &row, start);
	add_after(bench, &row);
	row.calls = -(double)calls;
	fleet_source_calls(bench->fleet, &calls, &last_second);
	row.calls += (double)calls;
	row.nr_changes = 1;
	finish_row(bench, &row);
}

static bool is_within_budget(const struct bench *bench)
{
	return clock_monotonic_ns() < bench->deadline;
}

static void measure(struct bench *bench, enum change change, bool herd,
		    int repeats)
{
	struct row row;

	if (!is_within_budget(bench)) {
		printf("%-6s %3d %8zu %-7s %-4s not run: out of time\n",
		       bench->options.policy, bench->options.nr,
		       bench->tree.bytes / 1000, change_names[change],
		       herd ? "yes" : "no");
		return;
	}
	row_init(&row, bench, change, herd);
	for (int i = 0; i < repeats; i++)
		measure_change(bench, &row);
	finish_row(bench, &row);
}

static void measure_fleet(struct bench *bench, const size_t *sizes,
			  size_t nr_sizes)
{
	size_t n = (size_t)bench->options.nr;

	if (!is_within_budget(bench))
		return;
	if (!strcmp(bench->options.policy, "direct") &&
	    !bench->options.source_interval_ms)
		bench->options.source_interval_ms =
			fleet_source_interval_ms(bench->options.nr);
	bench->tree = (struct generate){ .bytes = sizes[0] };
	bench->before = g_new0(struct fleet_counters, n);
	bench->is_steady = g_new0(bool, n);
	bench->fleet = fleet_new(&bench->options);
	measure_cold(bench);
	for (size_t i = 0; i < nr_sizes; i++) {
		bench->tree.bytes = sizes[i];
		measure(bench, CHANGE_ALL, false, 1);
		measure(bench, CHANGE_ROUTE, false, bench->repeats);
		measure(bench, CHANGE_SERVICE, false, bench->repeats);
		measure(bench, CHANGE_ROUTE, true, 1);
		measure(bench, CHANGE_SERVICE, true, 1);
	}
	fleet_free(bench->fleet);
	g_free(bench->before);
	g_free(bench->is_steady);
}

static void write_json(const struct bench *bench)
{
	g_autofree char *file =
		g_build_filename(bench->options.build,
				 "bench-distribution.json", NULL);

	if (json_dump_file(bench->rows, file, JSON_INDENT(1)))
		fleet_die("cannot write %s", file);
	printf("rows are in %s\n", file);
}

struct choice {
	const char *policy; /* NULL: all */
	int daemons;	    /* 0: all fleets */
	int kb;		    /* size of the tree; 0: all */
	int interval_ms;    /* 0: that of the fleet */
};

static void run(struct bench *bench, const struct choice *choice)
{
	static const struct {
		const char *policy;
		int nr;
		int interval_ms;
		size_t bytes; /* of the only tree; 0: all */
	} fleets[] = {
		/* A small fleet can read the source more often. */
		{ "gossip", 13, 20, 0 },
		{ "direct", 50, 0, 1000000 },
		{ "gossip", 50, 0, 0 },
		{ "gossip", 100, 0, 0 },
	};
	static const size_t sizes[] = { 100000, 1000000, 4000000 };
	size_t one = (size_t)choice->kb * 1000;

	print_head();
	for (size_t i = 0; i < G_N_ELEMENTS(fleets); i++) {
		if (choice->daemons && i)
			break;
		bench->options = (struct fleet_options){
			.build = bench->options.build,
			.nr = fleets[i].nr,
			.policy = fleets[i].policy,
			.source_interval_ms = fleets[i].interval_ms,
		};
		if (choice->daemons) {
			bench->options.nr = choice->daemons;
			bench->options.policy =
				choice->policy ? choice->policy : "gossip";
			bench->options.source_interval_ms = 0;
		} else if (choice->policy &&
			   strcmp(choice->policy, fleets[i].policy) != 0) {
			continue;
		}
		if (choice->interval_ms)
			bench->options.source_interval_ms = choice->interval_ms;
		if (choice->kb)
			measure_fleet(bench, &one, 1);
		else if (fleets[i].bytes && !choice->daemons)
			measure_fleet(bench, &fleets[i].bytes, 1);
		else
			measure_fleet(bench, sizes, G_N_ELEMENTS(sizes));
	}
	write_json(bench);
}

int main(int argc, char **argv)
{
	struct arg_lit *help = arg_lit0(NULL, "help", "show this help");
	struct arg_int *daemons =
		arg_int0(NULL, "daemons", "N", "one fleet of N daemons");
	struct arg_str *policy = arg_str0(NULL, "policy", "gossip|direct",
					  "one policy (default: both)");
	struct arg_int *kb =
		arg_int0(NULL, "tree-kb", "N", "one tree of about N KB");
	struct arg_int *interval =
		arg_int0(NULL, "source-interval-ms", "N",
			 "source_interval_ms of the daemons");
	struct arg_int *repeats = arg_int0(NULL, "repeats", "N",
					   "changes for each row (default 1)");
	struct arg_int *budget =
		arg_int0(NULL, "seconds", "N",
			 "start no further row after N s (default 235)");
	struct arg_file *build =
		arg_file1(NULL, NULL, "BUILD", "the build directory");
	struct arg_end *end = arg_end(4);
	void *table[] = { help,	   daemons, policy, kb, interval,
			  repeats, budget,  build,  end };
	struct bench bench = { 0 };
	struct choice choice;
	int errors;

	repeats->ival[0] = DEFAULT_REPEATS;
	budget->ival[0] = DEFAULT_BUDGET_S;
	errors = arg_parse(argc, argv, table);
	if (help->count || errors) {
		arg_print_errors(stderr, end, argv[0]);
		printf("usage: %s", argv[0]);
		arg_print_syntax(stdout, table, "\n");
		arg_print_glossary(stdout, table, "  %-22s %s\n");
		return errors ? 2 : 0;
	}
	bench.options.build = build->filename[0];
	bench.repeats = repeats->ival[0];
	bench.deadline = clock_monotonic_ns() + budget->ival[0] * NS_PER_SEC;
	bench.rows = json_array();
	choice = (struct choice){
		.policy = policy->count ? policy->sval[0] : NULL,
		.daemons = daemons->count ? daemons->ival[0] : 0,
		.kb = kb->count ? kb->ival[0] : 0,
		.interval_ms = interval->count ? interval->ival[0] : 0,
	};
	run(&bench, &choice);
	json_decref(bench.rows);
	arg_freetable(table, G_N_ELEMENTS(table));
	return 0;
}

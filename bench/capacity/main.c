#include <argtable2.h>
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/clock.h"
#include "base/rng.h"
#include "fleet/fleet.h"
#include "once/once.h"
#include "quarantine/quarantine.h"
#include "series.h"

/*
 * Measures how memory, CPU time and control traffic of a daemon grow with the
 * number of members, the size of the configuration tree, the idempotency
 * records, the quarantine entries and the connections of callers. Prints each
 * quantity with its measured points, the fitted slope and the value at the
 * design size.
 */

#define DESIGN_MEMBERS 870
#define DEFAULT_WINDOW_S 60
#define LOAD_TIMEOUT_MS 60000
#define SETTLE_MS 3000
#define STORED_ANSWER_BYTES 200

struct capacity {
	const char *build;
	int window_s;
	json_t *all;
};

/* A small fleet, of which daemon 0 is measured. */
struct probe {
	int nr_daemons;
	int nr_absent;
	size_t tree_bytes;
	struct fleet *fleet;
	struct generate tree;
	struct fleet_counters begin, end;
	double load_ms;	  /* control CPU time of the first load */
	double change_ms; /* control CPU time of a change of one route */
};

static void report(struct capacity *capacity, struct series *series)
{
	series_print(series);
	json_array_append_new(capacity->all, series_json(series));
}

static double mb(int64_t kb)
{
	return (double)kb / 1024;
}

static void wait_all_in_force(struct probe *probe)
{
	int64_t end = clock_monotonic_ns() + LOAD_TIMEOUT_MS * NS_PER_MS;

	while (fleet_poll(probe->fleet, probe->tree.version) <
	       probe->nr_daemons) {
		if (clock_monotonic_ns() > end)
			fleet_die("a version was not in force on all daemons "
				  "after 60 s");
		sleep_ms(10);
	}
}

static void read_counters(struct probe *probe, struct fleet_counters *counters)
{
	if (!fleet_read_counters(probe->fleet, 0, counters))
		fleet_die("cannot read /metrics or /proc of daemon 0");
}

static double control_ms(const struct fleet_counters *from,
			 const struct fleet_counters *to)
{
	return (double)(to->process.control_ns - from->process.control_ns) /
	       NS_PER_MS;
}

static void probe_start(struct probe *probe, const struct capacity *capacity)
{
	struct fleet_options options = {
		.build = capacity->build,
		.policy = "gossip",
		.nr = probe->nr_daemons,
		.nr_absent = probe->nr_absent,
		/*
		 * A single reader loads 89 parts; the rate of its calls is
		 * not measured here.
		 */
		.source_interval_ms = 10,
	};

	probe->fleet = fleet_new(&options);
	probe->tree.version = 1;
	probe->tree.bytes = probe->tree_bytes;
	fleet_publish(probe->fleet, &probe->tree);
	for (int i = 0; i < probe->nr_daemons; i++)
		fleet_start(probe->fleet, i);
}

/* Measures the first load, then a change of one route after the load. */
static void probe_change(struct probe *probe)
{
	struct fleet_counters after;

	wait_all_in_force(probe);
	read_counters(probe, &probe->begin);
	probe->load_ms = (double)probe->begin.process.control_ns / NS_PER_MS;
	/* With absent members in its zone, the daemon may not be a reader. */
	if (probe->nr_absent)
		return;
	probe->tree.version++;
	probe->tree.route++;
	fleet_publish(probe->fleet, &probe->tree);
	wait_all_in_force(probe);
	sleep_ms(100);
	read_counters(probe, &after);
	probe->change_ms = control_ms(&probe->begin, &after);
}

static double per_second(const struct capacity *capacity, double from,
			 double to)
{
	return (to - from) / capacity->window_s;
}

/* All fleets run at the same time, so that one idle window serves them all. */

static void report_members(struct capacity *capacity,
			   const struct probe *probes, size_t nr)
{
	struct series rss = SERIES("resident memory, MB", "listed members",
				   DESIGN_MEMBERS, 1024, "KB/member");
	struct series cpu =
		SERIES("idle control CPU, % of a core", "listed members",
		       DESIGN_MEMBERS, 1000, "%/1000 members");
	struct series hosts = SERIES("host list read, KB/s", "listed members",
				     DESIGN_MEMBERS, 1000, "bytes/s/member");
	struct series records =
		SERIES("control messages/s, idle", "listed members",
		       DESIGN_MEMBERS, 1000, "/s/1000 members");

	for (size_t i = 0; i < nr; i++) {
		const struct probe *probe = &probes[i];
		double x = probe->nr_daemons + probe->nr_absent;

		series_add(&rss, x, mb(probe->end.process.rss_kb));
		series_add(&cpu, x,
			   control_ms(&probe->begin, &probe->end) / 10 /
				   capacity->window_s);
		series_add(&hosts, x,
			   per_second(capacity, probe->begin.hosts,
				      probe->end.hosts) /
				   1000);
		series_add(&records, x,
			   per_second(capacity, probe->begin.records,
				      probe->end.records));
	}
	report(capacity, &rss);
	report(capacity, &cpu);
	report(capacity, &hosts);
	report(capacity, &records);
}

static void report_trees(struct capacity *capacity, const struct probe *probes,
			 size_t nr)
{
	struct series rss =
		SERIES("resident memory, MB", "tree MB", 4, 1, "MB/MB");
	struct series peak =
		SERIES("peak memory, MB", "tree MB", 4, 1, "MB/MB");
	struct series load =
		SERIES("first load, control CPU ms", "tree MB", 4, 1, "ms/MB");
	struct series change = SERIES("one-route change, control CPU ms",
				      "tree MB", 4, 1, "ms/MB");

	for (size_t i = 0; i < nr; i++) {
		const struct probe *probe = &probes[i];
		double x = (double)probe->tree_bytes / 1e6;

		series_add(&rss, x, mb(probe->end.process.rss_kb));
		series_add(&peak, x, mb(probe->end.process.peak_rss_kb));
		series_add(&load, x, probe->load_ms);
		series_add(&change, x, probe->change_ms);
	}
	report(capacity, &rss);
	report(capacity, &peak);
	report(capacity, &load);
	report(capacity, &change);
}

/* Reports the fleets in which all members run. */
static void report_peers(struct capacity *capacity, const struct probe *probes,
			 size_t nr)
{
	struct series records =
		SERIES("control messages/s, idle", "running members",
		       DESIGN_MEMBERS, 1000, "/s/1000 members");
	struct series bytes =
		SERIES("control bytes/s sent, idle", "running members",
		       DESIGN_MEMBERS, 1, "bytes/s/member");
	struct series cpu =
		SERIES("idle control CPU, % of a core", "running members",
		       DESIGN_MEMBERS, 1000, "%/1000 members");

	for (size_t i = 0; i < nr; i++) {
		const struct probe *probe = &probes[i];

		series_add(&records, probe->nr_daemons,
			   per_second(capacity, probe->begin.records,
				      probe->end.records));
		series_add(&bytes, probe->nr_daemons,
			   per_second(capacity, probe->begin.sent,
				      probe->end.sent));
		series_add(&cpu, probe->nr_daemons,
			   control_ms(&probe->begin, &probe->end) / 10 /
				   capacity->window_s);
	}
	report(capacity, &records);
	report(capacity, &bytes);
	report(capacity, &cpu);
}

static void measure_fleets(struct capacity *capacity)
{
	struct probe probes[] = {
		/* Members. */
		{ .nr_daemons = 1, .nr_absent = 9, .tree_bytes = 100000 },
		{ .nr_daemons = 1, .nr_absent = 99, .tree_bytes = 100000 },
		{ .nr_daemons = 1, .nr_absent = 434, .tree_bytes = 100000 },
		{ .nr_daemons = 1, .nr_absent = 869, .tree_bytes = 100000 },
		/* Size of the tree. */
		{ .nr_daemons = 1, .tree_bytes = 100000 },
		{ .nr_daemons = 1, .tree_bytes = 1000000 },
		{ .nr_daemons = 1, .tree_bytes = 4000000 },
		/* Running members. */
		{ .nr_daemons = 6, .tree_bytes = 100000 },
		{ .nr_daemons = 24, .tree_bytes = 100000 },
		{ .nr_daemons = 48, .tree_bytes = 100000 },
	};
	size_t nr = G_N_ELEMENTS(probes);

	for (size_t i = 0; i < nr; i++) {
		probe_start(&probes[i], capacity);
		probe_change(&probes[i]);
	}
	sleep_ms(SETTLE_MS);
	for (size_t i = 0; i < nr; i++)
		read_counters(&probes[i], &probes[i].begin);
	sleep_ms(capacity->window_s * 1000);
	for (size_t i = 0; i < nr; i++)
		read_counters(&probes[i], &probes[i].end);
	report_members(capacity, &probes[0], 4);
	report_trees(capacity, &probes[4], 3);
	report_peers(capacity, &probes[7], 3);
	for (size_t i = 0; i < nr; i++)
		fleet_free(probes[i].fleet);
}

/* Measures the callers' HTTP server, which has a thread for each connection. */
static void measure_callers(struct capacity *capacity)
{
	static const int points[] = { 0, 64, 128, 250 };
	struct probe probe = { .nr_daemons = 1, .tree_bytes = 100000 };
	struct series rss = SERIES("resident memory, MB", "caller connections",
				   256, 1024, "KB/connection");
	struct fleet_counters counters;
	int fds[250];
	int nr = 0;

	probe_start(&probe, capacity);
	wait_all_in_force(&probe);
	sleep_ms(SETTLE_MS);
	for (size_t i = 0; i < G_N_ELEMENTS(points); i++) {
		while (nr < points[i])
			fds[nr++] = connect_to(
				probe.fleet->daemons[0].addresses[0]);
		sleep_ms(500);
		read_counters(&probe, &counters);
		series_add(&rss, nr, mb(counters.process.rss_kb));
	}
	report(capacity, &rss);
	while (nr)
		close(fds[--nr]);
	fleet_free(probe.fleet);
}

/* Heap of the libraries, measured in this process. */

static double heap_mb(void)
{
	struct mallinfo2 info = mallinfo2();

	return (double)(info.uordblks + info.hblkhd) / 1048576;
}

static void add_record(struct once *once, int i, size_t answer_bytes)
{
	static const char answer[STORED_ANSWER_BYTES];
	struct cds_list_head waiters;
	struct once_record *record;
	struct ticket ticket;
	unsigned char random[TICKET_RANDOM_BYTES] = { 0 };

	memcpy(random, &i, sizeof(i));
	once_issue(once, NS_PER_SEC, random, &ticket);
	if (once_begin(once, &ticket, (uint64_t)i, NS_PER_SEC, &record) !=
	    ONCE_RUN)
		fleet_die("record %d: once_begin() did not return ONCE_RUN", i);
	once_finish(once, record, ONCE_OUTCOME_RAN, answer, answer_bytes,
		    NS_PER_SEC, &waiters);
}

static void measure_records(struct capacity *capacity, size_t answer_bytes)
{
	static const int points[] = { 0, 1000, 10000, 20000 };
	struct series heap = SERIES("records without answers, MB", "records",
				    20000, 1048576, "bytes/record");
	struct once_options options = {
		.host = "h1",
		.incarnation = 1,
		.now = 1,
		.wall_ms = 1000,
		.ticket_life_ms = 300000,
	};
	double before = heap_mb();
	struct once *once = once_new(&options);
	int nr = 0;

	if (answer_bytes)
		heap.name = "records with 200 byte answers, MB";
	for (size_t i = 0; i < G_N_ELEMENTS(points); i++) {
		while (nr < points[i])
			add_record(once, nr++, answer_bytes);
		series_add(&heap, nr, heap_mb() - before);
	}
	report(capacity, &heap);
	once_free(once);
}

static void measure_quarantine(struct capacity *capacity)
{
	static const int points[] = { 0, 256, 512, 1024 };
	struct series heap = SERIES("quarantine entries, MB", "entries", 1024,
				    1048576, "bytes/entry");
	struct quarantine_options options = {
		.origin = 1,
		.crashes = 2,
		.quarantine_ns = 60 * NS_PER_SEC,
	};
	double before = heap_mb();
	struct quarantine *quarantine = quarantine_new(&options);
	int nr = 0;

	for (size_t i = 0; i < G_N_ELEMENTS(points); i++) {
		for (; nr < points[i]; nr++)
			quarantine_crash(quarantine, (uint64_t)nr + 1,
					 (uint64_t)nr + 1, NS_PER_SEC, NULL);
		series_add(&heap, nr, heap_mb() - before);
	}
	report(capacity, &heap);
	quarantine_free(quarantine);
}

static void measure(struct capacity *capacity)
{
	g_autofree char *file =
		g_build_filename(capacity->build, "bench-capacity.json", NULL);

	printf("load average at the start %.1f\n", load_average());
	measure_records(capacity, 0);
	measure_records(capacity, STORED_ANSWER_BYTES);
	measure_quarantine(capacity);
	measure_callers(capacity);
	measure_fleets(capacity);
	printf("load average at the end %.1f\n", load_average());
	if (json_dump_file(capacity->all, file, JSON_INDENT(1)))
		fleet_die("cannot write %s", file);
	printf("series are in %s\n", file);
}

int main(int argc, char **argv)
{
	struct arg_lit *help = arg_lit0(NULL, "help", "show this help");
	struct arg_int *window =
		arg_int0(NULL, "window", "N",
			 "seconds of the idle window (default 60)");
	struct arg_file *build =
		arg_file1(NULL, NULL, "BUILD", "the build directory");
	struct arg_end *end = arg_end(4);
	void *table[] = { help, window, build, end };
	struct capacity capacity = { 0 };
	int errors;

	window->ival[0] = DEFAULT_WINDOW_S;
	errors = arg_parse(argc, argv, table);
	if (help->count || errors) {
		arg_print_errors(stderr, end, argv[0]);
		printf("usage: %s", argv[0]);
		arg_print_syntax(stdout, table, "\n");
		arg_print_glossary(stdout, table, "  %-12s %s\n");
		return errors ? 2 : 0;
	}
	capacity.build = build->filename[0];
	capacity.window_s = window->ival[0];
	capacity.all = json_array();
	setvbuf(stdout, NULL, _IOLBF, 0);
	measure(&capacity);
	json_decref(capacity.all);
	arg_freetable(table, G_N_ELEMENTS(table));
	return 0;
}

#include <inttypes.h>
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>

#include "base/clock.h"
#include "base/rng.h"
#include "tree/tree.h"

/*
 * Measures time and memory of lib/tree on a generated configuration tree:
 *
 *	bench_tree [SERVICES [TARGETS [BYTES]]]
 *
 * The defaults are the design size: 88 services, 870 targets and 4,000,000
 * bytes. Routes are added until the tree has about this size.
 */

#define ZONES 9
#define RUNS 9
#define MATCHES 1000000
#define ROUTE_BYTES 198 /* about, in compact JSON */

struct size {
	int services;
	int targets;
	int routes;
};

static void generate_service(GString *text, const struct size *size, int i)
{
	g_string_append_printf(text,
			       "%s\"service-%d\":{\"deployment\":\"d\","
			       "\"override\":{\"slots\":10},\"targets\":[",
			       i ? "," : "", i);
	for (int j = i; j < size->targets; j += size->services)
		g_string_append_printf(
			text,
			"%s{\"host\":\"host-%d\",\"zone\":\"zone-%d\","
			"\"traffic\":\"127.%d.%d.%d:7002\"}",
			j > i ? "," : "", j, j % ZONES, j >> 16 & 255,
			j >> 8 & 255, j & 255);
	g_string_append(text, "],\"routes\":[");
	for (int j = i; j < size->routes; j += size->services)
		g_string_append_printf(
			text,
			"%s{\"name\":\"service-%d-route-%d\",\"prefix\":"
			"\"/service-%d/resource-%d/"
			"items\",\"methods\":[\"GET\","
			"\"POST\"],\"override\":{\"deadline_ms\":%d,"
			"\"priority\":\"order\",\"retry_max\":1,"
			"\"retry_ratio_percent\":20}}",
			j > i ? "," : "", i, j, i, j, 1 + j % 600000);
	g_string_append(text, "]}");
}

static GString *generate(const struct size *size)
{
	GString *text = g_string_new("{\"version\":1,\"defaults\":{},"
				     "\"deployments\":{\"d\":{}},\"zones\":{");

	for (int i = 0; i < ZONES; i++)
		g_string_append_printf(text,
				       "%s\"zone-%d\":{\"region\":\"r%d\","
				       "\"override\":{\"deadline_ms\":900}}",
				       i ? "," : "", i, i / 3);
	g_string_append(text, "},\"services\":{");
	for (int i = 0; i < size->services; i++)
		generate_service(text, size, i);
	return g_string_append(text, "}}");
}

static size_t heap_bytes(void)
{
	struct mallinfo2 info = mallinfo2();

	return info.uordblks + info.hblkhd;
}

static int compare_times(const void *a, const void *b)
{
	int64_t x = *(const int64_t *)a, y = *(const int64_t *)b;

	return (x > y) - (x < y);
}

static double to_ms(int64_t ns)
{
	return (double)ns / (double)NS_PER_MS;
}

static void print_times(const char *what, int64_t times[RUNS])
{
	qsort(times, RUNS, sizeof(*times), compare_times);
	printf("%s_ms median=%.2f min=%.2f max=%.2f runs=%d\n", what,
	       to_ms(times[RUNS / 2]), to_ms(times[0]), to_ms(times[RUNS - 1]),
	       RUNS);
}

static struct tree *measure_parse(const GString *text,
				  struct findings *findings)
{
	struct tree *tree = NULL;
	int64_t times[RUNS];
	size_t before = heap_bytes();

	for (int i = 0; i < RUNS; i++) {
		int64_t start = clock_monotonic_ns();

		tree_free(tree);
		tree = tree_parse(text->str, text->len, "bench", findings);
		times[i] = clock_monotonic_ns() - start;
	}
	print_times("parse", times);
	if (!tree) {
		findings_print(findings, stderr);
		exit(1);
	}
	printf("tree_heap_bytes %zu\n", heap_bytes() - before);
	return tree;
}

static struct bundle *measure_split(const struct tree *tree,
				    struct findings *findings)
{
	struct bundle *bundle = NULL;
	int64_t times[RUNS];
	size_t bytes = 0;

	for (int i = 0; i < RUNS; i++) {
		int64_t start = clock_monotonic_ns();

		bundle_free(bundle);
		bundle = tree_split(tree, findings);
		times[i] = clock_monotonic_ns() - start;
	}
	print_times("split", times);
	for (size_t i = 0; i < bundle->nr_parts; i++)
		bytes += bundle->parts[i].len;
	printf("manifest_bytes %zu parts %zu parts_bytes %zu\n",
	       bundle->manifest_len, bundle->nr_parts, bytes);
	return bundle;
}

static void measure_assemble(const struct bundle *bundle,
			     struct findings *findings)
{
	struct manifest *manifest =
		manifest_parse(bundle->manifest, bundle->manifest_len,
			       findings);
	const char **data = g_new(const char *, bundle->nr_parts);
	int64_t times[RUNS];

	for (size_t i = 0; i < bundle->nr_parts; i++)
		data[i] = bundle->parts[i].data;
	for (int i = 0; i < RUNS; i++) {
		int64_t start = clock_monotonic_ns();

		tree_free(tree_assemble(manifest, data, findings));
		times[i] = clock_monotonic_ns() - start;
	}
	print_times("assemble", times);
	g_free(data);
	manifest_free(manifest);
}

static struct table *measure_table(const struct tree *tree,
				   const struct version_id *id)
{
	struct table *table = NULL;
	int64_t times[RUNS];
	size_t before = heap_bytes();

	for (int i = 0; i < RUNS; i++) {
		int64_t start = clock_monotonic_ns();

		table_free(table);
		table = table_new(tree, id, "zone-1");
		times[i] = clock_monotonic_ns() - start;
	}
	print_times("table", times);
	printf("table_heap_bytes %zu with_strings %zu\n", heap_bytes() - before,
	       table_memory(table));
	return table;
}

static void measure_match(const struct table *table, const struct size *size)
{
	char(*paths)[64] = g_malloc(1024 * sizeof(*paths));
	size_t found = 0;
	struct rng rng;
	int64_t start;

	rng_init(&rng, 1);
	for (int i = 0; i < 1024; i++) {
		int route = (int)rng_below(&rng, (uint64_t)size->routes);

		g_snprintf(paths[i], sizeof(paths[i]),
			   "/service-%d/resource-%d/items/%d",
			   route % size->services, route, i);
	}
	start = clock_monotonic_ns();
	for (int i = 0; i < MATCHES; i++)
		found += table_match(table, HTTP_METHOD_GET, paths[i % 1024]) !=
			 NULL;
	printf("match_ns %.1f found %zu of %d\n",
	       (double)(clock_monotonic_ns() - start) / MATCHES, found,
	       MATCHES);
	g_free(paths);
}

int main(int argc, char **argv)
{
	struct size size = {
		.services = argc > 1 ? atoi(argv[1]) : 88,
		.targets = argc > 2 ? atoi(argv[2]) : 870,
		.routes = (argc > 3 ? atoi(argv[3]) : 4000000) / ROUTE_BYTES,
	};
	struct findings findings;
	struct bundle *bundle;
	struct table *table;
	struct tree *tree;
	GString *text;

	findings_init(&findings);
	text = generate(&size);
	printf("bytes %zu services %d targets %d routes %d\n", text->len,
	       size.services, size.targets, size.routes);
	tree = measure_parse(text, &findings);
	g_string_free(text, TRUE);
	bundle = measure_split(tree, &findings);
	measure_assemble(bundle, &findings);
	table = measure_table(tree, &bundle->id);
	measure_match(table, &size);
	table_free(table);
	bundle_free(bundle);
	tree_free(tree);
	findings_release(&findings);
	return 0;
}

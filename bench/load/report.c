#include <inttypes.h>

#include "base/clock.h"
#include "load/load.h"

const char *const load_end_names[NR_LOAD_ENDS] = {
	[LOAD_SUCCESS] = "success",	  [LOAD_RAN] = "ran",
	[LOAD_NOT_RUN] = "not-run",	  [LOAD_UNKNOWN] = "unknown",
	[LOAD_NO_OUTCOME] = "no-outcome", [LOAD_NO_TICKET] = "no-ticket",
	[LOAD_CONNECT] = "connect",	  [LOAD_TIMEOUT] = "timeout",
	[LOAD_BROKEN] = "broken",
};

static double share(const struct load_result *result, uint64_t part)
{
	return result->requests ? (double)part / (double)result->requests : 0;
}

static double quantile_ms(const struct quantiles *quantiles, double at)
{
	return (double)quantiles_get(quantiles, at) / NS_PER_MS;
}

static void print_latency(FILE *out, const char *name,
			  const struct quantiles *latency)
{
	fprintf(out, "%-12s %12.3f %12.3f %12.3f\n", name,
		quantile_ms(latency, 0.5), quantile_ms(latency, 0.99),
		quantile_ms(latency, 0.999));
}

void load_print(const struct load_result *result, FILE *out)
{
	fprintf(out, "%-12s %12s %12s\n", "end", "requests", "share");
	for (int i = 0; i < NR_LOAD_ENDS; i++) {
		if (i == LOAD_SUCCESS || result->ends[i])
			fprintf(out, "%-12s %12" PRIu64 " %11.4f%%\n",
				load_end_names[i], result->ends[i],
				100 * share(result, result->ends[i]));
	}
	fprintf(out, "%-12s %12" PRIu64 " in %.2f s, %.1f/s\n", "total",
		result->requests, result->seconds,
		result->seconds > 0 ? (double)result->requests / result->seconds
				    : 0);
	fprintf(out,
		"%-12s %12" PRIu64 "\n%-12s %12" PRIu64 "\n%-12s %12" PRIu64
		"\n",
		"connections", result->connections, "resends", result->resends,
		"replays", result->replays);
	fprintf(out, "%-12s %12s %12s %12s\n", "latency ms", "median", "p99",
		"p99.9");
	print_latency(out, "success", &result->success);
	print_latency(out, "all", &result->all);
}

static json_t *latency_to_json(const struct quantiles *latency)
{
	return json_pack("{s:f, s:f, s:f}", "median", quantile_ms(latency, 0.5),
			 "p99", quantile_ms(latency, 0.99), "p999",
			 quantile_ms(latency, 0.999));
}

json_t *load_to_json(const struct load_options *options,
		     const struct load_result *result)
{
	json_t *ends = json_object();

	for (int i = 0; i < NR_LOAD_ENDS; i++)
		json_object_set_new(ends, load_end_names[i],
				    json_integer((json_int_t)result->ends[i]));
	return json_pack("{s:s, s:s, s:i, s:f, s:f, s:I, s:f, s:o, s:I, s:I, "
			 "s:I, s:I, s:o, s:o}",
			 "method", options->method, "path", options->path,
			 "concurrency", options->concurrency, "rate",
			 options->rate, "seconds", result->seconds, "requests",
			 (json_int_t)result->requests, "success_share",
			 share(result, result->ends[LOAD_SUCCESS]), "ends",
			 ends, "connections", (json_int_t)result->connections,
			 "resends", (json_int_t)result->resends, "replays",
			 (json_int_t)result->replays, "bytes",
			 (json_int_t)result->bytes, "latency_ms",
			 latency_to_json(&result->success), "latency_all_ms",
			 latency_to_json(&result->all));
}

#include <argtable2.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "base/clock.h"
#include "model.h"

/*
 * Compares the load balancing policies of lib/balance in the simulation that
 * model.h declares. Prints one row for each deployment, scenario, load and
 * policy.
 */

#define DEFAULT_SECONDS 20
#define DEFAULT_SEED 1
#define NR_LOADS 4

static const struct deployment deployments[] = {
	{ "kapokhuis",
	  1500 * NS_PER_US,
	  10,
	  { 10, 3 },
	  { 20 * NS_PER_MS, 10 * NS_PER_MS } },
	{ "consortium",
	  1000 * NS_PER_US,
	  12,
	  { 7, 3 },
	  { 10 * NS_PER_MS, 40 * NS_PER_MS } },
};

static const int loads[NR_LOADS] = { 50, 80, 100, 150 };

static const struct balance_policy *const policies[] = {
	&balance_round_robin,
	&balance_least_in_flight,
	&balance_two_choices,
};

#define NR_POLICIES (sizeof(policies) / sizeof(policies[0]))

static double ms(int64_t ns)
{
	return (double)ns / NS_PER_MS;
}

static void print_row(const struct model_options *options)
{
	struct model_result result;

	model_run(options, &result);
	printf("%-10s %-11s %4d%% %-15s %8.4f%% %7.2f %8.2f %8.2f %6.1f%% "
	       "%6.2f%%\n",
	       options->deployment->name, scenario_names[options->scenario],
	       options->load_percent, options->policy->name,
	       100.0 * (double)result.successes / (double)result.requests,
	       ms(result.median), ms(result.p99), ms(result.p999),
	       100.0 * (double)result.cross_zone / (double)result.attempts,
	       100.0 * (double)(result.attempts - result.requests) /
		       (double)result.requests);
	fflush(stdout);
}

/* Whether the option selects the name; an absent option selects all. */
static bool is_selected(const struct arg_str *option, const char *name)
{
	return !option->count || !strcmp(option->sval[0], name);
}

int main(int argc, char **argv)
{
	struct arg_str *deployment =
		arg_str0("d", "deployment", "NAME", "only this deployment");
	struct arg_str *scenario =
		arg_str0("s", "scenario", "NAME", "only this scenario");
	struct arg_str *policy =
		arg_str0("p", "policy", "NAME", "only this policy");
	struct arg_int *seconds =
		arg_int0("t", "seconds", "N", "simulated time (20)");
	struct arg_int *ingresses =
		arg_int0("i", "ingresses", "N",
			 "hosts that are no targets, 0..900 (0)");
	struct arg_int *seed = arg_int0("r", "seed", "N", "random seed (1)");
	struct arg_end *end = arg_end(8);
	void *table[] = { deployment, scenario, policy, seconds,
			  ingresses,  seed,	end };
	struct model_options options = { 0 };

	seconds->ival[0] = DEFAULT_SECONDS;
	ingresses->ival[0] = 0;
	seed->ival[0] = DEFAULT_SEED;
	if (arg_parse(argc, argv, table)) {
		arg_print_errors(stderr, end, argv[0]);
		arg_print_syntax(stderr, table, "\n");
		return 2;
	}
	options.end = seconds->ival[0] * NS_PER_SEC;
	options.ingresses = CLAMP(ingresses->ival[0], 0, MODEL_INGRESSES_MAX);
	options.seed = (uint64_t)seed->ival[0];
	printf("%-10s %-11s %5s %-15s %9s %7s %8s %8s %7s %7s\n", "deployment",
	       "scenario", "load", "policy", "success", "median", "p99",
	       "p99.9", "cross", "retry");
	for (size_t d = 0; d < 2; d++) {
		for (int s = 0; s < NR_SCENARIOS; s++) {
			for (int l = 0; l < NR_LOADS; l++) {
				for (size_t p = 0; p < NR_POLICIES; p++) {
					options.deployment = &deployments[d];
					options.scenario = (enum scenario)s;
					options.load_percent = loads[l];
					options.policy = policies[p];
					if (is_selected(deployment,
							deployments[d].name) &&
					    is_selected(scenario,
							scenario_names[s]) &&
					    is_selected(policy,
							policies[p]->name))
						print_row(&options);
				}
			}
		}
	}
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return 0;
}

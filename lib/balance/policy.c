#include <string.h>

#include <glib.h>

#include "balance/balance.h"

static size_t choose_round_robin(const struct balance_candidate *candidates,
				 size_t n, uint64_t *cursor, struct rng *rng)
{
	(void)candidates;
	(void)rng;
	return (size_t)((*cursor)++ % n);
}

/* Whether a has a lower share of its limit in use than b. */
static bool less_loaded(const struct balance_candidate *a,
			const struct balance_candidate *b)
{
	return (uint64_t)a->load * b->limit < (uint64_t)b->load * a->limit;
}

static size_t choose_least_in_flight(const struct balance_candidate *candidates,
				     size_t n, uint64_t *cursor,
				     struct rng *rng)
{
	/* Random, so that ingresses choose different ones of equal targets. */
	size_t start = (size_t)rng_below(rng, n);
	size_t best = start;

	(void)cursor;
	for (size_t i = 1; i < n; i++) {
		size_t at = (start + i) % n;

		if (less_loaded(&candidates[at], &candidates[best]))
			best = at;
	}
	return best;
}

/*
 * The latency is squared: a target that takes k times as long also occupies its
 * slots k times as long, and a target that reports too low a load is recognized
 * by its latency alone.
 */
static double cost(const struct balance_candidate *candidate)
{
	double latency = (double)candidate->latency_ns;

	return ((double)candidate->load + 1) * latency * latency /
	       candidate->limit;
}

static size_t choose_two_choices(const struct balance_candidate *candidates,
				 size_t n, uint64_t *cursor, struct rng *rng)
{
	size_t a = (size_t)rng_below(rng, n), b;

	(void)cursor;
	if (n == 1)
		return 0;
	b = (size_t)rng_below(rng, n - 1);
	if (b >= a)
		b++;
	return cost(&candidates[b]) < cost(&candidates[a]) ? b : a;
}

const struct balance_policy balance_round_robin = {
	.name = "round-robin",
	.choose = choose_round_robin,
};

const struct balance_policy balance_least_in_flight = {
	.name = "least-in-flight",
	.choose = choose_least_in_flight,
};

const struct balance_policy balance_two_choices = {
	.name = "two-choices",
	.choose = choose_two_choices,
};

const struct balance_policy *balance_policy_find(const char *name)
{
	static const struct balance_policy *const policies[] = {
		&balance_round_robin,
		&balance_least_in_flight,
		&balance_two_choices,
	};

	for (size_t i = 0; i < G_N_ELEMENTS(policies); i++) {
		if (!strcmp(policies[i]->name, name))
			return policies[i];
	}
	return NULL;
}

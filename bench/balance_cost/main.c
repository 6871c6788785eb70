#include <glib.h>
#include <malloc.h>
#include <stdio.h>

#include "balance/balance.h"
#include "base/clock.h"

/*
 * Measures lib/balance with services of several sizes in three availability
 * zones: the time of a pick, of a start with its finish and of an update, and
 * the memory for each target.
 */

#define ROUNDS 200000
#define NAME_MAX_BYTES 32

struct fleet {
	struct balance_target *targets;
	char (*hosts)[NAME_MAX_BYTES];
	char (*addresses)[NAME_MAX_BYTES];
};

static void fleet_init(struct fleet *fleet, size_t n)
{
	static const char *const zones[] = { "z0", "z1", "z2" };

	fleet->targets = g_new0(struct balance_target, n);
	fleet->hosts = g_malloc0(n * sizeof(*fleet->hosts));
	fleet->addresses = g_malloc0(n * sizeof(*fleet->addresses));
	for (size_t i = 0; i < n; i++) {
		struct balance_target *target = &fleet->targets[i];

		snprintf(fleet->hosts[i], NAME_MAX_BYTES, "host-%zu", i);
		snprintf(fleet->addresses[i], NAME_MAX_BYTES,
			 "127.%zu.%zu.%zu:7002", i >> 16, i >> 8 & 255,
			 i & 255);
		target->host = fleet->hosts[i];
		target->traffic = fleet->addresses[i];
		target->zone = zones[i % 3];
		target->region = "r";
		target->slots = 10;
		target->in_service = true;
	}
}

static void fleet_release(struct fleet *fleet)
{
	g_free(fleet->targets);
	g_free(fleet->hosts);
	g_free(fleet->addresses);
}

static int64_t update_all(struct balance *balance, const struct fleet *fleet,
			  size_t services, size_t n)
{
	int64_t start = clock_monotonic_ns();

	balance_update_begin(balance);
	for (size_t s = 0; s < services; s++) {
		char key[NAME_MAX_BYTES];
		struct balance_service service = { key, 34, 80 };

		snprintf(key, sizeof(key), "service-%zu", s);
		balance_update(balance, &service, fleet->targets + s * n, n,
			       start);
	}
	balance_update_end(balance, start);
	return clock_monotonic_ns() - start;
}

static void measure(size_t services, size_t n)
{
	struct balance_options options = {
		.host = "ingress",
		.zone = "z0",
		.region = "r",
	};
	struct balance_result result = {
		.reason = FAILURE_NONE,
		.latency_ns = NS_PER_MS,
		.reported = true,
		.limit = 10,
	};
	struct balance_request request = { .retryable = true };
	struct balance_choice choice = { 0 };
	int64_t first, again, picks = 0, rest = 0;
	struct balance *balance;
	struct fleet fleet;
	struct rng rng;
	size_t before, bytes;

	rng_init(&rng, 1);
	options.rng = &rng;
	fleet_init(&fleet, services * n);
	before = mallinfo2().uordblks + mallinfo2().hblkhd;
	balance = balance_new(&options);
	first = update_all(balance, &fleet, services, n);
	bytes = mallinfo2().uordblks + mallinfo2().hblkhd - before;
	again = update_all(balance, &fleet, services, n);
	for (int i = 0; i < ROUNDS; i++) {
		int64_t start = clock_monotonic_ns(), picked;

		request.service = (int)((size_t)i % services);
		/* With its own zone full, a pick considers all zones. */
		result.in_flight = i & 1 ? 10 : 0;
		balance_pick(balance, &request, start, &choice);
		picked = clock_monotonic_ns();
		balance_start(balance, choice.target, picked);
		balance_finish(balance, choice.target, &result, picked);
		picks += picked - start;
		rest += clock_monotonic_ns() - picked;
	}
	printf("%8zu %8zu %10.0f %12.0f %12.1f %12.1f %12zu\n", services, n,
	       (double)picks / ROUNDS, (double)rest / ROUNDS,
	       (double)first / NS_PER_US, (double)again / NS_PER_US,
	       bytes / (services * n));
	balance_free(balance);
	fleet_release(&fleet);
}

int main(void)
{
	printf("%8s %8s %10s %12s %12s %12s %12s\n", "services", "targets",
	       "pick ns", "start+end ns", "update us", "again us",
	       "bytes/target");
	measure(1, 1);
	measure(1, 10);
	measure(1, 100);
	measure(88, 10);
	measure(1, 870);
	measure(4096, 4);
	measure(1, 16384);
	return 0;
}

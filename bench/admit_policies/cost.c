/*
 * Measures the cost of admission, idempotency records and quarantine: time of
 * each call and bytes of heap for each record and queued request.
 */
#include <inttypes.h>
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "admit/admit.h"
#include "base/clock.h"
#include "base/rng.h"
#include "once/once.h"
#include "quarantine/quarantine.h"

#define ROUNDS 2000000
#define NR_RECORDS 20000
#define NR_QUEUED 10000
#define NR_REFUSED 2000

static size_t heap_bytes(void)
{
	return mallinfo2().uordblks;
}

static void print_ns(const char *what, int64_t start, int64_t rounds)
{
	printf("%-48s %8.1f ns\n", what,
	       (double)(clock_monotonic_ns() - start) / (double)rounds);
}

static void print_bytes(const char *what, size_t bytes, size_t n)
{
	printf("%-48s %8.1f bytes\n", what, (double)bytes / (double)n);
}

static struct admit *new_admit(int queue_max)
{
	const struct admit_options options = {
		.slots = 10,
		.queue_max = queue_max,
		.cold_slots = 1,
		.ramp_ns = 10 * NS_PER_SEC,
	};

	return admit_new(&options, 0);
}

static void measure_idle(void)
{
	struct admit *admit = new_admit(20);
	struct admit_request request = { .priority = ADMIT_LOOKUP };
	struct admit_request *displaced;
	int64_t start = clock_monotonic_ns();

	for (int64_t i = 0; i < ROUNDS; i++) {
		request.deadline = (i + 1) * NS_PER_SEC;
		admit_arrive(admit, &request, i * NS_PER_MS, &displaced);
		admit_done(admit, &request, ADMIT_ANSWERED, i * NS_PER_MS + 1);
	}
	print_ns("admit_arrive + admit_done, slot free", start, ROUNDS);
	admit_free(admit);
}

/*
 * Keeps the queue full: each request that ends starts a queued one, and then
 * arrives again.
 */
static void measure_queue(int queue_max, int nr_callers)
{
	struct admit *admit = new_admit(queue_max);
	struct admit_request *requests =
		calloc((size_t)queue_max + 1, sizeof(*requests));
	struct admit_request *running = NULL, *displaced;
	CDS_LIST_HEAD(expired);
	size_t before = heap_bytes();
	char what[64];
	int64_t start;

	for (int i = 0; i <= queue_max; i++) {
		requests[i].priority = (enum admit_priority)(i % 3);
		requests[i].caller = (uint64_t)(i % nr_callers);
		requests[i].deadline = DEADLINE_NEVER;
		if (admit_arrive(admit, &requests[i], 0, &displaced) ==
		    ADMIT_RUN)
			running = &requests[i];
	}
	snprintf(what, sizeof(what), "queued request, %d callers", nr_callers);
	print_bytes(what,
		    heap_bytes() - before +
			    (size_t)queue_max * sizeof(*requests),
		    (size_t)queue_max);
	start = clock_monotonic_ns();
	for (int64_t i = 0; i < ROUNDS; i++) {
		struct admit_request *ended = running;

		admit_done(admit, ended, ADMIT_FAILED, 0);
		running = admit_next(admit, 0, &expired);
		admit_arrive(admit, ended, 0, &displaced);
	}
	snprintf(what, sizeof(what),
		 "arrive + next + done, %d queued, %d callers", queue_max,
		 nr_callers);
	print_ns(what, start, ROUNDS);
	start = clock_monotonic_ns();
	for (int64_t i = 0; i < NR_REFUSED; i++) {
		struct admit_request late = { .priority = ADMIT_BACKGROUND,
					      .caller = 2,
					      .deadline = DEADLINE_NEVER };

		/* Callers hold equally many places, so none is displaced. */
		if (admit_arrive(admit, &late, 0, &displaced) !=
		    ADMIT_REFUSED_FULL)
			abort();
	}
	snprintf(what, sizeof(what), "arrival at a full queue, %d callers",
		 nr_callers);
	print_ns(what, start, NR_REFUSED);
	for (int i = 0; i <= queue_max; i++)
		admit_cancel(admit, &requests[i]);
	admit_free(admit);
	free(requests);
}

static void measure_once(void)
{
	static const unsigned char answer[16];
	const struct once_options options = { .host = "h1",
					      .incarnation = 1,
					      .ticket_life_ms = 300000 };
	struct rng rng;
	size_t before = heap_bytes();
	struct once *once = once_new(&options);
	struct cds_list_head waiters;
	struct once_record *record;
	unsigned char random[TICKET_RANDOM_BYTES];
	struct ticket ticket, parsed;
	char text[TICKET_TEXT_MAX];
	size_t empty = heap_bytes();
	int64_t start;

	rng_init(&rng, 1);
	print_bytes("empty once instance", empty - before, 1);
	for (int i = 0; i < NR_RECORDS; i++) {
		uint64_t id = rng_next(&rng);

		memset(random, 0, sizeof(random));
		memcpy(random, &id, sizeof(id));
		once_issue(once, 0, random, &ticket);
		once_begin(once, &ticket, 1, 0, &record);
		once_finish(once, record, ONCE_OUTCOME_RAN, NULL, 0, 0,
			    &waiters);
	}
	print_bytes("record without answer", heap_bytes() - empty, NR_RECORDS);

	/* Steady state: every round adds one record and one expires. */
	start = clock_monotonic_ns();
	for (int64_t i = 1; i <= ROUNDS; i++) {
		int64_t now = 300 * NS_PER_SEC + i * 15 * NS_PER_MS;
		uint64_t id = rng_next(&rng);

		memcpy(random, &id, sizeof(id));
		once_issue(once, now, random, &ticket);
		if (once_begin(once, &ticket, 1, now, &record) == ONCE_RUN)
			once_finish(once, record, ONCE_OUTCOME_RAN, answer,
				    sizeof(answer), now, &waiters);
	}
	print_ns("once_issue + begin + finish, 20,000 records", start, ROUNDS);
	start = clock_monotonic_ns();
	for (int64_t i = 0; i < ROUNDS; i++) {
		ticket_format(&ticket, text);
		ticket_parse(&parsed, text);
	}
	print_ns("ticket_format + ticket_parse", start, ROUNDS);
	once_free(once);
}

static void measure_quarantine(void)
{
	const struct quarantine_options options = {
		.origin = 1, .crashes = 2, .quarantine_ns = 60 * NS_PER_SEC
	};
	size_t before = heap_bytes();
	struct quarantine *quarantine = quarantine_new(&options);
	static char body[1024];
	uint64_t sum = 0;
	int64_t start;

	print_bytes("quarantine entry", heap_bytes() - before, 1024);
	for (uint64_t i = 0; i < 1024; i++) {
		struct quarantine_entry entry = { i * 977, 2, 1, 0, 60000 };

		quarantine_merge(quarantine, &entry, 0);
	}
	start = clock_monotonic_ns();
	for (int64_t i = 0; i < ROUNDS; i++)
		sum += quarantine_check(quarantine, (uint64_t)i, 0, NULL);
	print_ns("quarantine_check, 1,024 entries", start, ROUNDS);
	start = clock_monotonic_ns();
	for (int64_t i = 0; i < ROUNDS; i++)
		sum += quarantine_fingerprint("portal", "POST",
					      "/portal/orders", body,
					      sizeof(body));
	print_ns("quarantine_fingerprint, body of 1 KiB", start, ROUNDS);
	quarantine_free(quarantine);
	fprintf(stderr, "checksum %" PRIu64 "\n", sum);
}

int main(void)
{
	measure_idle();
	measure_queue(20, 4);
	measure_queue(NR_QUEUED, 100);
	measure_queue(NR_QUEUED, NR_QUEUED);
	measure_once();
	measure_quarantine();
	return 0;
}

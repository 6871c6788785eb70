#include "once/once.h"

#include <glib.h>
#include <string.h>
#include <urcu/hlist.h>
#include <xxhash.h>

#include "base/clock.h"

#define DEFAULT_EXPIRY_SLACK_MS 60000
#define DEFAULT_MAX_RECORDS 20000
#define DEFAULT_MAX_REFUSALS 20000
#define DEFAULT_ANSWER_MAX (16 * 1024)
#define DEFAULT_ANSWER_BUDGET (4 * 1024 * 1024)

/*
 * Refusals of tickets with an expiry further ahead are not recorded: only a
 * forged ticket has one, and its record would occupy the table until then.
 */
#define REFUSAL_AHEAD_MAX_MS INT64_C(86400000)

enum record_state {
	RECORD_RUNNING,
	RECORD_RAN,
	RECORD_UNKNOWN,
	RECORD_REFUSED
};

struct once_record {
	struct cds_hlist_node hash_node;
	struct cds_list_head answer_node; /* in once.answers if has_answer */
	struct cds_list_head waiters;
	unsigned char random[TICKET_RANDOM_BYTES];
	int64_t expiry_wall_ms;
	uint64_t request;
	void *answer;
	uint32_t answer_len;
	uint32_t heap_index;
	enum record_state state;
	bool has_answer;
};

struct once {
	char host[TICKET_HOST_MAX + 1];
	uint64_t incarnation;
	int64_t anchor_ns;
	int64_t anchor_wall_ms;
	int64_t latest; /* largest `now` seen */
	int64_t ticket_life_ms;
	int64_t ahead_max_ms; /* longest ticket_life_ms so far, plus slack */
	int64_t expiry_slack_ms;
	size_t max_records;
	size_t max_refusals;
	size_t answer_max_bytes;
	size_t answer_budget;

	struct cds_hlist_head *buckets;
	size_t nr_buckets; /* a power of two */
	/*
	 * Binary heap by expiry of all records that are not running. A running
	 * record must not be dropped when it expires.
	 */
	struct once_record **heap;
	size_t nr_heap;
	size_t heap_size;
	struct cds_list_head answers; /* oldest first */
	size_t answer_bytes;
	size_t nr_running;
	size_t nr_refusals;
	size_t nr_records; /* without refusals */
};

static int64_t update_clock(struct once *once, int64_t now)
{
	if (now > once->latest)
		once->latest = now;
	return once->latest;
}

static int64_t wall_ms(const struct once *once, int64_t now)
{
	return once->anchor_wall_ms + (now - once->anchor_ns) / NS_PER_MS;
}

static struct cds_hlist_head *
bucket_of(const struct once *once, const unsigned char *random, int64_t expiry)
{
	uint64_t hash = XXH64(random, TICKET_RANDOM_BYTES, (uint64_t)expiry);

	return &once->buckets[hash & (once->nr_buckets - 1)];
}

static struct once_record *record_find(const struct once *once,
				       const struct ticket *ticket)
{
	struct cds_hlist_head *bucket =
		bucket_of(once, ticket->random, ticket->expiry_wall_ms);
	struct once_record *record;

	for (struct cds_hlist_node *node = bucket->next; node;
	     node = node->next) {
		record = caa_container_of(node, struct once_record, hash_node);
		if (record->expiry_wall_ms == ticket->expiry_wall_ms &&
		    !memcmp(record->random, ticket->random,
			    TICKET_RANDOM_BYTES))
			return record;
	}
	return NULL;
}

static struct once_record *record_new(struct once *once,
				      const struct ticket *ticket)
{
	struct once_record *record = g_new0(struct once_record, 1);

	memcpy(record->random, ticket->random, TICKET_RANDOM_BYTES);
	record->expiry_wall_ms = ticket->expiry_wall_ms;
	CDS_INIT_LIST_HEAD(&record->waiters);
	cds_hlist_add_head(&record->hash_node,
			   bucket_of(once, record->random,
				     record->expiry_wall_ms));
	return record;
}

static void answer_drop(struct once *once, struct once_record *record)
{
	if (!record->has_answer)
		return;
	cds_list_del(&record->answer_node);
	once->answer_bytes -= record->answer_len;
	g_free(record->answer);
	record->answer = NULL;
	record->has_answer = false;
}

static void record_free(struct once *once, struct once_record *record)
{
	answer_drop(once, record);
	cds_hlist_del(&record->hash_node);
	if (record->state == RECORD_REFUSED)
		once->nr_refusals--;
	else
		once->nr_records--;
	g_free(record);
}

static void heap_place(struct once *once, size_t i, struct once_record *record)
{
	once->heap[i] = record;
	record->heap_index = (uint32_t)i;
}

static void heap_add(struct once *once, struct once_record *record)
{
	size_t i = once->nr_heap++;

	if (once->nr_heap > once->heap_size) {
		once->heap_size = MAX(64, 2 * once->heap_size);
		once->heap = g_renew(struct once_record *, once->heap,
				     once->heap_size);
	}
	while (i) {
		size_t parent = (i - 1) / 2;

		if (once->heap[parent]->expiry_wall_ms <=
		    record->expiry_wall_ms)
			break;
		heap_place(once, i, once->heap[parent]);
		i = parent;
	}
	heap_place(once, i, record);
}

static struct once_record *heap_pop(struct once *once)
{
	struct once_record *top = once->heap[0];
	struct once_record *last = once->heap[--once->nr_heap];
	size_t i = 0;

	for (;;) {
		size_t child = 2 * i + 1;

		if (child >= once->nr_heap)
			break;
		if (child + 1 < once->nr_heap &&
		    once->heap[child + 1]->expiry_wall_ms <
			    once->heap[child]->expiry_wall_ms)
			child++;
		if (once->heap[child]->expiry_wall_ms >= last->expiry_wall_ms)
			break;
		heap_place(once, i, once->heap[child]);
		i = child;
	}
	if (once->nr_heap)
		heap_place(once, i, last);
	return top;
}

static size_t or_default(size_t value, size_t fallback)
{
	return value ? value : fallback;
}

struct once *once_new(const struct once_options *options)
{
	struct once *once = g_new0(struct once, 1);
	size_t capacity;

	g_strlcpy(once->host, options->host, sizeof(once->host));
	once->incarnation = options->incarnation;
	once->anchor_ns = options->now;
	once->latest = options->now;
	once->anchor_wall_ms = options->wall_ms;
	once->expiry_slack_ms = options->expiry_slack_ms
					? options->expiry_slack_ms
					: DEFAULT_EXPIRY_SLACK_MS;
	once->max_records =
		or_default(options->max_records, DEFAULT_MAX_RECORDS);
	once->max_refusals =
		or_default(options->max_refusals, DEFAULT_MAX_REFUSALS);
	once->answer_max_bytes =
		or_default(options->answer_max_bytes, DEFAULT_ANSWER_MAX);
	once->answer_budget =
		or_default(options->answer_budget, DEFAULT_ANSWER_BUDGET);
	once_set_ticket_life(once, options->ticket_life_ms);

	capacity = once->max_records + once->max_refusals;
	for (once->nr_buckets = 16; once->nr_buckets < capacity / 2;)
		once->nr_buckets *= 2;
	once->buckets = g_new0(struct cds_hlist_head, once->nr_buckets);
	CDS_INIT_LIST_HEAD(&once->answers);
	return once;
}

static void bucket_free(struct cds_hlist_head *bucket)
{
	struct cds_hlist_node *node = bucket->next;

	while (node) {
		struct once_record *record =
			caa_container_of(node, struct once_record, hash_node);

		node = node->next;
		g_free(record->answer);
		g_free(record);
	}
}

void once_free(struct once *once)
{
	for (size_t i = 0; i < once->nr_buckets; i++)
		bucket_free(&once->buckets[i]);
	g_free(once->buckets);
	g_free(once->heap);
	g_free(once);
}

void once_set_ticket_life(struct once *once, int64_t ticket_life_ms)
{
	once->ticket_life_ms = ticket_life_ms;
	once->ahead_max_ms =
		MAX(once->ahead_max_ms, ticket_life_ms + once->expiry_slack_ms);
}

void once_issue(struct once *once, int64_t now,
		const unsigned char random[TICKET_RANDOM_BYTES],
		struct ticket *ticket)
{
	now = update_clock(once, now);
	memset(ticket, 0, sizeof(*ticket));
	memcpy(ticket->host, once->host, sizeof(ticket->host));
	ticket->incarnation = once->incarnation;
	ticket->expiry_wall_ms = wall_ms(once, now) + once->ticket_life_ms;
	memcpy(ticket->random, random, TICKET_RANDOM_BYTES);
}

static enum once_verdict verdict_of(const struct once_record *record,
				    uint64_t request)
{
	if (record->state == RECORD_REFUSED)
		return ONCE_REFUSED;
	if (record->request != request)
		return ONCE_OTHER_REQUEST;
	switch (record->state) {
	case RECORD_RUNNING:
		return ONCE_WAIT;
	case RECORD_RAN:
		return record->has_answer ? ONCE_REPLAY : ONCE_RAN;
	default:
		return ONCE_UNKNOWN;
	}
}

static bool is_own(const struct once *once, const struct ticket *ticket)
{
	return ticket->incarnation == once->incarnation &&
	       !strcmp(ticket->host, once->host);
}

enum once_verdict once_begin(struct once *once, const struct ticket *ticket,
			     uint64_t request, int64_t now,
			     struct once_record **record)
{
	struct once_record *found;
	enum once_verdict verdict;
	int64_t wall;

	*record = NULL;
	if (!is_own(once, ticket))
		return ONCE_OTHER_INCARNATION;
	once_expire(once, now);
	wall = wall_ms(once, once->latest);
	if (ticket->expiry_wall_ms <= wall)
		return ONCE_EXPIRED;
	found = record_find(once, ticket);
	if (found) {
		verdict = verdict_of(found, request);
		if (verdict == ONCE_WAIT || verdict == ONCE_REPLAY)
			*record = found;
		return verdict;
	}
	if (ticket->expiry_wall_ms - wall > once->ahead_max_ms)
		return ONCE_TOO_FAR;
	if (once->nr_records >= once->max_records)
		return ONCE_TABLE_FULL;

	found = record_new(once, ticket);
	found->state = RECORD_RUNNING;
	found->request = request;
	once->nr_records++;
	once->nr_running++;
	*record = found;
	return ONCE_RUN;
}

void once_wait(struct once_record *record, struct once_waiter *waiter)
{
	cds_list_add_tail(&waiter->node, &record->waiters);
}

void once_wait_cancel(struct once_waiter *waiter)
{
	cds_list_del(&waiter->node);
}

const void *once_answer(const struct once_record *record, size_t *len)
{
	*len = record->answer_len;
	return record->answer;
}

static void answer_store(struct once *once, struct once_record *record,
			 const void *answer, size_t len)
{
	if (!answer || len > once->answer_max_bytes ||
	    len > once->answer_budget)
		return;
	while (once->answer_bytes + len > once->answer_budget)
		answer_drop(once, cds_list_first_entry(&once->answers,
						       struct once_record,
						       answer_node));
	/* g_memdup2() returns NULL for an empty answer, which is valid here. */
	record->answer = g_memdup2(answer, len);
	record->answer_len = (uint32_t)len;
	record->has_answer = true;
	once->answer_bytes += len;
	cds_list_add_tail(&record->answer_node, &once->answers);
}

static void detach_waiters(struct once_record *record,
			   struct cds_list_head *waiters)
{
	CDS_INIT_LIST_HEAD(waiters);
	cds_list_splice(&record->waiters, waiters);
	CDS_INIT_LIST_HEAD(&record->waiters);
}

void once_finish(struct once *once, struct once_record *record,
		 enum once_outcome outcome, const void *answer, size_t len,
		 int64_t now, struct cds_list_head *waiters)
{
	detach_waiters(record, waiters);
	once->nr_running--;
	if (outcome == ONCE_OUTCOME_RAN) {
		record->state = RECORD_RAN;
		answer_store(once, record, answer, len);
	} else {
		record->state = RECORD_UNKNOWN;
	}
	heap_add(once, record);
	once_expire(once, now);
}

bool once_abort(struct once *once, struct once_record *record, int64_t now,
		struct cds_list_head *waiters)
{
	detach_waiters(record, waiters);
	once_expire(once, now);
	once->nr_running--;
	if (once->nr_refusals >= once->max_refusals) {
		record_free(once, record);
		return false;
	}
	record->state = RECORD_REFUSED;
	once->nr_records--;
	once->nr_refusals++;
	heap_add(once, record);
	return true;
}

bool once_refuse(struct once *once, const struct ticket *ticket, int64_t now)
{
	struct once_record *record;
	int64_t wall;

	if (!is_own(once, ticket))
		return false;
	once_expire(once, now);
	wall = wall_ms(once, once->latest);
	/* The record of an expired ticket may have been dropped. */
	if (ticket->expiry_wall_ms <= wall)
		return false;
	record = record_find(once, ticket);
	if (record)
		return record->state == RECORD_REFUSED;
	if (once->nr_refusals >= once->max_refusals ||
	    ticket->expiry_wall_ms - wall > REFUSAL_AHEAD_MAX_MS)
		return false;
	record = record_new(once, ticket);
	record->state = RECORD_REFUSED;
	once->nr_refusals++;
	heap_add(once, record);
	return true;
}

size_t once_expire(struct once *once, int64_t now)
{
	int64_t wall = wall_ms(once, update_clock(once, now));
	size_t count = 0;

	while (once->nr_heap && once->heap[0]->expiry_wall_ms <= wall) {
		record_free(once, heap_pop(once));
		count++;
	}
	return count;
}

int64_t once_next_expiry(const struct once *once)
{
	int64_t ahead_ms;

	if (!once->nr_heap)
		return DEADLINE_NEVER;
	ahead_ms = once->heap[0]->expiry_wall_ms - once->anchor_wall_ms;
	return once->anchor_ns + ahead_ms * NS_PER_MS;
}

const char *once_verdict_name(enum once_verdict verdict)
{
	static const char *const names[] = {
		[ONCE_RUN] = "run",
		[ONCE_WAIT] = "wait",
		[ONCE_REPLAY] = "replay",
		[ONCE_RAN] = "ran",
		[ONCE_UNKNOWN] = "unknown",
		[ONCE_REFUSED] = "refused",
		[ONCE_OTHER_REQUEST] = "other_request",
		[ONCE_OTHER_INCARNATION] = "other_incarnation",
		[ONCE_EXPIRED] = "expired",
		[ONCE_TOO_FAR] = "too_far",
		[ONCE_TABLE_FULL] = "table_full",
	};

	return names[verdict];
}

json_t *once_dump(const struct once *once)
{
	return json_pack("{s:s, s:I, s:I, s:I, s:I, s:I, s:I, s:I}", "host",
			 once->host, "ticket_life_ms",
			 (json_int_t)once->ticket_life_ms, "records",
			 (json_int_t)once->nr_records, "records_max",
			 (json_int_t)once->max_records, "running",
			 (json_int_t)once->nr_running, "refusals",
			 (json_int_t)once->nr_refusals, "refusals_max",
			 (json_int_t)once->max_refusals, "answer_bytes",
			 (json_int_t)once->answer_bytes);
}

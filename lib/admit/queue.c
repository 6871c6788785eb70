#include "admit/queue.h"

#include "base/clock.h"

/* Cost that a caller is credited with in each turn. */
#define QUANTUM 1

/* Each priority is guaranteed 1 / GUARANTEE_DIVISOR of the queue. */
#define GUARANTEE_DIVISOR 8

/*
 * Starts of each priority in one round. Orders start first; the other
 * priorities still get starts in every round.
 */
static const int class_weights[ADMIT_NR_PRIORITIES] = {
	[ADMIT_ORDER] = 16,
	[ADMIT_LOOKUP] = 4,
	[ADMIT_BACKGROUND] = 1,
};

static int class_index(const struct admit_request *request)
{
	return CLAMP(request->level, 0, ADMIT_LEVELS - 1) *
		       ADMIT_NR_PRIORITIES +
	       (int)request->priority;
}

static int class_weight(int index)
{
	return class_weights[index % ADMIT_NR_PRIORITIES];
}

int64_t queue_wait_deadline(const struct admit_request *request)
{
	return request->objective ? MIN(request->objective, request->deadline)
				  : request->deadline;
}

void queue_init(struct admit_queue *queue)
{
	queue->nr_requests = 0;
	queue->expected_ns = 0;
	for (int i = 0; i < QUEUE_CLASSES; i++) {
		struct admit_class *class = &queue->classes[i];

		*class = (struct admit_class){
			.credit = class_weight(i),
			.earliest_deadline = DEADLINE_NEVER,
		};
		CDS_INIT_LIST_HEAD(&class->callers);
		class->by_caller =
			g_hash_table_new(g_int64_hash, g_int64_equal);
	}
}

void queue_release(struct admit_queue *queue)
{
	for (int i = 0; i < QUEUE_CLASSES; i++)
		g_hash_table_destroy(queue->classes[i].by_caller);
}

static struct admit_caller *caller_get(struct admit_class *class, uint64_t name)
{
	struct admit_caller *caller =
		g_hash_table_lookup(class->by_caller, &name);

	if (caller)
		return caller;
	caller = g_new0(struct admit_caller, 1);
	caller->caller = name;
	CDS_INIT_LIST_HEAD(&caller->requests);
	cds_list_add_tail(&caller->node, &class->callers);
	g_hash_table_insert(class->by_caller, &caller->caller, caller);
	class->nr_callers++;
	return caller;
}

static void caller_free(struct admit_class *class, struct admit_caller *caller)
{
	g_hash_table_remove(class->by_caller, &caller->caller);
	cds_list_del(&caller->node);
	class->nr_callers--;
	g_free(caller);
}

void queue_push(struct admit_queue *queue, struct admit_request *request)
{
	struct admit_class *class = &queue->classes[class_index(request)];
	struct admit_caller *caller = caller_get(class, request->caller);

	request->caller_queue = caller;
	cds_list_add_tail(&request->node, &caller->requests);
	caller->nr_requests++;
	class->nr_requests++;
	queue->nr_requests++;
	queue->expected_ns += request->expected_ns;
	class->earliest_deadline =
		MIN(class->earliest_deadline, queue_wait_deadline(request));
}

void queue_remove(struct admit_queue *queue, struct admit_request *request)
{
	struct admit_class *class = &queue->classes[class_index(request)];
	struct admit_caller *caller = request->caller_queue;

	cds_list_del(&request->node);
	request->caller_queue = NULL;
	class->nr_requests--;
	queue->nr_requests--;
	queue->expected_ns -= request->expected_ns;
	if (!--caller->nr_requests)
		caller_free(class, caller);
	if (!class->nr_requests)
		class->earliest_deadline = DEADLINE_NEVER;
}

/* The first class of the lowest level with requests. */
static struct admit_class *first_level(struct admit_queue *queue)
{
	int i = 0;

	while (!queue->classes[i].nr_requests)
		i++;
	return &queue->classes[i - i % ADMIT_NR_PRIORITIES];
}

static struct admit_class *class_next(struct admit_queue *queue)
{
	struct admit_class *classes = first_level(queue);

	for (;;) {
		for (int i = 0; i < ADMIT_NR_PRIORITIES; i++) {
			struct admit_class *class = &classes[i];

			if (class->nr_requests && class->credit > 0) {
				class->credit--;
				return class;
			}
		}
		for (int i = 0; i < ADMIT_NR_PRIORITIES; i++)
			classes[i].credit = class_weights[i];
	}
}

static struct admit_request *first_request(const struct admit_caller *caller)
{
	return cds_list_first_entry(&caller->requests, struct admit_request,
				    node);
}

static void turn_end(struct admit_class *class, struct admit_caller *caller)
{
	caller->in_turn = false;
	cds_list_del(&caller->node);
	cds_list_add_tail(&caller->node, &class->callers);
}

/*
 * Deficit round robin. Each visit credits a caller that has a queued request,
 * so the number of visits before a start is bounded by the queued costs.
 */
static struct admit_request *class_pop(struct admit_queue *queue,
				       struct admit_class *class)
{
	for (;;) {
		struct admit_caller *caller =
			cds_list_first_entry(&class->callers,
					     struct admit_caller, node);
		struct admit_request *request = first_request(caller);

		if (!caller->in_turn) {
			caller->in_turn = true;
			caller->deficit += QUANTUM;
		}
		if (caller->deficit < request->cost) {
			turn_end(class, caller);
			continue;
		}
		caller->deficit -= request->cost;
		if (caller->nr_requests > 1 && caller->deficit < QUANTUM)
			turn_end(class, caller);
		queue_remove(queue, request);
		return request;
	}
}

struct admit_request *queue_pop(struct admit_queue *queue)
{
	if (!queue->nr_requests)
		return NULL;
	return class_pop(queue, class_next(queue));
}

int queue_ahead(const struct admit_queue *queue,
		const struct admit_request *arrival)
{
	int index = class_index(arrival);
	const struct admit_class *class = &queue->classes[index];
	const struct admit_caller *own =
		g_hash_table_lookup(class->by_caller, &arrival->caller);
	int turns = own ? own->nr_requests + 1 : 1;
	int64_t by_turns = (int64_t)turns * class->nr_callers;
	int ahead = (int)MIN(by_turns, class->nr_requests);

	for (int i = 0; i < index; i++)
		ahead += queue->classes[i].nr_requests;
	return ahead;
}

int64_t queue_work_ns(const struct admit_queue *queue, int nr_requests)
{
	if (!queue->nr_requests)
		return 0;
	return queue->expected_ns / queue->nr_requests * nr_requests;
}

int queue_count(const struct admit_queue *queue, enum admit_priority priority)
{
	int nr = 0;

	for (int i = priority; i < QUEUE_CLASSES; i += ADMIT_NR_PRIORITIES)
		nr += queue->classes[i].nr_requests;
	return nr;
}

static int guarantee(int queue_max)
{
	return queue_max < ADMIT_NR_PRIORITIES
		       ? 0
		       : MAX(1, queue_max / GUARANTEE_DIVISOR);
}

static struct admit_caller *longest_caller(const struct admit_class *class)
{
	struct admit_caller *caller, *longest = NULL;

	cds_list_for_each_entry (caller, &class->callers, node)
		if (!longest || caller->nr_requests > longest->nr_requests)
			longest = caller;
	return longest;
}

static struct admit_request *newest_request(const struct admit_caller *caller)
{
	return cds_list_entry(caller->requests.prev, struct admit_request,
			      node);
}

/* The newest request of the highest level above that of the arrival. */
static struct admit_request *
higher_level_victim(const struct admit_queue *queue, int level)
{
	int end = (level + 1) * ADMIT_NR_PRIORITIES;

	for (int i = QUEUE_CLASSES - 1; i >= end; i--)
		if (queue->classes[i].nr_requests)
			return newest_request(
				longest_caller(&queue->classes[i]));
	return NULL;
}

struct admit_request *queue_victim(const struct admit_queue *queue,
				   const struct admit_request *arrival,
				   int queue_max)
{
	int level = class_index(arrival) / ADMIT_NR_PRIORITIES;
	const struct admit_class *classes =
		&queue->classes[level * ADMIT_NR_PRIORITIES];
	const struct admit_class *own = &classes[arrival->priority];
	const struct admit_caller *caller =
		g_hash_table_lookup(own->by_caller, &arrival->caller);
	int kept = guarantee(queue_max);
	bool below_guarantee = own->nr_requests < kept;
	struct admit_request *victim = higher_level_victim(queue, level);
	struct admit_caller *longest;

	if (victim)
		return victim;
	for (int i = ADMIT_NR_PRIORITIES - 1; i >= 0; i--) {
		const struct admit_class *class = &classes[i];

		if (class->nr_requests <= kept || class == own)
			continue;
		if (i > (int)arrival->priority || below_guarantee)
			return newest_request(longest_caller(class));
	}
	longest = longest_caller(own);
	if (longest &&
	    longest->nr_requests >= (caller ? caller->nr_requests : 0) + 2)
		return newest_request(longest);
	return NULL;
}

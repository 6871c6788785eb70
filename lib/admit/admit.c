#include "admit/admit.h"

#include <glib.h>

#include "admit/queue.h"
#include "base/clock.h"

/* A new service time has a weight of 1 / MEAN_WEIGHT in the mean. */
#define MEAN_WEIGHT 8

/* Service times of one priority; the priorities have different requests. */
struct service_time {
	int64_t mean_ns; /* 0: not known */
	int nr_running;
	int64_t started_sum; /* sum of effective_start() of running requests */
};

/* Number of samples that the mean stands for when ages are averaged with it. */
#define MEAN_SAMPLES 2

/* A run that takes this many times the mean is overdue. */
#define OVERDUE_FACTOR 4

/* Longest time to the next timer while requests run. */
#define RUNNING_TIMER_NS (250 * NS_PER_MS)

/*
 * A longer time between two calls while requests run means that this process
 * was suspended. Answers that arrived in time were then read late and must not
 * count as slow.
 */
#define PROCESS_PAUSE_NS (600 * NS_PER_MS)

/*
 * Number of the last starts whose times are known. While a server may have been
 * cold unnoticed, no more of them count.
 */
#define RECENT_STARTS 128

struct admit {
	int queue_max;
	const struct admit_limit_policy *policy;
	struct admit_ramp ramp;
	struct admit_queue queue;
	struct service_time service_times[ADMIT_NR_PRIORITIES];
	int64_t mean_ns; /* of all priorities */
	int64_t latest;	 /* largest `now` seen */
	int64_t resumed; /* end of the last pause of this process */
	uint64_t nr_pauses;
	uint64_t life;
	int nr_running;
	bool draining;
	struct admit_cold_rate cold_rate;
	int64_t cold_deadline;
	double cold_tokens;
	int64_t cold_filled;	       /* when tokens were last added */
	int64_t starts[RECENT_STARTS]; /* times of the last starts, a ring */
	unsigned next_start;	       /* where the next one is recorded */
};

/* Start of the measured service time of a running request. */
static int64_t effective_start(const struct admit *admit,
			       const struct admit_request *request)
{
	return MAX(request->started, admit->resumed);
}

static void end_pause(struct admit *admit, int64_t now)
{
	admit->resumed = now;
	admit->nr_pauses++;
	for (int i = 0; i < ADMIT_NR_PRIORITIES; i++)
		admit->service_times[i].started_sum =
			admit->service_times[i].nr_running * now;
}

static int64_t update_clock(struct admit *admit, int64_t now)
{
	if (admit->nr_running && now - admit->latest > PROCESS_PAUSE_NS)
		end_pause(admit, now);
	if (now > admit->latest)
		admit->latest = now;
	return admit->latest;
}

static void apply_options(struct admit *admit,
			  const struct admit_options *options)
{
	admit->queue_max = options->queue_max;
	admit->policy = options->limit_policy ? options->limit_policy
					      : &admit_limit_observed;
	admit->ramp.slots = MAX(1, options->slots);
	admit->ramp.cold_slots =
		CLAMP(options->cold_slots, 1, admit->ramp.slots);
	admit->ramp.ramp_ns = options->ramp_ns;
}

struct admit *admit_new(const struct admit_options *options, int64_t now)
{
	struct admit *admit = g_new0(struct admit, 1);

	admit->latest = admit->resumed = now;
	admit->life = 1;
	apply_options(admit, options);
	queue_init(&admit->queue);
	admit->policy->cold(&admit->ramp, now);
	return admit;
}

void admit_free(struct admit *admit)
{
	queue_release(&admit->queue);
	g_free(admit);
}

void admit_set_policy(struct admit *admit, const struct admit_options *options,
		      int64_t now)
{
	const struct admit_ramp old = admit->ramp;
	struct admit_ramp *ramp = &admit->ramp;

	admit_limit(admit, now);
	apply_options(admit, options);
	ramp->limit = CLAMP(ramp->limit, ramp->cold_slots, ramp->slots);
	/* Time spent in a slower ramp must not count towards a faster one. */
	if (ramp->slots != old.slots || ramp->cold_slots != old.cold_slots ||
	    ramp->ramp_ns != old.ramp_ns)
		ramp->step_start = admit->latest;
	admit_limit(admit, now);
}

int admit_limit(struct admit *admit, int64_t now)
{
	now = update_clock(admit, now);
	if (admit->policy->tick)
		admit->policy->tick(&admit->ramp, now);
	return admit->ramp.limit;
}

/*
 * The ages of the running requests show that a server has become slow long
 * before the first of these requests ends and changes the mean.
 */
int64_t admit_service_ns(const struct admit *admit,
			 enum admit_priority priority)
{
	const struct service_time *service = &admit->service_times[priority];
	int64_t ages =
		service->nr_running * admit->latest - service->started_sum;
	int64_t by_age = (MEAN_SAMPLES * service->mean_ns + ages) /
			 (MEAN_SAMPLES + service->nr_running);

	return MAX(service->mean_ns, by_age);
}

/* Expected run time; the ages of the running requests count as well. */
static int64_t request_ns(const struct admit *admit,
			  const struct admit_request *request)
{
	int64_t service_ns = admit_service_ns(admit, request->priority);
	int64_t mean_ns = admit->service_times[request->priority].mean_ns;

	if (!request->expected_ns || !mean_ns)
		return MAX(request->expected_ns, service_ns);
	return (int64_t)((double)request->expected_ns * service_ns / mean_ns);
}

/*
 * Whether a request that starts after wait_ns would end after its due time, so
 * that another server should get it. While no request of its priority runs, one
 * is admitted to measure the service time.
 */
static bool would_miss_due(const struct admit *admit,
			   const struct admit_request *request, int64_t wait_ns)
{
	if (!request->due ||
	    !admit->service_times[request->priority].nr_running)
		return false;
	return wait_ns + request_ns(admit, request) >
	       request->due - admit->latest;
}

/*
 * Whether a request that waits for wait_ns more would end after its objective
 * or deadline; false without an objective. While no request of its priority
 * runs, the service time is not known and only the wait counts.
 */
static bool would_miss_objective(const struct admit *admit,
				 const struct admit_request *request,
				 int64_t wait_ns)
{
	const struct service_time *service =
		&admit->service_times[request->priority];
	int64_t left;

	if (!request->objective)
		return false;
	left = queue_wait_deadline(request) - admit->latest;
	if (!service->nr_running)
		return wait_ns >= left;
	return wait_ns + request_ns(admit, request) > left;
}

/*
 * Whether a request that starts after wait_ns would end after its deadline, by
 * the expected service time of its priority. While no request of its priority
 * runs, only the wait counts: if a high mean kept every request out, no new
 * sample could lower it.
 */
static bool would_miss_deadline(const struct admit *admit,
				const struct admit_request *request,
				int64_t wait_ns)
{
	const struct service_time *service =
		&admit->service_times[request->priority];
	int64_t left;

	if (request->deadline <= admit->latest)
		return true;
	if (request->deadline == DEADLINE_NEVER)
		return false;
	left = request->deadline - admit->latest;
	if (!service->nr_running)
		return wait_ns >= left;
	return wait_ns + request_ns(admit, request) > left;
}

static bool is_start_rate_limited(const struct admit *admit)
{
	return admit->latest < admit->cold_deadline;
}

static void fill_cold_tokens(struct admit *admit)
{
	double seconds =
		(double)(admit->latest - admit->cold_filled) / NS_PER_SEC;

	admit->cold_filled = admit->latest;
	admit->cold_tokens =
		MIN(admit->cold_tokens + seconds * admit->cold_rate.per_s,
		    admit->cold_rate.burst);
}

/* Whether the start rate of a cold backend server permits a start now. */
static bool rate_allows(struct admit *admit)
{
	if (!is_start_rate_limited(admit))
		return true;
	fill_cold_tokens(admit);
	return admit->cold_tokens >= 1;
}

/* When the cold rate permits the next start. */
static int64_t rate_timer(const struct admit *admit)
{
	double missing = 1 - admit->cold_tokens;

	if (!is_start_rate_limited(admit) || missing <= 0 ||
	    admit->cold_rate.per_s <= 0)
		return admit->cold_deadline;
	return MIN(admit->cold_deadline,
		   admit->cold_filled +
			   (int64_t)(missing * NS_PER_SEC /
				     admit->cold_rate.per_s) +
			   1);
}

/* The number of starts since a time, of those whose times are known. */
static int count_starts(const struct admit *admit, int64_t since)
{
	int nr = 0;

	for (int i = 0; i < RECENT_STARTS; i++)
		nr += admit->starts[i] > since;
	return nr;
}

/* The tokens left if the rate had applied for as long as it can matter. */
static double initial_tokens(const struct admit *admit,
			     const struct admit_cold_rate *rate,
			     int64_t last_warm)
{
	int64_t since = MAX(last_warm, admit->latest - NS_PER_SEC);
	double seconds = (double)(admit->latest - since) / NS_PER_SEC;

	return MIN(rate->burst + seconds * rate->per_s -
			   count_starts(admit, since),
		   1);
}

void admit_set_cold(struct admit *admit, const struct admit_cold_rate *rate,
		    int64_t deadline, int64_t last_warm, int64_t now)
{
	now = update_clock(admit, now);
	if (!is_start_rate_limited(admit)) {
		admit->cold_tokens = initial_tokens(admit, rate, last_warm);
		admit->cold_filled = now;
	}
	admit->cold_rate = *rate;
	admit->cold_deadline = deadline;
}

int64_t admit_cold_deadline(const struct admit *admit)
{
	return admit->cold_deadline;
}

static void start(struct admit *admit, struct admit_request *request)
{
	if (is_start_rate_limited(admit))
		admit->cold_tokens -= 1;
	admit->starts[admit->next_start++ % RECENT_STARTS] = admit->latest;
	request->state = ADMIT_RUNNING;
	request->started = admit->latest;
	request->life = admit->life;
	admit->service_times[request->priority].nr_running++;
	admit->service_times[request->priority].started_sum += request->started;
	admit->nr_running++;
}

static int64_t expected_wait(const struct admit *admit,
			     const struct admit_request *request)
{
	int ahead = queue_ahead(&admit->queue, request);
	int64_t wait =
		MAX(ahead * (admit->mean_ns / admit->ramp.limit),
		    queue_work_ns(&admit->queue, ahead) / admit->ramp.limit);

	if (is_start_rate_limited(admit) && admit->cold_rate.per_s > 0)
		wait = MAX(wait, MIN(admit->cold_deadline - admit->latest,
				     (int64_t)(ahead * (double)NS_PER_SEC /
					       admit->cold_rate.per_s)));
	return wait;
}

enum admit_verdict admit_arrive(struct admit *admit,
				struct admit_request *request, int64_t now,
				struct admit_request **displaced)
{
	int limit = admit_limit(admit, now);
	int64_t wait_ns;

	*displaced = NULL;
	request->state = ADMIT_IDLE;
	request->arrival = admit->latest;
	request->caller_queue = NULL;
	request->cost = CLAMP(request->cost, 1, ADMIT_COST_MAX);
	if (admit->draining)
		return ADMIT_REFUSED_DRAINING;
	if (!admit->queue.nr_requests && admit->nr_running < limit &&
	    rate_allows(admit)) {
		if (would_miss_deadline(admit, request, 0) ||
		    would_miss_due(admit, request, 0))
			return ADMIT_REFUSED_DEADLINE;
		start(admit, request);
		return ADMIT_RUN;
	}
	wait_ns = expected_wait(admit, request);
	if (would_miss_deadline(admit, request, wait_ns) ||
	    would_miss_objective(admit, request, wait_ns) ||
	    would_miss_due(admit, request, wait_ns))
		return ADMIT_REFUSED_DEADLINE;
	if (admit->queue.nr_requests >= admit->queue_max) {
		*displaced =
			queue_victim(&admit->queue, request, admit->queue_max);
		if (!*displaced)
			return ADMIT_REFUSED_FULL;
		admit_cancel(admit, *displaced);
	}
	request->state = ADMIT_WAITING;
	queue_push(&admit->queue, request);
	return ADMIT_QUEUED;
}

struct admit_request *admit_next(struct admit *admit, int64_t now,
				 struct cds_list_head *expired)
{
	int limit = admit_limit(admit, now);

	while (admit->nr_running < limit && rate_allows(admit)) {
		struct admit_request *request = queue_pop(&admit->queue);

		if (!request)
			return NULL;
		if (!would_miss_deadline(admit, request, 0)) {
			start(admit, request);
			return request;
		}
		request->state = ADMIT_IDLE;
		cds_list_add_tail(&request->node, expired);
	}
	return NULL;
}

bool admit_is_overdue(const struct admit *admit,
		      const struct admit_request *request, int64_t now)
{
	int64_t mean_ns = admit->service_times[request->priority].mean_ns;

	return mean_ns &&
	       now - effective_start(admit, request) > OVERDUE_FACTOR * mean_ns;
}

static void mean_add(int64_t *mean_ns, int64_t service_ns)
{
	if (*mean_ns)
		*mean_ns += (service_ns - *mean_ns) / MEAN_WEIGHT;
	else
		*mean_ns = service_ns;
}

void admit_done(struct admit *admit, struct admit_request *request,
		enum admit_outcome outcome, int64_t now)
{
	struct service_time *service = &admit->service_times[request->priority];
	int64_t service_ns;

	now = update_clock(admit, now);
	service_ns = now - request->started;
	request->state = ADMIT_IDLE;
	service->nr_running--;
	service->started_sum -= effective_start(admit, request);
	admit->nr_running--;
	if (effective_start(admit, request) != request->started)
		return;
	/* An abandoned request would have taken at least this long. */
	if (outcome == ADMIT_ANSWERED ||
	    (outcome == ADMIT_FAILED && service_ns > service->mean_ns)) {
		mean_add(&service->mean_ns, service_ns);
		mean_add(&admit->mean_ns, service_ns);
	}
	if (request->life == admit->life && admit->policy->done)
		admit->policy->done(&admit->ramp, outcome, service_ns, now);
}

bool admit_cancel(struct admit *admit, struct admit_request *request)
{
	if (request->state != ADMIT_WAITING)
		return false;
	queue_remove(&admit->queue, request);
	request->state = ADMIT_IDLE;
	return true;
}

void admit_cancel_all(struct admit *admit, struct cds_list_head *cancelled)
{
	struct admit_request *request;

	while ((request = queue_pop(&admit->queue))) {
		request->state = ADMIT_IDLE;
		cds_list_add_tail(&request->node, cancelled);
	}
}

/* Earliest time at which a queued request of the class may expire. */
static int64_t class_timer(const struct admit *admit, int index)
{
	const struct service_time *service =
		&admit->service_times[index % ADMIT_NR_PRIORITIES];
	int64_t deadline = admit->queue.classes[index].earliest_deadline;

	if (deadline == DEADLINE_NEVER || !service->nr_running)
		return deadline;
	return deadline - service->mean_ns + 1;
}

static void expire_caller(struct admit *admit, struct admit_caller *caller,
			  struct cds_list_head *expired, int64_t *earliest)
{
	struct admit_request *request, *next;

	cds_list_for_each_entry_safe (request, next, &caller->requests, node) {
		/* admit_cancel() frees the caller with its last request. */
		bool last = &next->node == &caller->requests;

		if (would_miss_deadline(admit, request, 0) ||
		    would_miss_objective(admit, request, 0)) {
			admit_cancel(admit, request);
			cds_list_add_tail(&request->node, expired);
		} else {
			*earliest =
				MIN(*earliest, queue_wait_deadline(request));
		}
		if (last)
			return;
	}
}

static void expire_class(struct admit *admit, struct admit_class *class,
			 struct cds_list_head *expired)
{
	int64_t earliest = DEADLINE_NEVER;
	struct admit_caller *caller, *next;

	cds_list_for_each_entry_safe (caller, next, &class->callers, node)
		expire_caller(admit, caller, expired, &earliest);
	class->earliest_deadline = earliest;
}

void admit_expire(struct admit *admit, int64_t now,
		  struct cds_list_head *expired)
{
	now = update_clock(admit, now);
	for (int i = 0; i < QUEUE_CLASSES; i++)
		if (class_timer(admit, i) <= now)
			expire_class(admit, &admit->queue.classes[i], expired);
}

int64_t admit_next_timer(const struct admit *admit)
{
	int64_t timer = DEADLINE_NEVER;

	if (admit->nr_running)
		timer = admit->latest + RUNNING_TIMER_NS;
	if (!admit->queue.nr_requests)
		return timer;
	for (int i = 0; i < QUEUE_CLASSES; i++)
		timer = MIN(timer, class_timer(admit, i));
	if (admit->policy->next)
		timer = MIN(timer, admit->policy->next(&admit->ramp));
	if (is_start_rate_limited(admit) &&
	    admit->nr_running < admit->ramp.limit)
		timer = MIN(timer, rate_timer(admit));
	return timer;
}

bool admit_backend_lost(struct admit *admit, uint64_t life, int64_t now)
{
	now = update_clock(admit, now);
	if (life != admit->life)
		return false;
	admit->life++;
	admit->policy->cold(&admit->ramp, now);
	return true;
}

uint64_t admit_life(const struct admit *admit)
{
	return admit->life;
}

void admit_drain(struct admit *admit)
{
	admit->draining = true;
}

int64_t admit_wait_ns(const struct admit *admit)
{
	return (admit->queue.nr_requests + 1) *
	       (admit->mean_ns / admit->ramp.limit);
}

int admit_running(const struct admit *admit)
{
	return admit->nr_running;
}

int admit_queued(const struct admit *admit)
{
	return admit->queue.nr_requests;
}

bool admit_cold(const struct admit *admit)
{
	return admit->ramp.limit < admit->ramp.slots;
}

const char *admit_verdict_name(enum admit_verdict verdict)
{
	static const char *const names[] = {
		[ADMIT_RUN] = "run",
		[ADMIT_QUEUED] = "queued",
		[ADMIT_REFUSED_FULL] = "queue_full",
		[ADMIT_REFUSED_DEADLINE] = "deadline",
		[ADMIT_REFUSED_DRAINING] = "draining",
	};

	return names[verdict];
}

json_t *admit_dump(const struct admit *admit)
{
	const struct admit_queue *queue = &admit->queue;

	return json_pack("{s:s, s:i, s:i, s:i, s:i, s:i, s:b, s:I, s:I, s:I, "
			 "s:{s:i, s:i, s:i}}",
			 "limit_policy", admit->policy->name, "limit",
			 admit->ramp.limit, "slots", admit->ramp.slots,
			 "cold_slots", admit->ramp.cold_slots, "running",
			 admit->nr_running, "queue_max", admit->queue_max,
			 "draining", admit->draining, "life",
			 (json_int_t)admit->life, "mean_us",
			 (json_int_t)(admit->mean_ns / NS_PER_US), "pauses",
			 (json_int_t)admit->nr_pauses, "queued", "order",
			 queue_count(queue, ADMIT_ORDER), "lookup",
			 queue_count(queue, ADMIT_LOOKUP), "background",
			 queue_count(queue, ADMIT_BACKGROUND));
}

#include <glib.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "model.h"
#include "quantiles/quantiles.h"

#define TARGETS_MAX 32
#define HOSTS_MAX (TARGETS_MAX + MODEL_INGRESSES_MAX)
#define QUEUE_MAX 20
#define DEADLINE (2 * NS_PER_SEC)
#define RAMP (10 * NS_PER_SEC)
#define LOCAL_DELAY (100 * NS_PER_US)
/* Time until an attempt at a failed host fails; the host does not respond. */
#define FAILED_HOST_DELAY (100 * NS_PER_MS)
/* A change of the in-service state reaches each ingress within this time. */
#define CONVERGENCE_TIME (1 * NS_PER_SEC)
#define RETRY_MAX 2
#define RETRY_RATIO 10
#define EJECT_PERCENT 34
#define OVERFLOW_PERCENT 80
#define ATTEMPTS_MAX (RETRY_MAX + 1)
#define SLOW_FACTOR 5
#define LIAR_FACTOR 3

const char *const scenario_names[NR_SCENARIOS] = {
	"steady", "zone-marked", "zone-dies", "slow", "liar", "refuser",
};

enum event_kind {
	EVENT_ARRIVAL,	  /* of the next request of a service */
	EVENT_AT_TARGET,  /* request reaches the daemon of its target */
	EVENT_SERVED,	  /* backend server has answered */
	EVENT_AT_INGRESS, /* answer reaches the ingress */
	EVENT_UPDATE,	  /* ingress receives the in-service state */
	EVENT_ZONE_OUT,
	EVENT_ZONE_BACK,
};

struct event {
	int64_t at;
	uint64_t order; /* of creation; breaks ties between equal times */
	enum event_kind kind;
	int index; /* service or host */
	struct request *request;
};

struct request {
	struct request *next; /* in the queue of a target */
	int service;
	int ingress;
	int64_t arrived;
	struct retry_attempts attempts;
	balance_handle tried[ATTEMPTS_MAX];
	size_t nr_tried;
	struct balance_choice choice;
	int target;
	int64_t sent;
	uint64_t incarnation; /* of the target when the request arrived */
	struct balance_result answer;
};

struct host {
	char name[8];
	char zone[8];
	char traffic[24];
	int zone_index;
	int service; /* whose target it is; -1: ingress only */
	bool alive;
	uint64_t incarnation;
	int64_t started; /* cold at this time; INT64_MIN: warm */
	uint32_t running;
	uint32_t queued;
	struct request *head, **tail;
	/* As an ingress. */
	struct balance *balance;
	struct rng rng;
	struct retry_budget budgets[MODEL_SERVICES];
	bool excludes_z2; /* it treats z2 as out of service */
};

struct model {
	const struct model_options *options;
	struct model_result *result;
	struct rng rng;
	int64_t now;
	struct event *heap;
	size_t nr_events, room;
	uint64_t order;
	struct host hosts[HOSTS_MAX];
	int nr_hosts;
	bool is_z2_out;		    /* z2 is published as out of service */
	struct quantiles latencies; /* of successes */
};

/* The event queue: a binary heap. */

static bool is_earlier(const struct event *a, const struct event *b)
{
	return a->at != b->at ? a->at < b->at : a->order < b->order;
}

static void push(struct model *model, int64_t at, enum event_kind kind,
		 int index, struct request *request)
{
	struct event event = { at, model->order++, kind, index, request };
	size_t i = model->nr_events++;

	if (i == model->room) {
		model->room = model->room ? 2 * model->room : 1024;
		model->heap = g_renew(struct event, model->heap, model->room);
	}
	for (; i && is_earlier(&event, &model->heap[(i - 1) / 2]);
	     i = (i - 1) / 2)
		model->heap[i] = model->heap[(i - 1) / 2];
	model->heap[i] = event;
}

static struct event pop(struct model *model)
{
	struct event first = model->heap[0];
	struct event last = model->heap[--model->nr_events];
	size_t i = 0, child;

	while ((child = 2 * i + 1) < model->nr_events) {
		if (child + 1 < model->nr_events &&
		    is_earlier(&model->heap[child + 1], &model->heap[child]))
			child++;
		if (!is_earlier(&model->heap[child], &last))
			break;
		model->heap[i] = model->heap[child];
		i = child;
	}
	model->heap[i] = last;
	return first;
}

/* Random times. */

static double uniform(struct model *model)
{
	return ((double)(rng_next(&model->rng) >> 11) + 0.5) / 0x1p53;
}

static int64_t exponential(struct model *model, double mean)
{
	return (int64_t)(-log(uniform(model)) * mean);
}

static int64_t service_time(struct model *model, int target)
{
	const struct host *host = &model->hosts[target];
	double mean =
		(double)model->options->deployment->service_time[host->service];
	double time = mean / 4 + (double)exponential(model, mean * 3 / 4);

	if (target == 0 && model->options->scenario == SCENARIO_SLOW)
		time *= SLOW_FACTOR;
	if (target == 0 && model->options->scenario == SCENARIO_LIAR)
		time *= LIAR_FACTOR;
	return (int64_t)time;
}

static int64_t delay(const struct model *model, int from, int to)
{
	if (from == to)
		return 0;
	return model->hosts[from].zone_index == model->hosts[to].zone_index
		       ? LOCAL_DELAY
		       : model->options->deployment->zone_delay;
}

/* Targets. */

static uint32_t limit(const struct model *model, const struct host *host)
{
	uint32_t slots = model->options->deployment->slots;
	int64_t warm;

	if (host->started == INT64_MIN)
		return slots;
	warm = (model->now - host->started) * slots / RAMP;
	return (uint32_t)CLAMP(warm, 1, (int64_t)slots);
}

static void answer(struct model *model, struct request *request,
		   enum failure_reason reason, bool reported, int64_t after)
{
	const struct host *host = &model->hosts[request->target];
	struct balance_result *result = &request->answer;

	memset(result, 0, sizeof(*result));
	result->reason = reason;
	result->reported = reported;
	result->in_flight = host->running;
	result->queue = host->queued;
	result->limit = limit(model, host);
	if (request->target == 0 &&
	    (model->options->scenario == SCENARIO_LIAR ||
	     model->options->scenario == SCENARIO_REFUSER)) {
		result->in_flight = 0;
		result->queue = 0;
		result->limit = UINT32_MAX;
	}
	push(model,
	     model->now + after +
		     delay(model, request->target, request->ingress),
	     EVENT_AT_INGRESS, request->ingress, request);
}

static void serve_queue(struct model *model, int target)
{
	struct host *host = &model->hosts[target];

	while (host->head && host->running < limit(model, host)) {
		struct request *request = host->head;

		host->head = request->next;
		if (!host->head)
			host->tail = &host->head;
		host->queued--;
		if (model->now > request->arrived + DEADLINE) {
			answer(model, request, FAILURE_TARGET_DEADLINE, true,
			       0);
			continue;
		}
		host->running++;
		push(model, model->now + service_time(model, target),
		     EVENT_SERVED, target, request);
	}
}

static void at_target(struct model *model, struct request *request)
{
	struct host *host = &model->hosts[request->target];

	if (!host->alive) {
		answer(model, request, FAILURE_LINK_REFUSED, false,
		       FAILED_HOST_DELAY);
		return;
	}
	if (host->queued >= QUEUE_MAX ||
	    (request->target == 0 &&
	     model->options->scenario == SCENARIO_REFUSER)) {
		answer(model, request, FAILURE_QUEUE_FULL, true, 0);
		return;
	}
	request->incarnation = host->incarnation;
	request->next = NULL;
	*host->tail = request;
	host->tail = &request->next;
	host->queued++;
	serve_queue(model, request->target);
}

static void served(struct model *model, struct request *request)
{
	struct host *host = &model->hosts[request->target];

	if (request->incarnation != host->incarnation) {
		answer(model, request, FAILURE_LINK_LOST, false,
		       FAILED_HOST_DELAY);
		return;
	}
	host->running--;
	answer(model, request, FAILURE_NONE, true, 0);
	serve_queue(model, request->target);
}

/* Ingresses. */

static void update(struct model *model, int ingress)
{
	struct host *host = &model->hosts[ingress];
	struct balance_target targets[TARGETS_MAX];

	balance_update_begin(host->balance);
	for (int s = 0; s < MODEL_SERVICES; s++) {
		struct balance_service service = { s ? "second" : "first",
						   EJECT_PERCENT,
						   OVERFLOW_PERCENT };
		size_t n = 0;

		for (int i = 0; i < model->nr_hosts; i++) {
			const struct host *t = &model->hosts[i];
			bool out = host->excludes_z2 && t->zone_index == 2;

			if (t->service != s)
				continue;
			targets[n++] = (struct balance_target){
				t->name,
				t->zone,
				"r",
				t->traffic,
				model->options->deployment->slots,
				1,
				!out,
			};
		}
		balance_update(host->balance, &service, targets, n, model->now);
	}
	balance_update_end(host->balance, model->now);
}

static bool send(struct model *model, struct request *request)
{
	struct host *ingress = &model->hosts[request->ingress];
	struct balance_request pick_request = {
		.service = request->service,
		.excluded = request->tried,
		.nr_excluded = request->nr_tried,
		.retryable = true,
	};

	if (!balance_pick(ingress->balance, &pick_request, model->now,
			  &request->choice))
		return false;
	balance_start(ingress->balance, request->choice.target, model->now);
	request->tried[request->nr_tried++] = request->choice.target;
	request->target = (int)strtol(request->choice.host + 1, NULL, 10);
	request->sent = model->now;
	model->result->attempts++;
	model->result->cross_zone += !request->choice.own_zone;
	push(model,
	     model->now + delay(model, request->ingress, request->target),
	     EVENT_AT_TARGET, request->target, request);
	return true;
}

static void arrival(struct model *model, int service)
{
	const struct deployment *d = model->options->deployment;
	double capacity = (double)d->targets[service] * d->slots /
			  (double)d->service_time[service];
	double rate = capacity * model->options->load_percent / 100;
	struct request_context context;
	struct request *request;
	struct host *ingress;
	int at;

	if (model->now >= model->options->end)
		return;
	push(model, model->now + exponential(model, 1 / rate), EVENT_ARRIVAL,
	     service, NULL);
	/* Callers use only ingresses that run. */
	do
		at = (int)rng_below(&model->rng, (uint64_t)model->nr_hosts);
	while (!model->hosts[at].alive);
	request = g_new0(struct request, 1);
	request->service = service;
	request->ingress = at;
	request->arrived = model->now;
	request_context_first(&context, 0, 1, RETRY_MAX);
	retry_attempts_init(&request->attempts, &context, true, false);
	ingress = &model->hosts[at];
	retry_budget_request(&ingress->budgets[service], RETRY_RATIO);
	model->result->requests++;
	if (!send(model, request))
		g_free(request);
}

static void at_ingress(struct model *model, struct request *request)
{
	struct host *ingress = &model->hosts[request->ingress];
	struct balance_result *result = &request->answer;

	result->latency_ns = model->now - request->sent;
	balance_finish(ingress->balance, request->choice.target, result,
		       model->now);
	if (result->reason == FAILURE_NONE) {
		if (model->now <= request->arrived + DEADLINE) {
			model->result->successes++;
			quantiles_add(&model->latencies,
				      model->now - request->arrived);
		}
		g_free(request);
		return;
	}
	if (retry_decide(&request->attempts,
			 &ingress->budgets[request->service], result->reason,
			 true, false, model->now,
			 request->arrived + DEADLINE) != RETRY_YES ||
	    !send(model, request))
		g_free(request);
}

/* Zones. */

static void schedule_updates(struct model *model)
{
	for (int i = 0; i < model->nr_hosts; i++)
		push(model,
		     model->now + (int64_t)(uniform(model) * CONVERGENCE_TIME),
		     EVENT_UPDATE, i, NULL);
}

static void set_zone_failed(struct model *model, bool is_failed)
{
	for (int i = 0; i < model->nr_hosts; i++) {
		struct host *host = &model->hosts[i];

		if (host->zone_index != 2)
			continue;
		host->alive = !is_failed;
		if (!is_failed) {
			host->started = model->now;
			continue;
		}
		/*
		 * Running requests fail as lost at the time at which they
		 * would have been served, because the incarnation changed.
		 */
		host->incarnation++;
		host->running = 0;
		while (host->head) {
			struct request *request = host->head;

			host->head = request->next;
			answer(model, request, FAILURE_LINK_LOST, false,
			       FAILED_HOST_DELAY);
		}
		host->tail = &host->head;
		host->queued = 0;
	}
}

static void change_zone(struct model *model, bool is_out)
{
	if (model->options->scenario == SCENARIO_ZONE_DIES) {
		set_zone_failed(model, is_out);
		return;
	}
	model->is_z2_out = is_out;
	schedule_updates(model);
}

static void add_host(struct model *model, int service)
{
	int i = model->nr_hosts++;
	struct host *host = &model->hosts[i];
	struct balance_options options = { 0 };

	snprintf(host->name, sizeof(host->name), "h%d", i);
	snprintf(host->traffic, sizeof(host->traffic), "127.0.0.1:%d",
		 7000 + i);
	host->zone_index = i % MODEL_ZONES;
	snprintf(host->zone, sizeof(host->zone), "z%d", host->zone_index);
	host->service = service;
	host->alive = true;
	host->started = INT64_MIN;
	host->tail = &host->head;
	rng_init(&host->rng, hash_mix(model->options->seed, (uint64_t)i));
	options.host = host->name;
	options.zone = host->zone;
	options.region = "r";
	options.policy = model->options->policy;
	options.rng = &host->rng;
	host->balance = balance_new(&options);
	for (int s = 0; s < MODEL_SERVICES; s++)
		retry_budget_init(&host->budgets[s]);
}

static void dispatch(struct model *model, const struct event *event)
{
	switch (event->kind) {
	case EVENT_ARRIVAL:
		arrival(model, event->index);
		break;
	case EVENT_AT_TARGET:
		at_target(model, event->request);
		break;
	case EVENT_SERVED:
		served(model, event->request);
		break;
	case EVENT_AT_INGRESS:
		at_ingress(model, event->request);
		break;
	case EVENT_UPDATE:
		model->hosts[event->index].excludes_z2 = model->is_z2_out;
		update(model, event->index);
		break;
	case EVENT_ZONE_OUT:
		change_zone(model, true);
		break;
	case EVENT_ZONE_BACK:
		change_zone(model, false);
		break;
	}
}

void model_run(const struct model_options *options, struct model_result *result)
{
	struct model *model = g_new0(struct model, 1);

	memset(result, 0, sizeof(*result));
	model->options = options;
	model->result = result;
	rng_init(&model->rng, options->seed);
	for (int s = 0; s < MODEL_SERVICES; s++) {
		for (int i = 0; i < options->deployment->targets[s]; i++)
			add_host(model, s);
	}
	for (int i = 0; i < options->ingresses; i++)
		add_host(model, -1);
	for (int i = 0; i < model->nr_hosts; i++)
		update(model, i);
	for (int s = 0; s < MODEL_SERVICES; s++)
		push(model, 0, EVENT_ARRIVAL, s, NULL);
	if (options->scenario == SCENARIO_ZONE_MARKED ||
	    options->scenario == SCENARIO_ZONE_DIES) {
		push(model, options->end / 4, EVENT_ZONE_OUT, 0, NULL);
		push(model, options->end * 5 / 8, EVENT_ZONE_BACK, 0, NULL);
	}
	while (model->nr_events) {
		struct event event = pop(model);

		model->now = event.at;
		dispatch(model, &event);
	}
	result->median = quantiles_get(&model->latencies, 0.5);
	result->p99 = quantiles_get(&model->latencies, 0.99);
	result->p999 = quantiles_get(&model->latencies, 0.999);
	for (int i = 0; i < model->nr_hosts; i++)
		balance_free(model->hosts[i].balance);
	g_free(model->heap);
	g_free(model);
}

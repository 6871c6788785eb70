#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "backend.h"
#include "base/clock.h"
#include "base/log.h"
#include "base/rng.h"
#include "retry/retry.h"
#include "target_internal.h"

/* Used until the first configuration version is applied. */
#define INITIAL_TICKET_LIFE_MS 300000
#define INITIAL_QUARANTINE_CRASHES 2
#define INITIAL_QUARANTINE_NS (60 * NS_PER_SEC)

void target_add_reply(struct replies *replies, struct target_job *job,
		      enum failure_reason reason)
{
	job->reason = reason;
	cds_list_add_tail(&job->node, &replies->jobs);
}

/* The daemon is draining, or its backend server announced its shutdown. */
static bool is_draining(const struct target *target, int64_t now)
{
	return target->draining || now < target->backend_drain_deadline;
}

static void fill_load(struct target *target, struct traffic_answer *answer)
{
	int64_t now = clock_monotonic_ns();

	pthread_mutex_lock(&target->lock);
	answer->queued = admit_queued(target->admit);
	answer->in_flight = admit_running(target->admit);
	answer->limit = admit_limit(target->admit, now);
	if (is_draining(target, now))
		answer->flags |= TRAFFIC_DRAINING;
	pthread_mutex_unlock(&target->lock);
}

static void send_reply(struct target *target, struct target_job *job)
{
	struct traffic_answer empty = { 0 };
	struct traffic_answer *answer = job->answer ? job->answer : &empty;

	answer->reason = job->reason;
	if (job->crash.count) {
		answer->flags |= TRAFFIC_CRASHED;
		answer->crash.fingerprint = job->crash.fingerprint;
		answer->crash.origin = job->crash.origin;
		answer->crash.count = job->crash.count;
		answer->crash.cleared = job->crash.cleared;
		answer->crash.left_ms = job->crash.left_ms;
	}
	fill_load(target, answer);
	job->reply(job, answer);
	if (job->answer) {
		xdr_free((xdrproc_t)xdr_traffic_answer, job->answer);
		g_free(job->answer);
	}
	snapshot_put(job->snapshot);
	xdr_free((xdrproc_t)xdr_traffic_request, &job->request);
	job->free(job);
}

void target_send_replies(struct target *target, struct replies *replies)
{
	struct target_job *job, *next;
	int nr = 0;

	cds_list_for_each_entry_safe (job, next, &replies->jobs, node) {
		send_reply(target, job);
		nr++;
	}
	if (!nr)
		return;
	pthread_mutex_lock(&target->lock);
	target->nr_jobs -= nr;
	pthread_mutex_unlock(&target->lock);
}

/* Answers are stored in the encoding in which they are sent. */
void *target_encode_answer(struct traffic_answer *answer, size_t *len)
{
	char *bytes;
	XDR xdr;

	*len = xdr_sizeof((xdrproc_t)xdr_traffic_answer, answer);
	bytes = g_malloc(*len);
	xdrmem_create(&xdr, bytes, (u_int)*len, XDR_ENCODE);
	if (!xdr_traffic_answer(&xdr, answer))
		*len = 0;
	xdr_destroy(&xdr);
	return bytes;
}

static struct traffic_answer *decode_answer(const void *bytes, size_t len)
{
	struct traffic_answer *answer = g_new0(struct traffic_answer, 1);
	XDR xdr;

	xdrmem_create(&xdr, (char *)bytes, (u_int)len, XDR_DECODE);
	if (!xdr_traffic_answer(&xdr, answer)) {
		xdr_free((xdrproc_t)xdr_traffic_answer, answer);
		g_free(answer);
		answer = NULL;
	}
	xdr_destroy(&xdr);
	return answer;
}

/* Replies to the copies that waited for the first copy, which has ended. */
void target_release_waiters(struct target *target, struct target_job *first,
			    struct cds_list_head *waiters,
			    enum failure_reason reason, struct replies *replies)
{
	struct once_waiter *waiter, *next;

	cds_list_for_each_entry_safe (waiter, next, waiters, node) {
		struct target_job *job =
			caa_container_of(waiter, struct target_job, waiter);
		size_t len;

		cds_list_del(&job->node); /* from target->waiting */
		job->waiting = false;
		if (first && first->answer && reason == FAILURE_NONE) {
			g_autofree void *bytes =
				target_encode_answer(first->answer, &len);

			job->answer = decode_answer(bytes, len);
			if (job->answer)
				job->answer->flags |= TRAFFIC_REPLAYED;
		}
		target_add_reply(replies, job, reason);
	}
	(void)target;
}

/*
 * Refuses a job that did not run: its at-most-once record is aborted and its
 * waiting copies get the same reply.
 */
static void refuse_job(struct target *target, struct target_job *job,
		       enum failure_reason reason, int64_t now,
		       struct replies *replies)
{
	struct cds_list_head waiters;

	counter_add(&target->refused, 1);
	if (job->record) {
		/*
		 * Without a record a later copy of the ticket could still run,
		 * so the outcome must not be not-run.
		 */
		if (!once_abort(target->once, job->record, now, &waiters))
			reason = FAILURE_TICKET_RUNNING;
		job->record = NULL;
		target_release_waiters(target, job, &waiters, reason, replies);
	}
	target_add_reply(replies, job, reason);
}

static void refuse_expired(struct target *target, struct cds_list_head *expired,
			   int64_t now, struct replies *replies)
{
	struct admit_request *request, *next;

	cds_list_for_each_entry_safe (request, next, expired, node) {
		struct target_job *job =
			caa_container_of(request, struct target_job, admit);

		refuse_job(target, job, FAILURE_TARGET_DEADLINE, now, replies);
	}
}

/* Hands queued jobs to the workers while slots are free. */
void target_start_next(struct target *target, int64_t now,
		       struct replies *replies)
{
	struct admit_request *request;
	struct cds_list_head expired;

	CDS_INIT_LIST_HEAD(&expired);
	while ((request = admit_next(target->admit, now, &expired))) {
		struct target_job *job =
			caa_container_of(request, struct target_job, admit);

		cds_list_add_tail(&job->node, &target->runnable);
		pthread_cond_signal(&target->runnable_wake);
	}
	refuse_expired(target, &expired, now, replies);
}

static void admit_job(struct target *target, struct target_job *job,
		      int64_t now, struct replies *replies)
{
	struct admit_request *displaced = NULL;
	enum admit_verdict verdict;

	job->admit.priority =
		(enum admit_priority)CLAMP(job->request.priority, 0,
					   ADMIT_NR_PRIORITIES - 1);
	job->admit.caller = hash_string(job->request.caller);
	job->admit.deadline = job->deadline;
	verdict = admit_arrive(target->admit, &job->admit, now, &displaced);
	if (displaced)
		refuse_job(target,
			   caa_container_of(displaced, struct target_job,
					    admit),
			   FAILURE_QUEUE_FULL, now, replies);
	if (verdict == ADMIT_RUN) {
		counter_add(&target->admitted, 1);
		cds_list_add_tail(&job->node, &target->runnable);
		pthread_cond_signal(&target->runnable_wake);
	} else if (verdict != ADMIT_QUEUED) {
		refuse_job(target, job, failure_of_refusal(verdict), now,
			   replies);
	}
}

static enum failure_reason verdict_reason(enum once_verdict verdict)
{
	switch (verdict) {
	case ONCE_RAN:
		return FAILURE_TICKET_RAN;
	case ONCE_REFUSED:
		return FAILURE_TICKET_REFUSED;
	case ONCE_OTHER_REQUEST:
		return FAILURE_TICKET_OTHER_REQUEST;
	case ONCE_OTHER_INCARNATION:
		return FAILURE_TICKET_INCARNATION;
	case ONCE_EXPIRED:
		return FAILURE_TICKET_EXPIRED;
	case ONCE_TOO_FAR:
		return FAILURE_TICKET_TOO_FAR;
	case ONCE_TABLE_FULL:
		return FAILURE_TICKET_RECORDS;
	default:
		return FAILURE_TICKET_RUNNING;
	}
}

/* Handles a copy of a ticket's request that does not run itself. */
static void answer_copy(struct target *target, struct target_job *job,
			const struct ticket *ticket, enum once_verdict verdict,
			int64_t now, struct replies *replies)
{
	enum failure_reason reason = verdict_reason(verdict);
	const void *bytes;
	size_t len;

	if (verdict == ONCE_WAIT) {
		once_wait(job->record, &job->waiter);
		job->record = NULL;
		job->waiting = true;
		cds_list_add_tail(&job->node, &target->waiting);
		return;
	}
	if (verdict == ONCE_REPLAY) {
		bytes = once_answer(job->record, &len);
		job->answer = decode_answer(bytes, len);
		reason = job->answer ? FAILURE_NONE : FAILURE_TICKET_RAN;
		if (job->answer)
			job->answer->flags |= TRAFFIC_REPLAYED;
	}
	/*
	 * Without a record of the refusal a later copy of the ticket could
	 * still run, so the outcome must not be not-run.
	 */
	if ((verdict == ONCE_TOO_FAR || verdict == ONCE_TABLE_FULL) &&
	    !once_refuse(target->once, ticket, now))
		reason = FAILURE_TICKET_RUNNING;
	job->record = NULL;
	target_add_reply(replies, job, reason);
}

/*
 * Looks up the job's ticket. Returns true when the job is the first copy and
 * goes on to admission. Any other copy is answered or waits for the first.
 */
static bool begin_ticket(struct target *target, struct target_job *job,
			 int64_t now, struct replies *replies)
{
	enum once_verdict verdict;
	struct ticket ticket;

	if (!ticket_parse(&ticket, job->request.ticket)) {
		target_add_reply(replies, job, FAILURE_BAD_REQUEST);
		return false;
	}
	verdict = once_begin(target->once, &ticket, job->request.fingerprint,
			     now, &job->record);
	if (verdict == ONCE_RUN)
		return true;
	answer_copy(target, job, &ticket, verdict, now, replies);
	return false;
}

/* Finds the request's route. Returns why it can't run here or FAILURE_NONE. */
static enum failure_reason find_route(struct target *target,
				      struct target_job *job)
{
	const struct table_service *service;
	const struct table_target *self;

	job->snapshot = snapshot_get();
	if (!job->snapshot || !target->options.has_backend)
		return FAILURE_VERSION;
	service =
		table_find_service(job->snapshot->table, job->request.service);
	if (!service)
		return FAILURE_VERSION;
	job->route = table_find_route(service, job->request.route);
	self = table_find_target(service, target->options.host);
	if (!job->route || !self)
		return FAILURE_VERSION;
	/* The ingress's configuration version may not require a ticket yet. */
	if (job->route->at_most_once && !*job->request.ticket)
		return FAILURE_VERSION;
	return self->in_service ? FAILURE_NONE : FAILURE_TARGET_DRAINING;
}

static void submit_locked(struct target *target, struct target_job *job,
			  enum failure_reason reason, int64_t now,
			  struct replies *replies)
{
	snprintf(job->request_id, sizeof(job->request_id),
		 "%016" PRIx64 "-%" PRIu64, target->options.incarnation,
		 ++target->next_request);
	target->nr_jobs++;
	/* Copies of a ticket get a reply also while out of service. */
	if (*job->request.ticket && reason != FAILURE_VERSION &&
	    !begin_ticket(target, job, now, replies))
		return;
	if (*job->request.ticket && reason == FAILURE_VERSION) {
		struct ticket ticket;

		/* After a not-run reply no copy of the ticket may run. */
		if (!ticket_parse(&ticket, job->request.ticket) ||
		    !once_refuse(target->once, &ticket, now))
			reason = FAILURE_TICKET_INCARNATION;
		target_add_reply(replies, job, reason);
		return;
	}
	if (reason == FAILURE_NONE && is_draining(target, now))
		reason = FAILURE_TARGET_DRAINING;
	if (reason == FAILURE_NONE && job->deadline <= now)
		reason = FAILURE_TARGET_DEADLINE;
	if (reason == FAILURE_NONE &&
	    quarantine_check(target->quarantine, job->request.fingerprint, now,
			     NULL))
		reason = FAILURE_QUARANTINED;
	if (reason != FAILURE_NONE)
		refuse_job(target, job, reason, now, replies);
	else
		admit_job(target, job, now, replies);
}

void target_submit(struct target *target, struct target_job *job)
{
	int64_t now = clock_monotonic_ns();
	enum failure_reason reason = find_route(target, job);
	struct replies replies;

	CDS_INIT_LIST_HEAD(&replies.jobs);
	job->deadline = now + job->request.time_left_ms * NS_PER_MS;
	pthread_mutex_lock(&target->lock);
	submit_locked(target, job, reason, now, &replies);
	pthread_mutex_unlock(&target->lock);
	target_send_replies(target, &replies);
}

static void add_metrics(struct target *target)
{
	struct metrics *metrics = target->options.metrics;

	target->admitted.name = "godwitspur_target_admitted_total";
	target->admitted.help = "Requests that took a slot on arrival.";
	target->refused.name = "godwitspur_target_refused_total";
	target->refused.help = "Requests refused as not-run at the target.";
	target->crashes.name = "godwitspur_backend_crashes_total";
	target->crashes.help =
		"Requests lost in a crash of the backend server.";
	target->service_time.name = "godwitspur_backend_seconds";
	target->service_time.help = "Time of a request on the backend server.";
	metrics_add_counter(metrics, &target->admitted);
	metrics_add_counter(metrics, &target->refused);
	metrics_add_counter(metrics, &target->crashes);
	metrics_add_histogram(metrics, &target->service_time);
}

struct target *target_new(const struct target_options *options)
{
	struct target *target = g_new0(struct target, 1);
	int64_t now = clock_monotonic_ns();
	struct admit_options admit = {
		.slots = 1,
		.cold_slots = 1,
		.queue_max = 1,
		.limit_policy = options->limit_policy,
	};
	struct once_options once = {
		.host = options->host,
		.incarnation = options->incarnation,
		.now = now,
		.wall_ms = clock_wall_ms(),
		.ticket_life_ms = INITIAL_TICKET_LIFE_MS,
	};
	struct quarantine_options quarantine = {
		.origin =
			quarantine_origin(options->host, options->incarnation),
		.crashes = INITIAL_QUARANTINE_CRASHES,
		.quarantine_ns = INITIAL_QUARANTINE_NS,
	};

	target->options = *options;
	pthread_mutex_init(&target->lock, NULL);
	pthread_cond_init(&target->runnable_wake, NULL);
	CDS_INIT_LIST_HEAD(&target->runnable);
	CDS_INIT_LIST_HEAD(&target->waiting);
	target->admit = admit_new(&admit, now);
	target->once = once_new(&once);
	target->quarantine = quarantine_new(&quarantine);
	add_metrics(target);
	if (options->has_backend)
		target_start_monitor(target);
	return target;
}

void target_drain(struct target *target)
{
	pthread_mutex_lock(&target->lock);
	target->draining = true;
	admit_drain(target->admit);
	pthread_mutex_unlock(&target->lock);
}

int target_in_flight(struct target *target)
{
	int nr;

	pthread_mutex_lock(&target->lock);
	nr = target->nr_jobs;
	pthread_mutex_unlock(&target->lock);
	return nr;
}

void target_merge_crashes(struct target *target,
			  const struct quarantine_entry *entries, size_t nr)
{
	int64_t now = clock_monotonic_ns();

	pthread_mutex_lock(&target->lock);
	for (size_t i = 0; i < nr; i++)
		quarantine_merge(target->quarantine, &entries[i], now);
	pthread_mutex_unlock(&target->lock);
}

size_t target_export_crashes(struct target *target,
			     struct quarantine_entry *entries, size_t max)
{
	size_t nr;

	pthread_mutex_lock(&target->lock);
	nr = quarantine_export(target->quarantine, clock_monotonic_ns(),
			       entries, max);
	pthread_mutex_unlock(&target->lock);
	return nr;
}

static void expire_waiters(struct target *target, int64_t now,
			   struct replies *replies)
{
	struct target_job *job, *next;

	cds_list_for_each_entry_safe (job, next, &target->waiting, node) {
		if (job->deadline > now)
			continue;
		once_wait_cancel(&job->waiter);
		cds_list_del(&job->node);
		job->waiting = false;
		target_add_reply(replies, job, FAILURE_TICKET_RUNNING);
	}
}

void target_tick(struct target *target, int64_t now)
{
	struct cds_list_head expired;
	struct replies replies;

	CDS_INIT_LIST_HEAD(&replies.jobs);
	CDS_INIT_LIST_HEAD(&expired);
	pthread_mutex_lock(&target->lock);
	expire_waiters(target, now, &replies);
	admit_expire(target->admit, now, &expired);
	refuse_expired(target, &expired, now, &replies);
	target_start_next(target, now, &replies);
	once_expire(target->once, now);
	quarantine_expire(target->quarantine, now);
	pthread_mutex_unlock(&target->lock);
	target_send_replies(target, &replies);
}

int64_t target_next_deadline(struct target *target)
{
	int64_t deadline;
	struct target_job *job;

	pthread_mutex_lock(&target->lock);
	deadline = MIN(admit_next_timer(target->admit),
		       once_next_expiry(target->once));
	cds_list_for_each_entry (job, &target->waiting, node)
		deadline = MIN(deadline, job->deadline);
	pthread_mutex_unlock(&target->lock);
	return deadline;
}

json_t *target_dump(struct target *target)
{
	int64_t now = clock_monotonic_ns();
	json_t *dump;

	pthread_mutex_lock(&target->lock);
	dump = json_pack("{s:i, s:b, s:i, s:o, s:o, s:o}", "jobs",
			 target->nr_jobs, "draining", target->draining,
			 "workers", target->nr_workers, "admit",
			 admit_dump(target->admit), "once",
			 once_dump(target->once), "quarantine",
			 quarantine_dump(target->quarantine, now));
	pthread_mutex_unlock(&target->lock);
	return dump;
}

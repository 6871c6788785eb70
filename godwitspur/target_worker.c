#include <string.h>

#include "backend.h"
#include "base/clock.h"
#include "base/log.h"
#include "retry/retry.h"
#include "target_internal.h"

/* Threads of the target side: slot workers and the backend server monitor. */

#define WORKERS_MAX 1000
#define WORKER_STACK_BYTES (256 * 1024)

/*
 * How long a backend server gets no requests after it announced its shutdown.
 * The next request then probes it, so that a server that did not shut down is
 * used again.
 */
#define BACKEND_DRAIN_NS (5 * NS_PER_SEC)

/* Runs the request on the backend server. */
static void run_job(struct target_job *job, struct backend_session *session)
{
	const struct traffic_request *request = &job->request;
	struct backend_call call = {
		.request = request,
		.request_id = job->request_id,
		.deadline = job->deadline,
		.life = job->admit.life,
		.body_max =
			MIN(job->route->policy.body_max_bytes, PEER_BODY_MAX),
	};
	int64_t left = job->deadline - clock_monotonic_ns();

	call.may_resend =
		!*request->ticket && method_is_idempotent(request->method);
	call.context.deadline_wall_ms = clock_wall_ms() + left / NS_PER_MS;
	call.context.hops = request->hops;
	call.context.retries = request->retries;
	job->answer = g_new0(struct traffic_answer, 1);
	job->reason = (int)backend_run(session, &call, job->answer,
				       &job->backend_draining);
	job->answer->service_us =
		(clock_monotonic_ns() - job->admit.started) / NS_PER_US;
	if (job->reason == FAILURE_TRUNCATED)
		job->reason = FAILURE_BACKEND_LOST;
	if (job->reason != FAILURE_NONE) {
		xdr_free((xdrproc_t)xdr_traffic_answer, job->answer);
		memset(job->answer, 0, sizeof(*job->answer));
	}
}

static enum admit_outcome admission_outcome(int reason)
{
	switch (reason) {
	case FAILURE_NONE:
		return ADMIT_ANSWERED;
	case FAILURE_BACKEND_SHED:
		return ADMIT_SHED;
	case FAILURE_BACKEND_REFUSED:
	case FAILURE_BACKEND_LOST:
		return ADMIT_LOST;
	default:
		return ADMIT_FAILED;
	}
}

/* Ends the record of the job's ticket and replies to the waiting copies. */
static void finish_record(struct target *target, struct target_job *job,
			  int64_t now, struct replies *replies)
{
	const struct failure *failure =
		failure_get((enum failure_reason)job->reason);
	struct cds_list_head waiters;
	void *bytes = NULL;
	size_t len = 0;

	if (!job->record)
		return;
	if (failure->outcome == OUTCOME_NOT_RUN) {
		if (!once_abort(target->once, job->record, now, &waiters))
			job->reason = FAILURE_TICKET_RUNNING;
	} else {
		if (job->reason == FAILURE_NONE)
			bytes = target_encode_answer(job->answer, &len);
		once_finish(target->once, job->record,
			    job->reason == FAILURE_NONE ? ONCE_OUTCOME_RAN
							: ONCE_OUTCOME_UNKNOWN,
			    bytes, len, now, &waiters);
		g_free(bytes);
	}
	job->record = NULL;
	target_release_waiters(target, job, &waiters,
			       (enum failure_reason)job->reason, replies);
}

static void record_backend_loss(struct target *target, struct target_job *job,
				bool crashed, int64_t now)
{
	uint64_t life = job->admit.life;

	if (admit_backend_lost(target->admit, life, now))
		log_event(LOG_WARNING, "backend_lost", "host=%s reason=%s",
			  target->options.host,
			  failure_get((enum failure_reason)job->reason)->name);
	if (!crashed)
		return;
	counter_add(&target->crashes, 1);
	quarantine_crash(target->quarantine, job->request.fingerprint, life,
			 now, &job->crash);
}

static void finish_job(struct target *target, struct target_job *job,
		       bool crashed, struct replies *replies)
{
	int64_t now = clock_monotonic_ns();
	enum admit_outcome outcome = admission_outcome(job->reason);

	if (outcome == ADMIT_LOST)
		record_backend_loss(target, job, crashed, now);
	else if (outcome == ADMIT_ANSWERED)
		quarantine_success(target->quarantine, job->request.fingerprint,
				   now);
	if (job->backend_draining)
		target->backend_drain_deadline = now + BACKEND_DRAIN_NS;
	admit_done(target->admit, &job->admit, outcome, now);
	finish_record(target, job, now, replies);
	histogram_observe(&target->service_time,
			  (uint64_t)((now - job->admit.started) / NS_PER_US));
	target_add_reply(replies, job, (enum failure_reason)job->reason);
	target_start_next(target, now, replies);
}

static struct target_job *next_job(struct target *target)
{
	struct target_job *job;

	pthread_mutex_lock(&target->lock);
	while (cds_list_empty(&target->runnable))
		pthread_cond_wait(&target->runnable_wake, &target->lock);
	job = cds_list_first_entry(&target->runnable, struct target_job, node);
	cds_list_del(&job->node);
	pthread_mutex_unlock(&target->lock);
	return job;
}

static void *worker(void *arg)
{
	struct target *target = arg;
	struct backend_session *session =
		backend_session_new(&target->options.backend);

	for (;;) {
		struct target_job *job = next_job(target);
		struct quarantine_entry crash;
		struct replies replies;
		bool crashed;

		CDS_INIT_LIST_HEAD(&replies.jobs);
		run_job(job, session);
		crashed = job->reason == FAILURE_BACKEND_LOST &&
			  backend_refuses(&target->options.backend);
		pthread_mutex_lock(&target->lock);
		finish_job(target, job, crashed, &replies);
		crash = job->crash;
		pthread_mutex_unlock(&target->lock);
		target_send_replies(target, &replies);
		if (crash.count)
			target->options.crashed(target->options.ctx, &crash);
	}
	return NULL;
}

/*
 * Monitors the backend server through an idle connection. Otherwise a restart
 * between two requests would go undetected and the restarted server, which is
 * still cold, would get the full load.
 */
static void *monitor_backend(void *arg)
{
	const struct timespec ended_interval = { .tv_nsec = 100 * NS_PER_MS };
	const struct timespec closed_interval = { .tv_sec = 1 };
	struct target *target = arg;
	bool was_ended = false;

	for (;;) {
		uint64_t life;
		bool ended;

		pthread_mutex_lock(&target->lock);
		life = admit_life(target->admit);
		pthread_mutex_unlock(&target->lock);
		ended = backend_wait_end(&target->options.backend);
		if (ended) {
			pthread_mutex_lock(&target->lock);
			admit_backend_lost(target->admit, life,
					   clock_monotonic_ns());
			pthread_mutex_unlock(&target->lock);
		}
		if (ended && !was_ended)
			log_event(LOG_WARNING, "backend_ended", "host=%s",
				  target->options.host);
		was_ended = ended;
		nanosleep(ended ? &ended_interval : &closed_interval, NULL);
	}
	return NULL;
}

void target_start_monitor(struct target *target)
{
	pthread_attr_t attr;
	pthread_t thread;

	pthread_attr_init(&attr);
	pthread_attr_setstacksize(&attr, WORKER_STACK_BYTES);
	pthread_attr_setdetachstate(&attr, PTHREAD_CREATE_DETACHED);
	if (pthread_create(&thread, &attr, monitor_backend, target))
		log_event(LOG_ERR, "backend_not_watched", "host=%s",
			  target->options.host);
	pthread_attr_destroy(&attr);
}

/* Starts workers until there are as many as slots; never stops one. */
void target_start_workers(struct target *target, int wanted)
{
	pthread_attr_t attr;
	pthread_t thread;

	pthread_attr_init(&attr);
	pthread_attr_setstacksize(&attr, WORKER_STACK_BYTES);
	pthread_attr_setdetachstate(&attr, PTHREAD_CREATE_DETACHED);
	while (target->nr_workers < MIN(wanted, WORKERS_MAX) &&
	       !pthread_create(&thread, &attr, worker, target))
		target->nr_workers++;
	pthread_attr_destroy(&attr);
}

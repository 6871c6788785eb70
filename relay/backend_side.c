#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "base/rng.h"
#include "platform/platform.h"
#include "relay/backend_message.h"
#include "relay/backend_side_internal.h"
#include "retry/retry.h"

/* A server that made a call is reported as making calls for this long. */
#define MAKES_CALLS_NS (60 * NS_PER_SEC)

/* Answers. */

static void fill_load(const struct backend_side *side,
		      const struct relay_job *job, struct relay_answer *answer)
{
	answer->in_flight = admit_running(side->admit);
	answer->queued = admit_queued(side->admit);
	answer->limit = MAX(1, side->slots);
	backend_load_fill(&side->load, side->slots, answer,
			  clock_monotonic_ns());
	answer->wait_ms = admit_wait_ns(side->admit) / NS_PER_MS;
	answer->expected_ms =
		admit_service_ns(side->admit, job->admit.priority) / NS_PER_MS;
	if (backend_side_is_draining(side))
		answer->flags |= TRAFFIC_DRAINING;
	if (clock_monotonic_ns() < side->makes_calls_until)
		answer->flags |= TRAFFIC_CALLS_OTHERS;
}

/* The usual length of the answer to a job if that is long, else 0. */
static size_t long_answer_bytes(const struct relay_job *job)
{
	return job->request.answer_bytes >= RELAY_LONG_ANSWER_BYTES
		       ? (size_t)job->request.answer_bytes
		       : 0;
}

/*
 * The time that a long answer needs on the host's link, behind the answers that
 * wait for the link and those of the jobs present. The server has to finish
 * that much earlier. Short answers are sent at once, so they need none.
 */
static int64_t send_time(const struct backend_side *side,
			 const struct relay_job *job)
{
	const struct net_pacer *pacer = side->context->pacer;

	if (!pacer || !long_answer_bytes(job))
		return 0;
	return net_pacer_transfer_time(pacer, net_pacer_backlog(pacer) +
						      side->long_bytes);
}

static void track_job(struct backend_side *side, struct relay_job *job)
{
	side->nr_jobs++;
	backend_load_track(&side->load, job,
			   admit_service_ns(side->admit, ADMIT_LOOKUP));
	side->long_bytes += long_answer_bytes(job);
}

static void untrack_job(struct backend_side *side, struct relay_job *job)
{
	side->nr_jobs--;
	backend_load_untrack(&side->load, job);
	side->long_bytes -= long_answer_bytes(job);
}

static void finish_job(struct backend_side *side, struct relay_job *job,
		       struct relay_answer *answer)
{
	untrack_job(side, job);
	fill_load(side, job, answer);
	/* A long answer that was refused can be sent once the link is free. */
	answer->wait_ms =
		MAX(answer->wait_ms, send_time(side, job) / NS_PER_MS);
	if (!answer->fields)
		answer->fields = strdup("");
	job->done(job, answer);
}

static void refuse(struct backend_side *side, struct relay_job *job,
		   enum failure_reason reason)
{
	struct relay_answer answer = { .reason = (int)reason };
	int64_t now = clock_monotonic_ns();

	counter_add(&side->refused, 1);
	log_event(LOG_INFO, "admission_refused",
		  "id=%s backend=%s reason=%s running=%d queued=%d slots=%d "
		  "wait_ms=%" PRId64 " cold_left_ms=%" PRId64
		  " left_ms=%" PRId64 " cost_us=%" PRId64
		  " expected_us=%" PRId64 " report_age_ms=%" PRId64,
		  log_quote(job->request.request_id),
		  side->server.id ? side->server.id : "none",
		  failure_get(reason)->name, admit_running(side->admit),
		  admit_queued(side->admit), side->slots,
		  admit_wait_ns(side->admit) / NS_PER_MS,
		  MAX(admit_cold_deadline(side->admit) - now, 0) / NS_PER_MS,
		  (job->deadline - now) / NS_PER_MS,
		  (int64_t)job->request.cost_us,
		  job->admit.expected_ns / NS_PER_US,
		  backend_load_age_ms(&side->load, now));
	finish_job(side, job, &answer);
}

/* Crashes. */

/*
 * The server process ended. Requests that were lost shortly before may have
 * crashed it, so they are counted in the quarantine.
 */
static void on_backend_ended(void *ctx)
{
	struct backend_side *side = ctx;
	int64_t now = clock_monotonic_ns();
	uint64_t fingerprint;

	log_event(LOG_WARNING, "backend_ended", "host=%s backend=%s",
		  side->context->host->name,
		  side->server.id ? side->server.id : "none");
	side->life++;
	backend_load_reset(&side->load);
	admit_backend_lost(side->admit, admit_life(side->admit), now);
	backend_pool_close_idle(side->pool);
	while (losses_take(&side->losses, now, &fingerprint)) {
		struct quarantine_entry entry;

		counter_add(&side->crashes, 1);
		quarantine_crash(side->context->quarantine, fingerprint,
				 side->life, now, &entry);
		log_event(LOG_WARNING, "request_crashed_backend",
			  "fingerprint=%016" PRIx64 " count=%" PRIu32,
			  entry.fingerprint, entry.count);
		side->context->report_crash(side->context->ctx, &entry);
	}
}

static void on_backend_silent(void *ctx)
{
	struct backend_side *side = ctx;

	backend_pool_close_idle(side->pool);
}

/* Running a job. */

static enum admit_outcome admit_outcome_of(enum failure_reason reason)
{
	switch (reason) {
	case FAILURE_NONE:
		return ADMIT_ANSWERED;
	case FAILURE_BACKEND_SHED:
	case FAILURE_VERSION:
		return ADMIT_SHED;
	case FAILURE_BACKEND_REFUSED:
	case FAILURE_BACKEND_LOST:
		return ADMIT_LOST;
	default:
		return ADMIT_FAILED;
	}
}

static void end_run(struct backend_side *side, struct relay_job *job,
		    enum failure_reason reason)
{
	int64_t now = clock_monotonic_ns();

	cds_list_del(&job->node);
	job->conn = NULL;
	admit_done(side->admit, &job->admit, admit_outcome_of(reason), now);
	histogram_observe(&side->service_time,
			  (uint64_t)((now - job->admit.started) / NS_PER_US));
}

/* Logs failed runs and a sample of the others. */
static void log_run(const struct backend_side *side,
		    const struct relay_job *job, enum failure_reason reason,
		    int status)
{
	int64_t now = clock_monotonic_ns();

	if (reason == FAILURE_NONE &&
	    !relay_is_sampled(job->request.request_id))
		return;
	log_event(LOG_INFO, "run_ended",
		  "id=%s backend=%s life=%" PRIu64
		  " reason=%s status=%d waited_us=%" PRId64 " ran_us=%" PRId64
		  " running=%d queued=%d",
		  log_quote(job->request.request_id),
		  side->server.id ? side->server.id : "none", job->admit.life,
		  failure_get(reason)->name, status,
		  (job->admit.started - job->admit.arrival) / NS_PER_US,
		  (now - job->admit.started) / NS_PER_US,
		  admit_running(side->admit), admit_queued(side->admit));
}

static void on_response(enum http_end end, struct http_message *response,
			void *ctx)
{
	CLEANUP(http_message_freep) struct http_message *owned = response;
	struct relay_job *job = ctx;
	struct backend_side *side = job->side;
	enum failure_reason reason = backend_message_classify(end, response);
	int status = response ? response->status : 0;
	struct relay_answer answer = { .reason = (int)reason };
	int64_t now = clock_monotonic_ns();

	end_run(side, job, reason);
	/* A server that is not the expected one reports its own load. */
	if (reason != FAILURE_VERSION)
		backend_load_note(&side->load, response, now);
	if (reason == FAILURE_NONE && status < HTTP_STATUS_FAILED)
		backend_load_ran(&side->load, job, now - job->admit.started,
				 now);
	backend_side_record_outcome(side, job, reason, status);
	log_run(side, job, reason, status);
	probe_note_answer(side->probe);
	answer.sent = reason != FAILURE_BACKEND_REFUSED;
	answer.service_us =
		(clock_monotonic_ns() - job->admit.started) / NS_PER_US;
	if (reason == FAILURE_NONE)
		backend_message_to_answer(&answer, response);
	if (reason == FAILURE_BACKEND_LOST && !response)
		losses_note(&side->losses, job->request.fingerprint,
			    clock_monotonic_ns());
	if (reason == FAILURE_NONE)
		quarantine_success(side->context->quarantine,
				   job->request.fingerprint,
				   clock_monotonic_ns());
	else if (reason != FAILURE_BACKEND_SHED)
		probe_now(side->probe);
	finish_job(side, job, &answer);
	backend_side_start_next(side);
}

static void run_job(struct backend_side *side, struct relay_job *job)
{
	const struct relay_request *request = &job->request;
	int64_t left = job->deadline - clock_monotonic_ns();
	bool has_organisations =
		side->view->config && side->view->config->organisations;
	GString *head =
		backend_message_head(request, side->server.id, left / NS_PER_MS,
				     has_organisations);

	counter_add(&side->admitted, 1);
	cds_list_add_tail(&job->node, &side->running);
	job->conn =
		backend_pool_send(side->pool, head, request->body.body_val,
				  request->body.body_len, request->request_id,
				  request->at_most_once, on_response, job);
	g_string_free(head, TRUE);
	if (job->conn) {
		probe_note_start(side->probe);
		return;
	}
	end_run(side, job, FAILURE_BACKEND_REFUSED);
	refuse(side, job, FAILURE_BACKEND_REFUSED);
}

/*
 * Why the server must not get the request now, or FAILURE_NONE. Asked when the
 * request arrives and when it starts: the server may have changed meanwhile.
 */
static enum failure_reason blocked_reason(const struct backend_side *side,
					  const struct relay_job *job)
{
	if (backend_side_is_draining(side))
		return FAILURE_TARGET_DRAINING;
	if (!side->server.id ||
	    strcmp(job->request.service, side->server.service) != 0)
		return FAILURE_VERSION;
	if (probe_is_down(side->probe))
		return FAILURE_BACKEND_REFUSED;
	return FAILURE_NONE;
}

static void refuse_list(struct backend_side *side, struct cds_list_head *list,
			enum failure_reason reason)
{
	struct admit_request *request, *next;

	cds_list_for_each_entry_safe (request, next, list, node) {
		cds_list_del(&request->node);
		refuse(side, caa_container_of(request, struct relay_job, admit),
		       reason);
	}
}

void backend_side_start_next(struct backend_side *side)
{
	int64_t now = clock_monotonic_ns();
	struct admit_request *request;
	struct cds_list_head expired;

	CDS_INIT_LIST_HEAD(&expired);
	while ((request = admit_next(side->admit, now, &expired))) {
		struct relay_job *job =
			caa_container_of(request, struct relay_job, admit);
		enum failure_reason reason = blocked_reason(side, job);

		if (reason == FAILURE_NONE) {
			run_job(side, job);
			continue;
		}
		admit_done(side->admit, request, ADMIT_SHED, now);
		refuse(side, job, reason);
	}
	refuse_list(side, &expired, FAILURE_TARGET_DEADLINE);
}

static enum failure_reason arrival_reason(const struct backend_side *side,
					  const struct relay_job *job,
					  int64_t now)
{
	const struct relay_request *request = &job->request;

	if (strcmp(request->service, side->context->host->service) != 0)
		return FAILURE_VERSION;
	if (quarantine_check(side->context->quarantine, request->fingerprint,
			     now, NULL))
		return FAILURE_QUARANTINED;
	if (job->deadline <= now)
		return FAILURE_TARGET_DEADLINE;
	/* A stopping daemon takes only what it can complete. */
	if (now + admit_service_ns(side->admit, job->admit.priority) >
	    side->context->stop_deadline)
		return FAILURE_TARGET_DRAINING;
	/* The sender still has other servers to send it to. */
	if (request->unless_unsound && !sound_check(&side->sound, now))
		return FAILURE_TARGET_UNSOUND;
	return blocked_reason(side, job);
}

void backend_side_submit(struct backend_side *side, struct relay_job *job)
{
	int64_t now = clock_monotonic_ns();
	struct admit_request *displaced = NULL;
	enum failure_reason reason;
	enum admit_verdict verdict;
	int64_t send_ns;

	track_job(side, job);
	job->conn = NULL;
	job->overdue = false;
	job->deadline = MIN(now + job->request.time_left_ms * NS_PER_MS,
			    side->context->stop_deadline);
	memset(&job->admit, 0, sizeof(job->admit));
	job->side = side;
	job->admit.priority =
		(enum admit_priority)CLAMP(job->request.priority, 0,
					   ADMIT_NR_PRIORITIES - 1);
	job->admit.level = job->request.organisation_priority;
	job->admit.caller = hash_string(job->request.caller_service);
	send_ns = send_time(side, job);
	job->admit.deadline = job->deadline - send_ns;
	if (job->request.due_left_ms > 0)
		job->admit.due =
			now + job->request.due_left_ms * NS_PER_MS - send_ns;
	job->admit.expected_ns = backend_load_expect(&side->load, job, now);
	job->admit.objective =
		now + job->request.objective_left_ms * NS_PER_MS - send_ns;
	reason = arrival_reason(side, job, now);
	if (reason != FAILURE_NONE) {
		refuse(side, job, reason);
		return;
	}
	verdict = admit_arrive(side->admit, &job->admit, now, &displaced);
	if (displaced)
		refuse(side,
		       caa_container_of(displaced, struct relay_job, admit),
		       FAILURE_QUEUE_FULL);
	if (verdict == ADMIT_RUN)
		run_job(side, job);
	else if (verdict != ADMIT_QUEUED)
		refuse(side, job, failure_of_refusal(verdict));
	probe_note_request(side->probe);
}

void backend_side_cancel(struct backend_side *side, struct relay_job *job)
{
	struct backend_conn *conn = job->conn;

	if (job->admit.state == ADMIT_WAITING) {
		admit_cancel(side->admit, &job->admit);
	} else if (job->admit.state == ADMIT_RUNNING && conn) {
		end_run(side, job, FAILURE_CANCELLED);
		backend_pool_cancel(side->pool, conn);
	}
	untrack_job(side, job);
	backend_side_start_next(side);
}

void backend_side_recall(struct backend_side *side, struct relay_job *job)
{
	if (admit_cancel(side->admit, &job->admit))
		refuse(side, job, FAILURE_KEY_REVOKED);
}

void backend_side_note_call(struct backend_side *side, int64_t now)
{
	side->makes_calls_until = now + MAKES_CALLS_NS;
}

void backend_side_note_failed_call(struct backend_side *side, int64_t now)
{
	side->call_failed = now;
}

void backend_side_drain(struct backend_side *side)
{
	side->draining = true;
}

bool backend_side_is_draining(const struct backend_side *side)
{
	/*
	 * A daemon that has not received its server's entry yet does not report
	 * that it is draining: after a restart of all hosts, callers would
	 * avoid it for a second.
	 */
	return side->draining || side->server.is_replaced ||
	       (side->server.id && !side->in_service);
}

int backend_side_nr_jobs(const struct backend_side *side)
{
	return side->nr_jobs;
}

/* Deadlines. */

static void end_expired_runs(struct backend_side *side, int64_t now)
{
	struct relay_job *job, *next;

	cds_list_for_each_entry_safe (job, next, &side->running, node) {
		struct relay_answer answer = { .reason = FAILURE_DEADLINE,
					       .sent = true };
		struct backend_conn *conn = job->conn;

		if (job->deadline > now)
			continue;
		end_run(side, job, FAILURE_DEADLINE);
		backend_pool_cancel(side->pool, conn);
		finish_job(side, job, &answer);
	}
}

void backend_side_end_jobs(struct backend_side *side)
{
	struct cds_list_head waiting;

	CDS_INIT_LIST_HEAD(&waiting);
	admit_cancel_all(side->admit, &waiting);
	refuse_list(side, &waiting, FAILURE_TARGET_DRAINING);
	end_expired_runs(side, DEADLINE_NEVER);
}

void backend_side_run_timers(struct backend_side *side, int64_t now)
{
	struct cds_list_head expired;

	if (backend_side_next_deadline(side) > now)
		return;
	CDS_INIT_LIST_HEAD(&expired);
	backend_side_record_overdue(side, now);
	end_expired_runs(side, now);
	admit_expire(side->admit, now, &expired);
	refuse_list(side, &expired, FAILURE_TARGET_DEADLINE);
	backend_side_start_next(side);
}

int64_t backend_side_next_deadline(const struct backend_side *side)
{
	int64_t deadline = admit_next_timer(side->admit);
	struct relay_job *job;

	cds_list_for_each_entry (job, &side->running, node)
		deadline = MIN(deadline, job->deadline);
	return deadline;
}

/* Creation and state dump. */

static void add_metrics(struct backend_side *side)
{
	struct metrics *metrics = side->context->metrics;

	side->admitted.name = "godwitspur_backend_requests_total";
	side->admitted.help = "Requests sent to the backend server.";
	side->refused.name = "godwitspur_backend_refused_total";
	side->refused.help = "Requests refused before they were sent.";
	side->crashes.name = "godwitspur_backend_crashes_total";
	side->crashes.help = "Requests lost in a crash of the backend server.";
	side->service_time.name = "godwitspur_backend_seconds";
	side->service_time.help = "Time of a request on the backend server.";
	metrics_add_counter(metrics, &side->admitted);
	metrics_add_counter(metrics, &side->refused);
	metrics_add_counter(metrics, &side->crashes);
	metrics_add_histogram(metrics, &side->service_time);
	backend_load_add_metrics(&side->load, metrics);
}

struct backend_side *backend_side_new(const struct relay_context *context)
{
	struct backend_side *side = g_new0(struct backend_side, 1);
	struct admit_options admit = {
		.slots = 1,
		.cold_slots = 1,
		.limit_policy = &admit_limit_fixed,
	};
	struct probe_options probe = {
		.context = context,
		.probed = backend_side_probed,
		.ended = on_backend_ended,
		.silent = on_backend_silent,
		.ctx = side,
	};

	side->context = context;
	side->life = 1;
	side->view = mesh_view_new(NULL);
	CDS_INIT_LIST_HEAD(&side->running);
	side->admit = admit_new(&admit, clock_monotonic_ns());
	side->pool = backend_pool_new(context);
	side->probe = probe_new(&probe);
	add_metrics(side);
	return side;
}

json_t *backend_side_dump(const struct backend_side *side)
{
	return json_pack("{s:s, s:b, s:b, s:b, s:i, s:i, s:I, s:o, s:o}",
			 "backend", side->server.id ? side->server.id : "",
			 "replaced", side->server.is_replaced, "in_service",
			 side->in_service, "draining", side->draining, "jobs",
			 side->nr_jobs, "connections",
			 (int)backend_pool_nr_conns(side->pool),
			 "connections_opened",
			 (json_int_t)backend_pool_nr_opened(side->pool), "load",
			 backend_load_dump(&side->load, clock_monotonic_ns()),
			 "admit", admit_dump(side->admit));
}

#include <inttypes.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "relay/call_internal.h"
#include "relay/memory_limits.h"

/*
 * Most daemons that a request is sent to while none of them passes it to its
 * backend server. A refusal costs a round trip, and a service of which this
 * many daemons refuse is full.
 */
#define PLACED_MAX 4

/*
 * A request that may run twice and has no answer after this share of its
 * route's objective is hedged: sent to a second backend server as well.
 */
#define HEDGE_PERCENT 100

/*
 * Load of the own zone, in percent, from which a request with a long answer may
 * go to another zone. Higher than for other requests, so that long answers come
 * from near by if possible.
 */
#define LONG_ANSWER_OVERFLOW_PERCENT 200

static void on_call_timer(struct timer *timer, int64_t now);
static enum failure_reason try_place(struct call *call);
static void hedge(struct call *call);

static struct service_state *get_service_state(const struct call *call)
{
	return caller_side_service(call->side, call->service_index);
}

/* Attempts. */

static int64_t hedge_time(const struct call *call)
{
	return call->arrival +
	       call->route->objective_ms * NS_PER_MS * HEDGE_PERCENT / 100;
}

static enum peer_lane get_lane(const struct call *call)
{
	return call->state->answer_bytes >= RELAY_LONG_ANSWER_BYTES
		       ? PEER_LANE_LONG
		       : PEER_LANE_SHORT;
}

/*
 * Requests with long answers are not hedged: such an answer is mostly late
 * because the network link of its host is busy, and the hedged request would
 * take as much of another host's link.
 */
static bool may_hedge(const struct call *call)
{
	return !call->hedged && !call->route->at_most_once &&
	       call->route->attempts > 1 && get_lane(call) == PEER_LANE_SHORT;
}

static void set_timer(struct call *call)
{
	int64_t deadline = call->deadline;

	if (may_hedge(call))
		deadline = MIN(deadline, hedge_time(call));
	timers_set(call->side->context->timers, &call->timer, deadline);
}

void call_free_attempt(struct attempt *attempt)
{
	cds_list_del(&attempt->node);
	attempt->call->nr_attempts--;
	attempt->call->nr_unanswered -= attempt->is_unanswered;
	g_free(attempt);
}

/*
 * Priority 0 of a route is the most urgent. Priority 1 has the orders and the
 * calls of backend servers: refusing such a call wastes the work that its
 * server has already done and the slot that it holds meanwhile.
 */
enum admit_priority call_priority(const struct call *call)
{
	int rank = call->route->priority;

	if (rank <= 1)
		return ADMIT_ORDER;
	return rank == 2 ? ADMIT_LOOKUP : ADMIT_BACKGROUND;
}

void call_report_result(struct attempt *attempt, enum failure_reason reason,
			const struct relay_answer *answer)
{
	struct caller_side *side = attempt->call->side;
	int64_t now = clock_monotonic_ns();
	struct balance_result result = {
		.reason = reason,
		.latency_ns = now - attempt->started,
		.reported = answer && answer->limit > 0,
	};

	if (answer) {
		result.in_flight = (uint32_t)MAX(answer->in_flight, 0);
		result.queue = (uint32_t)MAX(answer->queued, 0);
		result.limit = (uint32_t)MAX(answer->limit, 1);
		result.expected_ns = answer->expected_ms * NS_PER_MS;
		result.draining = answer->flags & TRAFFIC_DRAINING;
	}
	placement_fill_result(answer, &attempt->expected, &result);
	balance_finish(side->balance, attempt->target, &result, now);
	placement_learn(attempt->call, attempt->target, &attempt->expected,
			&result, now);
}

/*
 * Takes one retry from the service's budget, which keeps a part for urgent
 * requests.
 */
static bool take_retry(struct call *call)
{
	enum retry_urgency urgency =
		identity_is_urgent(&call->identity,
				   call_priority(call) == ADMIT_ORDER)
			? RETRY_URGENT
			: RETRY_NORMAL;

	return retry_window_take(&get_service_state(call)->retries, urgency,
				 clock_monotonic_ns());
}

/* Whether the request may be sent elsewhere after an attempt failed so. */
static bool may_retry(struct call *call, enum failure_reason reason, bool sent)
{
	const struct failure *failure = failure_get(reason);

	/* The key moved to another organisation, so the request starts anew. */
	if (reason == FAILURE_KEY_REVOKED && !call->is_revoked) {
		call->nr_excluded = 0;
		memset(call->refused_due, 0, sizeof(call->refused_due));
		return clock_monotonic_ns() < call->deadline;
	}
	if (call->is_revoked || !failure->another_may_help ||
	    call->nr_excluded == BALANCE_EXCLUDED_MAX ||
	    clock_monotonic_ns() >= call->deadline)
		return false;
	/* Each attempt in progress may have reached a server as well. */
	if (call->nr_sent + call->nr_attempts >= call->route->attempts)
		return false;
	if (failure->outcome == OUTCOME_UNKNOWN && call->route->at_most_once)
		return false;
	/* A link that is down is detected at once, without a round trip. */
	if (reason == FAILURE_LINK_REFUSED)
		return true;
	if (!sent)
		return call->nr_placed < PLACED_MAX;
	/* A server received this attempt, so another one counts as a retry. */
	return take_retry(call);
}

static bool is_quarantined(const struct call *call)
{
	return quarantine_check(call->side->context->quarantine,
				call->fingerprint, clock_monotonic_ns(), NULL);
}

/*
 * Sends the request again when no other daemon is left and some refused it as
 * late or as unsound: this time they may answer it late.
 */
static bool retry_accepting_late(struct call *call, enum failure_reason reason)
{
	if (call->is_revoked || call->accepts_late || call->nr_sent ||
	    call->nr_attempts ||
	    failure_get(reason)->outcome != OUTCOME_NOT_RUN ||
	    !call->nr_due_refused || clock_monotonic_ns() >= call->deadline)
		return false;
	call->accepts_late = true;
	call->nr_excluded = 0;
	memset(call->refused_due, 0, sizeof(call->refused_due));
	call->nr_placed = 0;
	return !is_quarantined(call) && try_place(call) == FAILURE_NONE;
}

void call_end_failed(struct call *call, enum failure_reason reason)
{
	if (call->failed_answer)
		call_end(call, FAILURE_NONE, call->failed_answer);
	else
		call_end(call, reason, NULL);
}

static bool is_due_refusal(enum failure_reason reason)
{
	return reason == FAILURE_TARGET_DEADLINE ||
	       reason == FAILURE_TARGET_UNSOUND;
}

static void mark_due_refusal(struct call *call, balance_handle target)
{
	call->nr_due_refused++;
	for (size_t i = 0; i < call->nr_excluded; i++)
		call->refused_due[i] |= call->excluded[i] == target;
}

/*
 * Allows daemons again that refused the request as late or as unsound. Called
 * once a server has failed the request, which is sent without the condition
 * from then on. Otherwise a service whose servers are all unsound would have
 * none left for a retry.
 */
static void readmit_due_refused(struct call *call)
{
	size_t kept = 0;

	for (size_t i = 0; i < call->nr_excluded; i++) {
		if (!call->refused_due[i])
			call->excluded[kept++] = call->excluded[i];
		call->refused_due[i] = false;
	}
	call->nr_excluded = kept;
}

/*
 * Whether nothing is left to wait for. A server's error answer is not kept back
 * for an attempt on a link that was given up.
 */
static bool is_over(const struct call *call)
{
	return !call->nr_attempts || (call->failed_answer &&
				      call->nr_attempts == call->nr_unanswered);
}

/*
 * After a failed attempt: sends the request again if it may be, waits for its
 * other attempts, or ends it.
 */
static void handle_failed_attempt(struct call *call, enum failure_reason reason,
				  bool sent)
{
	if (sent)
		readmit_due_refused(call);
	if (may_retry(call, reason, sent) && !is_quarantined(call)) {
		if (sent)
			counter_add(&call->side->nr_retries, 1);
		if (try_place(call) == FAILURE_NONE)
			return;
	}
	if (retry_accepting_late(call, reason))
		return;
	if (is_over(call))
		call_end_failed(call, reason);
}

/*
 * Whether an answer has an error status that another server may not have, with
 * time left for as long a run as this one was. An answer of a server that calls
 * other services is not retried: it may only pass on the failure of a call, and
 * a retry would make all of the calls again, which the retry budgets of those
 * services do not count.
 */
static bool is_worth_retrying(const struct call *call,
			      const struct relay_answer *answer)
{
	return answer->status >= HTTP_STATUS_FAILED &&
	       !(answer->flags & TRAFFIC_CALLS_OTHERS) &&
	       !call->route->at_most_once &&
	       clock_monotonic_ns() + answer->service_us * NS_PER_US <
		       call->deadline;
}

/* Keeps the first error answer of a server, and leaves an empty one. */
static void keep_failed_answer(struct call *call, struct relay_answer *answer)
{
	if (call->failed_answer)
		return;
	call->failed_answer = g_memdup2(answer, sizeof(*answer));
	memset(answer, 0, sizeof(*answer));
}

/* Logs the load that the daemon sent with its answer and decided by. */
static void log_attempt(const struct attempt *attempt,
			enum failure_reason reason,
			const struct relay_answer *answer)
{
	const struct call *call = attempt->call;
	int64_t now = clock_monotonic_ns();

	log_event(LOG_INFO, "attempt_failed",
		  "id=%s attempt=%d version=%" PRId64
		  " backend=%s local=%d reason=%s sent=%d running=%d queued=%d "
		  "limit=%d took_ms=%" PRId64 " left_ms=%" PRId64
		  " work_us=%" PRId64 " expected_us=%" PRId64
		  " pace_percent=%d backlog_us=%" PRId64,
		  call_id(call), call->nr_placed, call->view->config->version,
		  attempt->backend, attempt->is_local,
		  failure_get(reason)->name, answer && answer->sent,
		  answer ? answer->in_flight : -1, answer ? answer->queued : -1,
		  answer ? answer->limit : -1,
		  (now - attempt->started) / NS_PER_MS,
		  (call->deadline - now) / NS_PER_MS,
		  attempt->expected.work_ns / NS_PER_US,
		  attempt->expected.answer_ns / NS_PER_US,
		  answer ? answer->pace_percent : -1,
		  answer ? (int64_t)answer->backlog_us : -1);
}

void call_end_attempt(struct attempt *attempt, enum failure_reason reason,
		      struct relay_answer *answer)
{
	struct call *call = attempt->call;
	balance_handle target = attempt->target;
	/* The request was sent elsewhere already, if another daemon took it. */
	bool is_replaced = attempt->is_unanswered && call->nr_attempts > 1;
	/* After a lost connection the daemon may have passed the request on. */
	bool sent = answer ? answer->sent : reason == FAILURE_LINK_LOST;

	if (reason == FAILURE_NONE && is_worth_retrying(call, answer))
		reason = FAILURE_BACKEND_FAILED;
	call_report_result(attempt, reason, answer);
	failover_record(&get_service_state(call)->unless_unsound,
			reason == FAILURE_TARGET_UNSOUND, clock_monotonic_ns());
	if (reason != FAILURE_NONE)
		log_attempt(attempt, reason, answer);
	call_free_attempt(attempt);
	if (sent)
		call->nr_sent++;
	if (is_due_refusal(reason))
		mark_due_refusal(call, target);
	if (failure_get(reason)->outcome == OUTCOME_UNKNOWN)
		call->may_have_run = true;
	if (answer && answer->reason != FAILURE_NONE && !answer->sent)
		call->wait_ms = call->wait_ms < 0
					? answer->wait_ms
					: MIN(call->wait_ms, answer->wait_ms);
	if (reason == FAILURE_BACKEND_FAILED)
		keep_failed_answer(call, answer);
	if (reason == FAILURE_NONE)
		call_end(call, FAILURE_NONE, answer);
	else if (!is_replaced)
		handle_failed_attempt(call, reason, sent);
	else if (is_over(call))
		call_end_failed(call, reason);
}

static enum failure_reason answer_reason(const struct relay_answer *answer)
{
	if (answer->reason < 0 || answer->reason >= FAILURE_REASONS)
		return FAILURE_LINK_LOST;
	return (enum failure_reason)answer->reason;
}

static void on_local_done(struct relay_job *job, struct relay_answer *answer)
{
	struct attempt *attempt = caa_container_of(job, struct attempt, job);

	call_end_attempt(attempt, answer_reason(answer), answer);
	xdr_free((xdrproc_t)xdr_relay_answer, (char *)answer);
}

static enum failure_reason status_reason(enum rpc_status status)
{
	switch (status) {
	case RPC_NOT_SENT:
		return FAILURE_LINK_REFUSED;
	case RPC_REFUSED:
		return FAILURE_VERSION;
	default:
		return FAILURE_LINK_LOST;
	}
}

static void on_peer_done(struct peer_call *peer, enum rpc_status status,
			 struct relay_answer *answer)
{
	struct attempt *attempt = caa_container_of(peer, struct attempt, peer);
	enum failure_reason reason;

	if (!answer) {
		call_end_attempt(attempt, status_reason(status), NULL);
		return;
	}
	reason = answer_reason(answer);
	/* It was recalled since its link was given up, not for its key. */
	if (reason == FAILURE_KEY_REVOKED && attempt->is_unanswered &&
	    !attempt->call->is_revoked)
		reason = FAILURE_LINK_REFUSED;
	call_end_attempt(attempt, reason, answer);
	xdr_free((xdrproc_t)xdr_relay_answer, (char *)answer);
}

/* Hedges at once: another daemon may answer sooner than a suspect one. */
static void on_peer_silent(struct peer_call *peer)
{
	struct attempt *attempt = caa_container_of(peer, struct attempt, peer);

	if (may_hedge(attempt->call))
		hedge(attempt->call);
}

/*
 * Tries another daemon, as after a failed attempt. The attempt goes on: its
 * server may be at work, and the others may refuse the request.
 */
static void on_peer_unanswered(struct peer_call *peer)
{
	struct attempt *attempt = caa_container_of(peer, struct attempt, peer);
	struct call *call = attempt->call;
	int64_t now = clock_monotonic_ns();

	log_event(LOG_INFO, "attempt_unanswered",
		  "id=%s attempt=%d backend=%s took_ms=%" PRId64
		  " left_ms=%" PRId64,
		  call_id(call), attempt->number, attempt->backend,
		  (now - attempt->started) / NS_PER_MS,
		  (call->deadline - now) / NS_PER_MS);
	attempt->is_unanswered = true;
	call->nr_unanswered++;
	handle_failed_attempt(call, FAILURE_LINK_LOST, true);
}

/* The body if it is long enough to be sent without a copy; else NULL. */
static GBytes *share_body(struct call *call)
{
	GByteArray *body = call->message->body;

	if (!call->body && body->len >= NET_LONG_RECORD_BYTES) {
		call->body =
			memory_limits_share_body(call->side->context->account,
						 body);
		http_server_disown(call->conn, body->len);
	}
	return call->body;
}

static void start_attempt(struct call *call,
			  const struct balance_choice *choice,
			  const struct placement_expectation *expected)
{
	struct caller_side *side = call->side;
	struct attempt *attempt = g_new0(struct attempt, 1);

	attempt->call = call;
	attempt->target = choice->target;
	attempt->expected = *expected;
	g_strlcpy(attempt->backend, choice->host, sizeof(attempt->backend));
	attempt->started = clock_monotonic_ns();
	attempt->peer.done = on_peer_done;
	attempt->peer.silent = on_peer_silent;
	attempt->peer.unanswered = on_peer_unanswered;
	attempt->job.done = on_local_done;
	cds_list_add_tail(&attempt->node, &call->attempts);
	call->nr_attempts++;
	attempt->number = ++call->nr_placed;
	call->excluded[call->nr_excluded++] = choice->target;
	call_build_request(call, &attempt->job.request);
	attempt->is_local = !strcmp(choice->traffic, side->own_traffic);
	/* Sending may end the call and free it: no use of it from here on. */
	if (attempt->is_local) {
		backend_side_submit(side->backend_side, &attempt->job);
	} else {
		attempt->peer.body = share_body(call);
		peer_links_send(side->links, choice->traffic, get_lane(call),
				&attempt->job.request, &attempt->peer);
	}
}

/*
 * Sends the request to a daemon that the balancer picks; FAILURE_NO_TARGET if
 * there is none. A process that is about to end sends nothing more, as it could
 * not pass on the answer.
 */
static enum failure_reason try_place(struct call *call)
{
	int64_t now = clock_monotonic_ns();
	struct balance_request request = {
		.service = call->service_index,
		.excluded = call->excluded,
		.nr_excluded = call->nr_excluded,
		.regions = call->route->regions,
		.retryable = !call->route->at_most_once,
	};
	struct placement_expectation expected;
	struct balance_choice choice;

	if (now >= call->side->context->stop_deadline)
		return FAILURE_TARGET_DRAINING;
	if (get_lane(call) == PEER_LANE_LONG)
		request.overflow_percent = LONG_ANSWER_OVERFLOW_PERCENT;
	if (call->nr_excluded == BALANCE_EXCLUDED_MAX ||
	    !placement_start(call, &request, now, &choice, &expected))
		return FAILURE_NO_TARGET;
	start_attempt(call, &choice, &expected);
	return FAILURE_NONE;
}

static void hedge(struct call *call)
{
	call->hedged = true;
	set_timer(call);
	if (call->is_revoked || call->nr_attempts != 1 ||
	    call->nr_sent + call->nr_attempts >= call->route->attempts ||
	    !placement_can_finish(call, clock_monotonic_ns()) ||
	    is_quarantined(call) || !take_retry(call))
		return;
	counter_add(&call->side->nr_retries, 1);
	try_place(call);
}

static void on_call_timer(struct timer *timer, int64_t now)
{
	struct call *call = caa_container_of(timer, struct call, timer);

	if (now < call->deadline) {
		hedge(call);
		return;
	}
	call->may_have_run = true;
	call_end_failed(call, FAILURE_DEADLINE);
}

void call_start(struct call *call)
{
	enum failure_reason reason;

	call->timer.fire = on_call_timer;
	call->wait_ms = -1;
	CDS_INIT_LIST_HEAD(&call->attempts);
	set_timer(call);
	reason = try_place(call);
	if (reason != FAILURE_NONE)
		call_end(call, reason, NULL);
}

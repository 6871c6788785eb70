#include <string.h>

#include "base/clock.h"
#include "exchange.h"
#include "local_job.h"

static enum failure_reason status_reason(enum rpc_status status,
					 const struct traffic_answer *answer)
{
	switch (status) {
	case RPC_DONE:
		if (answer->reason < 0 || answer->reason >= FAILURE_REASONS)
			return FAILURE_LINK_LOST;
		return (enum failure_reason)answer->reason;
	case RPC_NOT_SENT:
		return FAILURE_LINK_REFUSED;
	case RPC_REFUSED:
		return FAILURE_VERSION;
	case RPC_TIMED_OUT:
		return FAILURE_DEADLINE;
	default:
		return FAILURE_LINK_LOST;
	}
}

static enum failure_reason send_attempt(struct exchange *exchange,
					const struct balance_choice *choice)
{
	struct ingress *ingress = exchange->ingress;
	struct traffic_request request;
	enum rpc_status status;

	message_build(exchange, &request);
	if (!strcmp(choice->host, ingress->options.host)) {
		status = local_request(ingress->options.target, &request,
				       exchange->deadline, &exchange->answer);
	} else {
		status = links_request(ingress->options.links, choice->traffic,
				       &request, exchange->deadline,
				       &exchange->answer);
		xdr_free((xdrproc_t)xdr_traffic_request, &request);
	}
	return status_reason(status, &exchange->answer);
}

static void merge_crash(struct ingress *ingress,
			const struct traffic_answer *answer, int64_t now)
{
	struct quarantine_entry entry = {
		.fingerprint = answer->crash.fingerprint,
		.origin = answer->crash.origin,
		.count = answer->crash.count,
		.cleared = answer->crash.cleared,
		.left_ms = answer->crash.left_ms,
	};

	quarantine_merge(ingress->quarantine, &entry, now);
}

/*
 * Reports the result of an attempt to the load balancer and the quarantine;
 * called with the ingress lock held.
 */
static void report_result(struct exchange *exchange, balance_handle handle,
			  enum failure_reason reason, int64_t started,
			  int64_t now)
{
	struct ingress *ingress = exchange->ingress;
	struct traffic_answer *answer = &exchange->answer;
	bool reported = answer->limit > 0;
	struct balance_result result = {
		.reason = reason,
		.latency_ns = now - started,
		.reported = reported,
		.in_flight = (uint32_t)MAX(answer->in_flight, 0),
		.queue = (uint32_t)MAX(answer->queued, 0),
		.limit = (uint32_t)MAX(answer->limit, 1),
		.draining = (answer->flags & TRAFFIC_DRAINING) != 0,
	};

	balance_finish(ingress->balance, handle, &result, now);
	if (answer->flags & TRAFFIC_CRASHED)
		merge_crash(ingress, answer, now);
	else if (reason == FAILURE_NONE)
		quarantine_success(ingress->quarantine, exchange->fingerprint,
				   now);
}

struct retry_budget *ingress_budget(struct ingress *ingress, int service)
{
	return &g_array_index(ingress->budgets, struct retry_budget, service);
}

/*
 * Chooses a target and counts the attempt as in flight there; called with the
 * ingress lock held.
 */
static enum failure_reason choose(struct exchange *exchange,
				  const balance_handle *excluded, size_t nr,
				  struct balance_choice *choice)
{
	struct ingress *ingress = exchange->ingress;
	int64_t now = clock_monotonic_ns();
	struct balance_request request = {
		.service = exchange->service,
		.excluded = excluded,
		.nr_excluded = nr,
		.retryable = method_is_idempotent(exchange->method) &&
			     !exchange->has_ticket,
	};
	bool found;

	if (exchange->has_ticket)
		found = balance_find(ingress->balance, exchange->service,
				     exchange->ticket.host, choice);
	else
		found = balance_pick(ingress->balance, &request, now, choice);
	if (!found || !balance_start(ingress->balance, choice->target, now))
		return exchange->has_ticket ? FAILURE_TICKET_UNREACHABLE
					    : FAILURE_NO_TARGET;
	return FAILURE_NONE;
}

void exchange_clear_answer(struct exchange *exchange)
{
	xdr_free((xdrproc_t)xdr_traffic_answer, &exchange->answer);
	memset(&exchange->answer, 0, sizeof(exchange->answer));
}

/* Whether to retry the request; called with the ingress lock held. */
static bool should_retry(struct exchange *exchange, enum failure_reason reason,
			 int64_t now)
{
	struct ingress *ingress = exchange->ingress;
	enum retry_decision decision;

	if (reason == FAILURE_NONE || exchange->has_ticket)
		return false;
	/* Answers to earlier attempts may have reported crashes. */
	if (quarantine_check(ingress->quarantine, exchange->fingerprint, now,
			     NULL))
		return false;
	decision = retry_decide(&exchange->attempts,
				ingress_budget(ingress, exchange->service),
				reason, method_is_idempotent(exchange->method),
				exchange->route->at_most_once, now,
				exchange->deadline);
	return decision == RETRY_YES;
}

enum failure_reason exchange_run_attempts(struct exchange *exchange)
{
	balance_handle excluded[BALANCE_EXCLUDED_MAX];
	struct ingress *ingress = exchange->ingress;
	enum failure_reason reason;
	size_t nr = 0;
	bool retry;

	do {
		struct balance_choice choice;
		int64_t started, now;

		exchange_clear_answer(exchange);
		pthread_mutex_lock(&ingress->lock);
		reason = choose(exchange, excluded, nr, &choice);
		pthread_mutex_unlock(&ingress->lock);
		if (reason != FAILURE_NONE)
			break;
		started = clock_monotonic_ns();
		reason = send_attempt(exchange, &choice);
		now = clock_monotonic_ns();
		pthread_mutex_lock(&ingress->lock);
		report_result(exchange, choice.target, reason, started, now);
		retry = nr < BALANCE_EXCLUDED_MAX &&
			should_retry(exchange, reason, now);
		pthread_mutex_unlock(&ingress->lock);
		if (retry)
			excluded[nr++] = choice.target;
		if (retry)
			counter_add(&ingress->retries, 1);
	} while (retry);
	if (exchange->has_ticket && reason == FAILURE_LINK_REFUSED)
		return FAILURE_TICKET_UNREACHABLE;
	return reason;
}

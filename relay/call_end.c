#include "relay/call_internal.h"

/* Ends attempts early: the process stops, the caller left, or a key changed. */

/* Whether an attempt in progress may have reached a server. */
static bool has_sent_attempt(const struct call *call)
{
	const struct attempt *attempt;

	cds_list_for_each_entry (attempt, &call->attempts, node) {
		if (!attempt->is_local ||
		    attempt->job.admit.state != ADMIT_WAITING)
			return true;
	}
	return false;
}

void call_end_for_stop(struct call *call)
{
	call->may_have_run |= has_sent_attempt(call);
	call_end_failed(call, call->may_have_run ? FAILURE_DEADLINE
						 : FAILURE_TARGET_DRAINING);
}

void call_cancel(struct call *call)
{
	struct attempt *attempt, *next;

	quota_side_cancel(&call->quota_wait);
	timers_cancel(call->side->context->timers, &call->timer);
	cds_list_for_each_entry_safe (attempt, next, &call->attempts, node) {
		if (attempt->is_local)
			backend_side_cancel(call->side->backend_side,
					    &attempt->job);
		else
			peer_links_cancel(&attempt->peer);
		call_report_result(attempt, FAILURE_CANCELLED, NULL);
		call_free_attempt(attempt);
	}
}

/* Ends an attempt of which nothing was sent. */
static void abandon_unsent(struct attempt *attempt)
{
	peer_links_cancel(&attempt->peer);
	call_end_attempt(attempt, FAILURE_KEY_REVOKED, NULL);
}

void call_recall(struct call *call)
{
	/* Attempts that replace recalled ones follow them in the list. */
	int placed = call->nr_placed;
	struct attempt *attempt, *next;

	cds_list_for_each_entry_safe (attempt, next, &call->attempts, node) {
		bool is_last = call->nr_attempts == 1;

		if (attempt->number > placed)
			return;
		if (attempt->is_local)
			backend_side_recall(call->side->backend_side,
					    &attempt->job);
		else if (!peer_links_recall(&attempt->peer))
			abandon_unsent(attempt);
		/* If the attempt has ended, so may have the call. */
		if (is_last)
			return;
	}
}

#include "base/clock.h"
#include "relay/backend_side_internal.h"

/* Judges by the results of its requests whether the backend server is sound. */

/*
 * Whether a status shows that the server itself failed the request. A request
 * that may be retried does not count against the server if it timed out, or if
 * one of the server's own calls failed while it ran. One that runs at most once
 * always counts, as such requests should not fail at all.
 */
static bool is_server_failure(const struct backend_side *side,
			      const struct relay_job *job, int status)
{
	if (status < HTTP_STATUS_FAILED)
		return false;
	return job->request.at_most_once ||
	       (status != HTTP_STATUS_TIMEOUT &&
		side->call_failed < job->admit.started);
}

/*
 * Whether fewer than half of the slots are in use, so that load is no reason
 * for the server to refuse a request.
 */
static bool has_free_slots(const struct backend_side *side)
{
	return admit_running(side->admit) < side->slots / 2;
}

void backend_side_record_outcome(struct backend_side *side,
				 const struct relay_job *job,
				 enum failure_reason reason, int status)
{
	int64_t now = clock_monotonic_ns();

	if (reason == FAILURE_BACKEND_LOST ||
	    (reason == FAILURE_BACKEND_SHED && has_free_slots(side)) ||
	    (reason == FAILURE_NONE && is_server_failure(side, job, status)))
		sound_record(&side->sound, true, now);
	else if (reason == FAILURE_NONE && status < HTTP_STATUS_FAILED)
		sound_record(&side->sound, false, now);
}

void backend_side_record_overdue(struct backend_side *side, int64_t now)
{
	struct relay_job *job;

	cds_list_for_each_entry (job, &side->running, node) {
		if (job->overdue ||
		    !admit_is_overdue(side->admit, &job->admit, now))
			continue;
		job->overdue = true;
		sound_record(&side->sound, true, now);
	}
}

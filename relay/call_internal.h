#ifndef RELAY_CALL_INTERNAL_H
#define RELAY_CALL_INTERNAL_H

#include "relay/call.h"

/*
 * Internal to the files that send a request to backend servers: call.c places
 * it and handles what becomes of its attempts, call_end.c ends them early.
 */

/* One attempt: the request at one backend server's daemon. */
struct attempt {
	struct cds_list_head node;
	struct call *call;
	balance_handle target;
	char backend[BALANCE_NAME_MAX]; /* id of the server */
	bool is_local;
	bool is_unanswered; /* its link was given up */
	int number;	    /* of the daemons that the request was sent to */
	int64_t started;
	struct placement_expectation expected;
	struct peer_call peer;
	struct relay_job job;
};

/*
 * Ends an attempt with its answer, or NULL. Sends the request elsewhere, waits
 * for its other attempts, or ends it; the call may be freed then.
 */
void call_end_attempt(struct attempt *attempt, enum failure_reason reason,
		      struct relay_answer *answer);

/* Reports the result of an attempt to the balancer and the estimates. */
void call_report_result(struct attempt *attempt, enum failure_reason reason,
			const struct relay_answer *answer);

void call_free_attempt(struct attempt *attempt);

/*
 * Ends the request with a server's error answer, if there is one, or else with
 * the reason of the failure.
 */
void call_end_failed(struct call *call, enum failure_reason reason);

#endif

#include <string.h>

#include "retry/retry.h"

static const char *const outcome_names[] = {
	[OUTCOME_RAN] = "ran",
	[OUTCOME_NOT_RUN] = "not-run",
	[OUTCOME_UNKNOWN] = "unknown",
};

#define NR_OUTCOMES (sizeof(outcome_names) / sizeof(*outcome_names))

/* Columns: name, outcome, status, another_may_help, counts_for_ejection. */
static const struct failure failures[FAILURE_REASONS] = {
	[FAILURE_NONE] = { "none", OUTCOME_RAN, 0, false, false },
	[FAILURE_BAD_REQUEST] = { "bad-request", OUTCOME_NOT_RUN, 400, false,
				  false },
	[FAILURE_BODY_TOO_LARGE] = { "body-too-large", OUTCOME_NOT_RUN, 413,
				     false, false },
	[FAILURE_NO_ROUTE] = { "no-route", OUTCOME_NOT_RUN, 404, false, false },
	[FAILURE_INGRESS_DRAINING] = { "ingress-draining", OUTCOME_NOT_RUN, 503,
				       false, false },
	[FAILURE_INGRESS_DEADLINE] = { "ingress-deadline", OUTCOME_NOT_RUN, 504,
				       false, false },
	/* 508 Loop Detected: a chain of that many calls is probably a loop. */
	[FAILURE_HOPS] = { "hops", OUTCOME_NOT_RUN, 508, false, false },
	[FAILURE_NO_TARGET] = { "no-target", OUTCOME_NOT_RUN, 503, false,
				false },
	[FAILURE_BUDGET] = { "budget", OUTCOME_NOT_RUN, 503, false, false },
	[FAILURE_QUARANTINED] = { "quarantined", OUTCOME_NOT_RUN, 422, false,
				  false },
	[FAILURE_LINK_REFUSED] = { "link-refused", OUTCOME_NOT_RUN, 502, true,
				   true },
	[FAILURE_LINK_LOST] = { "link-lost", OUTCOME_UNKNOWN, 502, true, true },
	[FAILURE_QUEUE_FULL] = { "queue-full", OUTCOME_NOT_RUN, 503, true,
				 false },
	[FAILURE_TARGET_DRAINING] = { "target-draining", OUTCOME_NOT_RUN, 503,
				      true, false },
	[FAILURE_TARGET_DEADLINE] = { "target-deadline", OUTCOME_NOT_RUN, 504,
				      true, false },
	[FAILURE_VERSION] = { "version", OUTCOME_NOT_RUN, 503, true, false },
	[FAILURE_TARGET_UNSOUND] = { "target-unsound", OUTCOME_NOT_RUN, 503,
				     true, false },
	[FAILURE_BACKEND_REFUSED] = { "backend-refused", OUTCOME_NOT_RUN, 502,
				      true, true },
	[FAILURE_BACKEND_SHED] = { "backend-shed", OUTCOME_NOT_RUN, 503, true,
				   false },
	[FAILURE_BACKEND_FAILED] = { "backend-failed", OUTCOME_RAN, 0, true,
				     false },
	[FAILURE_BACKEND_LOST] = { "backend-lost", OUTCOME_UNKNOWN, 502, true,
				   true },
	[FAILURE_DEADLINE] = { "deadline", OUTCOME_UNKNOWN, 504, false, true },
	[FAILURE_TRUNCATED] = { "truncated", OUTCOME_UNKNOWN, 0, false, true },
	/* The caller has left, and the target is not at fault. */
	[FAILURE_CANCELLED] = { "cancelled", OUTCOME_UNKNOWN, 0, false, false },
	[FAILURE_TICKET_NEEDED] = { "ticket-needed", OUTCOME_NOT_RUN, 428,
				    false, false },
	[FAILURE_TICKET_TOO_FAR] = { "ticket-too-far", OUTCOME_NOT_RUN, 400,
				     false, false },
	[FAILURE_TICKET_RECORDS] = { "ticket-records", OUTCOME_NOT_RUN, 503,
				     false, false },
	[FAILURE_TICKET_REFUSED] = { "ticket-refused", OUTCOME_NOT_RUN, 503,
				     false, false },
	[FAILURE_TICKET_OTHER_REQUEST] = { "ticket-other-request",
					   OUTCOME_UNKNOWN, 422, false, false },
	[FAILURE_TICKET_EXPIRED] = { "ticket-expired", OUTCOME_UNKNOWN, 409,
				     false, false },
	[FAILURE_TICKET_INCARNATION] = { "ticket-incarnation", OUTCOME_UNKNOWN,
					 409, false, false },
	[FAILURE_TICKET_UNREACHABLE] = { "ticket-unreachable", OUTCOME_UNKNOWN,
					 502, false, false },
	[FAILURE_TICKET_RUNNING] = { "ticket-running", OUTCOME_UNKNOWN, 409,
				     false, false },
	[FAILURE_TICKET_RAN] = { "ticket-ran", OUTCOME_RAN, 409, false, false },
	[FAILURE_QUOTA] = { "quota", OUTCOME_NOT_RUN, 429, false, false },
	[FAILURE_KEY_REVOKED] = { "key-revoked", OUTCOME_NOT_RUN, 401, false,
				  false },
};

const char *outcome_name(enum outcome outcome)
{
	if ((size_t)outcome >= NR_OUTCOMES)
		outcome = OUTCOME_UNKNOWN;
	return outcome_names[outcome];
}

bool outcome_parse(enum outcome *outcome, const char *text)
{
	for (size_t i = 0; i < NR_OUTCOMES; i++) {
		if (!strcmp(text, outcome_names[i])) {
			*outcome = (enum outcome)i;
			return true;
		}
	}
	return false;
}

const struct failure *failure_get(enum failure_reason reason)
{
	/* Reasons of another build: assume that the request may have run. */
	if ((size_t)reason >= FAILURE_REASONS)
		reason = FAILURE_LINK_LOST;
	return &failures[reason];
}

enum failure_reason failure_of_refusal(enum admit_verdict verdict)
{
	switch (verdict) {
	case ADMIT_REFUSED_DEADLINE:
		return FAILURE_TARGET_DEADLINE;
	case ADMIT_REFUSED_DRAINING:
		return FAILURE_TARGET_DRAINING;
	default:
		return FAILURE_QUEUE_FULL;
	}
}

bool failure_parse(enum failure_reason *reason, const char *name)
{
	for (size_t i = 0; i < FAILURE_REASONS; i++) {
		if (!strcmp(name, failures[i].name)) {
			*reason = (enum failure_reason)i;
			return true;
		}
	}
	return false;
}

bool method_is_idempotent(const char *method)
{
	static const char *const methods[] = { "GET", "HEAD", "OPTIONS", "PUT",
					       "DELETE" };

	for (size_t i = 0; i < sizeof(methods) / sizeof(*methods); i++) {
		if (!strcmp(method, methods[i]))
			return true;
	}
	return false;
}

bool retry_allowed(enum failure_reason reason, bool idempotent,
		   bool at_most_once)
{
	switch (failure_get(reason)->outcome) {
	case OUTCOME_NOT_RUN:
		return true;
	case OUTCOME_UNKNOWN:
		return idempotent && !at_most_once;
	case OUTCOME_RAN:
		break;
	}
	return false;
}

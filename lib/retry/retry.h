#ifndef RETRY_RETRY_H
#define RETRY_RETRY_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "admit/admit.h"

/*
 * Outcomes of requests, the failures that may be retried, the retry budget and
 * the context that is propagated along a chain of calls. No I/O, no clock, no
 * locks. The ingress lock protects the budgets.
 */

/* Whether a failed request ran. */
enum outcome {
	OUTCOME_RAN,
	OUTCOME_NOT_RUN, /* safe to send again */
	OUTCOME_UNKNOWN,
};

/* "ran", "not-run" or "unknown": the value of Godwitspur-Outcome. */
const char *outcome_name(enum outcome outcome);

/* Parses a name returned by outcome_name(); false for anything else. */
bool outcome_parse(enum outcome *outcome, const char *text);

/*
 * How an attempt ended, one value for each row of the failure table. The
 * daemon that detects a failure picks the reason; outcome and status follow
 * from it and are never chosen separately.
 */
enum failure_reason {
	/* The backend server answered, whatever its status. */
	FAILURE_NONE,

	/* Detected by the ingress before anything was sent. */
	FAILURE_BAD_REQUEST,
	FAILURE_BODY_TOO_LARGE,
	FAILURE_NO_ROUTE,
	FAILURE_INGRESS_DRAINING,
	FAILURE_INGRESS_DEADLINE, /* the deadline had passed on arrival */
	FAILURE_HOPS,		  /* no hops left */
	FAILURE_NO_TARGET,	  /* no target accepts new work */
	FAILURE_BUDGET,		  /* the ingress has no capacity for it */
	FAILURE_QUARANTINED,	  /* at the ingress or at the target */

	/* The link between the ingress and the target's daemon. */
	FAILURE_LINK_REFUSED, /* nothing of the request was written */
	FAILURE_LINK_LOST,    /* written at least in part, and no answer */

	/* Refused by the target's daemon. */
	FAILURE_QUEUE_FULL,
	FAILURE_TARGET_DRAINING,
	FAILURE_TARGET_DEADLINE, /* it could not meet the deadline */
	FAILURE_VERSION,	 /* its configuration lacks the route */
	FAILURE_TARGET_UNSOUND,	 /* its backend server fails requests */

	/* The backend server. */
	FAILURE_BACKEND_REFUSED, /* refused the connection */
	FAILURE_BACKEND_SHED,	 /* 503 with Godwitspur-Shed: 1 */
	FAILURE_BACKEND_FAILED,	 /* answered with a failure; retryable */
	FAILURE_BACKEND_LOST,	 /* connection lost after sending */
	FAILURE_DEADLINE,	 /* the deadline passed while it ran */
	FAILURE_TRUNCATED,	 /* connection lost within the response */

	/* The caller closed its connection while the request was in flight. */
	FAILURE_CANCELLED,

	/* Tickets of routes with at_most_once. */
	FAILURE_TICKET_NEEDED,
	FAILURE_TICKET_TOO_FAR, /* expiry beyond the lifetime of tickets */
	FAILURE_TICKET_RECORDS, /* the table of records is full */
	FAILURE_TICKET_REFUSED, /* was answered not-run and will not run */
	FAILURE_TICKET_EXPIRED,
	FAILURE_TICKET_INCARNATION,   /* issued by another incarnation */
	FAILURE_TICKET_UNREACHABLE,   /* its host cannot be reached */
	FAILURE_TICKET_RUNNING,	      /* the first copy is still running */
	FAILURE_TICKET_OTHER_REQUEST, /* used by another request */
	FAILURE_TICKET_RAN,	      /* ran; the answer is not stored */

	/* The organisation of the request. */
	FAILURE_QUOTA,	     /* its allowance is used up */
	FAILURE_KEY_REVOKED, /* while the request waited */

	FAILURE_REASONS /* the number of reasons */
};

/* One row of the failure table. */
struct failure {
	const char *name; /* for log lines and counters: "queue-full" */
	enum outcome outcome;
	/*
	 * The HTTP status of the answer to the caller; 0 if the status of the
	 * backend server is forwarded (FAILURE_NONE) or the connection is
	 * closed (FAILURE_TRUNCATED).
	 */
	int status;
	/* Whether another target, or the same one later, may succeed. */
	bool another_may_help;
	/* Whether it counts towards the ejection of the target. */
	bool counts_for_ejection;
};

/* The row of a reason; that of FAILURE_LINK_LOST if it is out of range. */
const struct failure *failure_get(enum failure_reason reason);

/* Parses the name of a reason; false for anything else. */
bool failure_parse(enum failure_reason *reason, const char *name);

/* The reason of a request that the backend server's queue refuses. */
enum failure_reason failure_of_refusal(enum admit_verdict verdict);

/* GET, HEAD, OPTIONS, PUT and DELETE; names are case-sensitive. */
bool method_is_idempotent(const char *method);

/*
 * Whether the outcome of a failed attempt permits a retry. Requests with a
 * ticket may be retried only at the host that the ticket names.
 */
bool retry_allowed(enum failure_reason reason, bool idempotent,
		   bool at_most_once);

/*
 * The retry budget of one service at one ingress: a token bucket that holds
 * RETRY_BURST retries and gains retry_ratio_percent of a retry with every
 * request. It is full initially.
 */
#define RETRY_BURST 10

struct retry_budget {
	int64_t hundredths; /* of a retry */
};

void retry_budget_init(struct retry_budget *budget);

/* Counts a request (not a retry) of the service; ratio_percent is 0..100. */
void retry_budget_request(struct retry_budget *budget, int ratio_percent);

/* Takes one retry; false, and nothing taken, when less than one is left. */
bool retry_budget_take(struct retry_budget *budget);

/*
 * The context of a request. It is sent to the backend server in the header
 * Godwitspur-Context, and the backend server copies it to the calls that it
 * makes for this request.
 */
#define CONTEXT_HEADER "Godwitspur-Context"
#define CONTEXT_HOPS_MAX 25
#define CONTEXT_RETRIES_MAX 5
/* Bytes that request_context_format() needs, including the NUL. */
#define CONTEXT_TEXT_MAX 64

struct request_context {
	int64_t deadline_wall_ms; /* 0..2^53-1 */
	int hops;		  /* left, 0..CONTEXT_HOPS_MAX */
	int retries;		  /* left, 0..CONTEXT_RETRIES_MAX */
};

/* The context of a request that arrives without one. */
void request_context_first(struct request_context *context, int64_t now_wall_ms,
			   int deadline_ms, int retry_max);

/*
 * Parses deadline=<unix ms>;hops=<left>;retries=<left> exactly: this order, no
 * spaces, no signs, no leading zeros, values in range. False otherwise, and
 * context is unchanged; the request is then FAILURE_BAD_REQUEST.
 */
bool request_context_parse(struct request_context *context, const char *text);

/* Writes the form that request_context_parse() accepts. */
void request_context_format(const struct request_context *context,
			    char text[CONTEXT_TEXT_MAX]);

/*
 * Applies the settings of the route to the context of an arriving request: next
 * gets the earlier of the deadline and now + deadline_ms, the smaller of
 * retries and retry_max, and one hop less. False when no hops are left
 * (FAILURE_HOPS). arrived and next may be the same object.
 */
bool request_context_next(const struct request_context *arrived,
			  int64_t now_wall_ms, int deadline_ms, int retry_max,
			  struct request_context *next);

/*
 * The attempts of one request at one ingress.
 *
 * The retries of a request are shared by the whole chain of calls: of the r
 * retries in the arriving context, the ingress passes p on with an attempt and
 * keeps the others. An attempt that ended not-run made no calls, so its p
 * retries are available again; after an unknown outcome they count as used.
 * With h hops left and r retries the chain sends at most T(h, r) = h (1 + r)
 * requests:
 *
 *	T(h, r) = 1 + T(h-1, p) + T(h, r-p-1)		unknown, p passed on
 *		<= 1 + (h-1)(1+p) + h (r-p) = h (1+r) - p
 *	T(h, r) = 1 + T(h, r-1) <= h (1+r)		not-run
 *
 * which is 25 x 3 = 75 for 25 hops and 2 retries. If each hop retried
 * independently, the last one alone would get 3^25 requests.
 */
struct retry_attempts {
	int kept;		/* retries that this ingress may still use */
	int passed;		/* retries passed on with the current attempt */
	bool may_retry_unknown; /* an unknown outcome may be retried */
};

/*
 * Initializes attempts with the retries of a context that
 * request_context_next() returned. If an unknown outcome may be retried, half
 * of the retries, rounded up, is kept; otherwise all are passed on.
 */
void retry_attempts_init(struct retry_attempts *attempts,
			 const struct request_context *context, bool idempotent,
			 bool at_most_once);

/* Whether a failed attempt is retried, or why not. */
enum retry_decision {
	RETRY_YES,
	RETRY_NO_OUTCOME,  /* retry_allowed() forbids it */
	RETRY_NO_USE,	   /* another target would fail as well */
	RETRY_NO_LEFT,	   /* no retries left */
	RETRY_NO_DEADLINE, /* the deadline has passed */
	RETRY_NO_BUDGET,   /* the budget of the service is used up */
};

const char *retry_decision_name(enum retry_decision decision);

/*
 * Decides whether an attempt that ended with reason is retried. On RETRY_YES
 * one retry has been taken from budget and attempts, and attempts->passed is
 * the number of retries for the context of the next attempt.
 */
enum retry_decision retry_decide(struct retry_attempts *attempts,
				 struct retry_budget *budget,
				 enum failure_reason reason, bool idempotent,
				 bool at_most_once, int64_t now,
				 int64_t deadline);

/* State as JSON; the caller owns the reference. */
json_t *retry_budget_dump(const struct retry_budget *budget);

#endif

#ifndef ONCE_ONCE_H
#define ONCE_ONCE_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <urcu/list.h>

#include "base/cleanup.h"

/*
 * Tickets (idempotency keys issued by the daemon) and the records by which a
 * request runs at most once. One instance belongs to one incarnation of a
 * daemon; the owner serializes the calls with its lock.
 *
 * Use: once_begin() when a copy of a request arrives. After ONCE_RUN the
 * calling code owns the record and ends it with exactly one of
 *	once_finish()	the request was sent to the backend server,
 *	once_abort()	it certainly was not (refused by admission, connection
 *			refused, shed).
 * An answer `not-run` to a request with a ticket is permitted only after
 * once_abort() or once_refuse() returned true. They record the ticket as
 * refused, so that a delayed copy of the request cannot run after the answer;
 * the caller needs a new ticket then. If they return false, answer `unknown`.
 * A daemon that did not issue the ticket has no record of it and also answers
 * `unknown`.
 *
 * All times are nanoseconds of one monotonic clock of the owner. Wall time is
 * derived from it by an offset determined once in once_new(), so that setting
 * the wall clock back makes no ticket valid again. A `now` that is earlier than
 * a previous one is replaced by the previous one: a thread may read the clock
 * and wait for the lock while another one drops the expired record.
 */

#define TICKET_HOST_MAX 63 /* bytes of a host name */
#define TICKET_RANDOM_BYTES 16
/* Size of g1.HOST.INCARNATION.EXPIRY.RANDOM (16 hex, decimal, 32 hex), NUL. */
#define TICKET_TEXT_MAX (3 + TICKET_HOST_MAX + 1 + 16 + 1 + 19 + 1 + 32 + 1)

struct ticket {
	char host[TICKET_HOST_MAX + 1];
	uint64_t incarnation;
	int64_t expiry_wall_ms;
	unsigned char random[TICKET_RANDOM_BYTES];
};

/* Writes the text form; text holds TICKET_TEXT_MAX bytes. */
void ticket_format(const struct ticket *ticket, char *text);

/*
 * Parses the canonical text form, which ticket_format() writes; false for
 * anything else (upper case, leading zeros, spaces, a host name that does not
 * match [a-z0-9][a-z0-9-]{0,62}). The ticket is undefined then.
 */
bool ticket_parse(struct ticket *ticket, const char *text);

struct once_options {
	const char *host; /* own host name, copied */
	uint64_t incarnation;
	int64_t now;		/* monotonic time at which wall_ms was read */
	int64_t wall_ms;	/* wall time, read once at the start */
	int64_t ticket_life_ms; /* lifetime of issued tickets */
	/* Zero selects the default of each of the following. */
	int64_t expiry_slack_ms; /* 60,000: tolerance above ticket_life_ms */
	size_t max_records;	 /* 20,000 */
	size_t max_refusals;	 /* 20,000 */
	size_t answer_max_bytes; /* 16 KiB: larger answers are not stored */
	size_t answer_budget;	 /* 4 MiB for all stored answers */
};

enum once_verdict {
	ONCE_RUN,	    /* first copy: run it and own the record */
	ONCE_WAIT,	    /* the first copy is running: call once_wait() */
	ONCE_REPLAY,	    /* send the stored answer of once_answer() */
	ONCE_RAN,	    /* ran, answer not stored: answer `ran` */
	ONCE_UNKNOWN,	    /* was sent, result unknown: answer `unknown` */
	ONCE_REFUSED,	    /* was answered `not-run`: answer `not-run` */
	ONCE_OTHER_REQUEST, /* the ticket was used by another request;
			       this request did not run */
	ONCE_OTHER_INCARNATION, /* not issued here: answer `unknown` */
	ONCE_EXPIRED,		/* answer `unknown` */
	ONCE_TOO_FAR,		/* expiry too far ahead: once_refuse() */
	ONCE_TABLE_FULL		/* too many records: once_refuse() */
};

/* The name of the verdict for log lines. */
const char *once_verdict_name(enum once_verdict verdict);

enum once_outcome {
	ONCE_OUTCOME_RAN,    /* the backend server answered */
	ONCE_OUTCOME_UNKNOWN /* connection lost or deadline passed */
};

/*
 * A copy that waits for the end of the first copy; embedded in a structure of
 * the calling code, which gets it by caa_container_of().
 */
struct once_waiter {
	struct cds_list_head node;
};

struct once;
struct once_record;

/* Never NULL. */
struct once *once_new(const struct once_options *options);

/* Frees the records. No waiter may be left. */
void once_free(struct once *once);
DEFINE_CLEANUP(struct once, once_free)

/* Sets the ticket lifetime. Tickets with a longer previous one stay valid. */
void once_set_ticket_life(struct once *once, int64_t ticket_life_ms);

/*
 * Issues a ticket of this incarnation. The random bytes are supplied by the
 * calling code and must not repeat within an incarnation.
 */
void once_issue(struct once *once, int64_t now,
		const unsigned char random[TICKET_RANDOM_BYTES],
		struct ticket *ticket);

/*
 * Decides about a copy that has arrived. request is the fingerprint of the
 * request; a ticket runs with only one fingerprint. *record is set for
 * ONCE_RUN, ONCE_WAIT and ONCE_REPLAY, else NULL; for ONCE_REPLAY it is valid
 * until the next call on this instance.
 */
enum once_verdict once_begin(struct once *once, const struct ticket *ticket,
			     uint64_t request, int64_t now,
			     struct once_record **record);

/* Adds a waiter to the record of ONCE_WAIT. */
void once_wait(struct once_record *record, struct once_waiter *waiter);

/* Removes a waiter whose deadline has passed. Answer it `unknown`. */
void once_wait_cancel(struct once_waiter *waiter);

/* The stored answer of ONCE_REPLAY; owned by the record. */
const void *once_answer(const struct once_record *record, size_t *len);

/*
 * Ends a record whose request was sent. The answer is copied if the outcome is
 * ONCE_OUTCOME_RAN, answer is not NULL and its length is at most
 * answer_max_bytes; the oldest stored answers are dropped to meet
 * answer_budget. The waiters are moved to the list waiters, which is
 * initialized here; send them the same answer.
 */
void once_finish(struct once *once, struct once_record *record,
		 enum once_outcome outcome, const void *answer, size_t len,
		 int64_t now, struct cds_list_head *waiters);

/*
 * Ends a record whose request certainly did not run. True: the ticket is
 * recorded as refused and will never run; answer `not-run` to the owner and to
 * the waiters. False: the table of refusals is full; answer `unknown` to them.
 */
bool once_abort(struct once *once, struct once_record *record, int64_t now,
		struct cds_list_head *waiters);

/*
 * Records a ticket that has no record as refused, so that it never runs; answer
 * `not-run`. False when that is not possible or the ticket has a record of
 * another state; answer `unknown`.
 */
bool once_refuse(struct once *once, const struct ticket *ticket, int64_t now);

/* Drops expired records that are not running; returns their number. */
size_t once_expire(struct once *once, int64_t now);

/* When the next record expires; INT64_MAX for never. */
int64_t once_next_expiry(const struct once *once);

/* State as JSON; the caller owns the reference. */
json_t *once_dump(const struct once *once);

#endif

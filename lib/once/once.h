#ifndef ONCE_ONCE_H
#define ONCE_ONCE_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <urcu/list.h>

#include "base/cleanup.h"

/*
 * Tickets and the records that make a request run at most once. One instance
 * belongs to one incarnation of a daemon; the owner serializes the calls with
 * its lock.
 *
 * Use: once_begin() when a copy of a request arrives. ONCE_RUN makes the
 * calling code the owner of the record; it ends with exactly one of
 *	once_finish()	the request was sent to the backend server,
 *	once_abort()	it certainly was not (refused by admission, connection
 *			refused, shed).
 * Every answer `not-run` to a request with a ticket must come from
 * once_abort() or once_refuse(): they remember the ticket, so that a delayed
 * copy of it cannot run after the answer said that it did not. The caller
 * needs a fresh ticket then. Answer `unknown` where these two return false.
 * A daemon that is not the ticket's owner cannot
 * know this and answers `unknown`.
 *
 * All times are nanoseconds of one monotonic clock of the owner. Wall time is
 * derived from it by an offset taken once in once_new(), so that a wall clock
 * set back makes no ticket valid again. A `now` below one that was given
 * before counts as the latter: a thread may read the clock, wait for the lock
 * and come after another thread that already dropped the expired record.
 */

#define TICKET_HOST_MAX 63 /* bytes of a host name */
#define TICKET_RANDOM_BYTES 16
/* g1.HOST.INCARNATION(16 hex).EXPIRY(decimal).RANDOM(32 hex) and NUL. */
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
 * Parses the only text form that ticket_format() writes; false for anything
 * else (upper case, leading zeros, spaces, a host name outside
 * [a-z0-9][a-z0-9-]{0,62}). The ticket is undefined then.
 */
bool ticket_parse(struct ticket *ticket, const char *text);

struct once_options {
	const char *host; /* own host name, copied */
	uint64_t incarnation;
	int64_t now;		/* monotonic time of the reading of wall_ms */
	int64_t wall_ms;	/* wall time read once at the start */
	int64_t ticket_life_ms; /* lifetime of issued tickets */
	/* Zero selects the default of each of the following. */
	int64_t expiry_slack_ms; /* 60,000: accepted beyond ticket_life_ms */
	size_t max_records;	 /* 20,000 */
	size_t max_refusals;	 /* 20,000 */
	size_t answer_max_bytes; /* 16 KiB: larger answers are not stored */
	size_t answer_budget;	 /* 4 MiB for all stored answers */
};

enum once_verdict {
	ONCE_RUN,		/* first copy: run it, own the record */
	ONCE_WAIT,		/* first copy is running: once_wait() */
	ONCE_REPLAY,		/* once_answer() has the stored answer */
	ONCE_RAN,		/* ran, no answer is stored: `ran` */
	ONCE_UNKNOWN,		/* was sent, its end is unknown: `unknown` */
	ONCE_REFUSED,		/* answered `not-run` before: `not-run` */
	ONCE_OTHER_REQUEST,	/* the ticket belongs to another request:
				   this request did not run */
	ONCE_OTHER_INCARNATION, /* not our ticket: `unknown` */
	ONCE_EXPIRED,		/* `unknown` */
	ONCE_TOO_FAR,		/* expiry too far ahead: once_refuse() */
	ONCE_TABLE_FULL		/* no room for a record: once_refuse() */
};

/* The verdict as a word for log lines. */
const char *once_verdict_name(enum once_verdict verdict);

enum once_outcome {
	ONCE_OUTCOME_RAN,    /* the backend server answered */
	ONCE_OUTCOME_UNKNOWN /* connection lost or deadline passed */
};

/*
 * A second copy that waits for the end of the first; embedded by the calling
 * code, which finds its own structure with caa_container_of().
 */
struct once_waiter {
	struct cds_list_head node;
};

struct once;
struct once_record;

/* Never NULL. */
struct once *once_new(const struct once_options *options);

/* Frees the records. No waiter may be waiting. */
void once_free(struct once *once);
DEFINE_CLEANUP(struct once, once_free)

/*
 * Takes a new ticket lifetime. Tickets issued under a longer one stay valid.
 */
void once_set_ticket_life(struct once *once, int64_t ticket_life_ms);

/*
 * Issues a ticket of this incarnation. The random bytes come from the calling
 * code; they must not repeat within an incarnation.
 */
void once_issue(struct once *once, int64_t now,
		const unsigned char random[TICKET_RANDOM_BYTES],
		struct ticket *ticket);

/*
 * Decides about an arrived copy. request is a fingerprint of the request; a
 * ticket that comes with another one is not run. *record is set for ONCE_RUN,
 * ONCE_WAIT and ONCE_REPLAY, else NULL; for ONCE_REPLAY it is valid until the
 * next call on this instance.
 */
enum once_verdict once_begin(struct once *once, const struct ticket *ticket,
			     uint64_t request, int64_t now,
			     struct once_record **record);

/* Adds a waiter to the record of ONCE_WAIT. */
void once_wait(struct once_record *record, struct once_waiter *waiter);

/* Takes a waiter off whose own deadline passed. Answer it `unknown`. */
void once_wait_cancel(struct once_waiter *waiter);

/* The stored answer of ONCE_REPLAY; owned by the record. */
const void *once_answer(const struct once_record *record, size_t *len);

/*
 * Ends a record whose request was sent. The answer is copied when the outcome
 * is ONCE_OUTCOME_RAN, it is not above answer_max_bytes and answer is not
 * NULL; the oldest stored answers make room. The waiters are moved to the
 * list head waiters, which is initialized here; answer them the same.
 */
void once_finish(struct once *once, struct once_record *record,
		 enum once_outcome outcome, const void *answer, size_t len,
		 int64_t now, struct cds_list_head *waiters);

/*
 * Ends a record whose request certainly did not run. True: the ticket will
 * never run, answer `not-run` to the owner and to the waiters. False: there
 * was no room to remember that, answer them `unknown`.
 */
bool once_abort(struct once *once, struct once_record *record, int64_t now,
		struct cds_list_head *waiters);

/*
 * Remembers that a ticket without a record is answered `not-run`. False when
 * that cannot be remembered or the ticket has a record: answer `unknown`.
 */
bool once_refuse(struct once *once, const struct ticket *ticket, int64_t now);

/* Drops expired records; returns their number. Records that run stay. */
size_t once_expire(struct once *once, int64_t now);

/* When once_expire() next has something to do; INT64_MAX for never. */
int64_t once_next_expiry(const struct once *once);

/* Counts and sizes of the state; the caller owns the reference. */
json_t *once_dump(const struct once *once);

#endif

#ifndef QUARANTINE_QUARANTINE_H
#define QUARANTINE_QUARANTINE_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/cleanup.h"

/*
 * Quarantine of requests that crash backend servers, by fingerprint. The owner
 * serializes the calls with its lock.
 *
 * A crash of a backend server is counted against each fingerprint in flight on
 * it, once for each crash even if several copies were in flight. A fingerprint
 * with `crashes` crashes, on any hosts and each within quarantine_ns of the one
 * before, is refused until quarantine_ns after the last one. With `crashes`
 * above 1, a request that was in flight during a single crash is not refused,
 * and its next success resets its count.
 *
 * Crashes are counted for each origin, which is one incarnation of a daemon.
 * Counts, and the numbers of crashes cleared by a success, are merged by
 * maximum, so that entries received twice or out of order change nothing.
 * Entries are sent with the time left. Receiving a known entry does not extend
 * its end, so that peers do not keep each other's entries alive.
 */

#define QUARANTINE_EXPORT_MAX 16

/* Crashes of one fingerprint at one origin, as exchanged with peers. */
struct quarantine_entry {
	uint64_t fingerprint;
	uint64_t origin;  /* quarantine_origin() */
	uint32_t count;	  /* crashes counted by the origin, at least 1 */
	uint32_t cleared; /* how many of them preceded a success */
	uint32_t left_ms; /* time until the entry ends */
};

struct quarantine_options {
	uint64_t origin;       /* of the owner: quarantine_origin() */
	int crashes;	       /* 1 or more */
	int64_t quarantine_ns; /* more than 0 */
	size_t max_entries;    /* 0: 1,024 */
};

struct quarantine;

/* xxHash64 of service, method, path and body; their boundaries matter. */
uint64_t quarantine_fingerprint(const char *service, const char *method,
				const char *path, const void *body,
				size_t body_len);

/*
 * Identifies one incarnation of a daemon, with the same value on every host.
 * After a restart a daemon counts from 1 again; the new incarnation separates
 * that count from the old one.
 */
uint64_t quarantine_origin(const char *host, uint64_t incarnation);

/* Never NULL. */
struct quarantine *quarantine_new(const struct quarantine_options *options);
void quarantine_free(struct quarantine *quarantine);
DEFINE_CLEANUP(struct quarantine, quarantine_free)

/* Applies new settings; the origin and max_entries do not change. */
void quarantine_set_policy(struct quarantine *quarantine, int crashes,
			   int64_t quarantine_ns);

/* True when the fingerprint must be refused now; *until may be NULL. */
bool quarantine_check(const struct quarantine *quarantine, uint64_t fingerprint,
		      int64_t now, int64_t *until);

/*
 * Counts a crash of the local backend server while the fingerprint was in
 * flight. life numbers the lives of the backend server from 1
 * (admit_request.life); a second report of a life and fingerprint, or one of an
 * older life, changes nothing. *entry, unless NULL, is set to the entry to send
 * in the answer.
 */
void quarantine_crash(struct quarantine *quarantine, uint64_t fingerprint,
		      uint64_t life, int64_t now,
		      struct quarantine_entry *entry);

/* Clears the crashes of a fingerprint that a backend server answered. */
void quarantine_success(struct quarantine *quarantine, uint64_t fingerprint,
			int64_t now);

/*
 * Merges an entry received from a peer or in an answer; true when it changed
 * the state.
 */
bool quarantine_merge(struct quarantine *quarantine,
		      const struct quarantine_entry *received, int64_t now);

/*
 * Writes up to max entries to send to a peer, the least recently sent first;
 * returns their number.
 */
size_t quarantine_export(struct quarantine *quarantine, int64_t now,
			 struct quarantine_entry *entries, size_t max);

/*
 * Writes up to max of the entries that have changed after a position, in the
 * order of their changes, and moves the position behind them; returns their
 * number. Position 0 is before all changes, for a peer that knows none. Unlike
 * quarantine_export(), this lets each peer get each change once.
 */
size_t quarantine_export_after(const struct quarantine *quarantine,
			       uint64_t *position, int64_t now,
			       struct quarantine_entry *entries, size_t max);

/* Drops the entries that have expired; returns the number of those left. */
size_t quarantine_expire(struct quarantine *quarantine, int64_t now);

/* State as JSON; the caller owns the reference. */
json_t *quarantine_dump(const struct quarantine *quarantine, int64_t now);

#endif

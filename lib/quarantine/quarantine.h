#ifndef QUARANTINE_QUARANTINE_H
#define QUARANTINE_QUARANTINE_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/cleanup.h"

/*
 * Requests that crash backend servers, by fingerprint. The owner serializes
 * the calls with its lock.
 *
 * A crash is counted against each fingerprint that was in flight on the
 * crashed backend server, once for each crash however many copies were. At
 * `crashes` crashes, on any hosts and each within quarantine_ns of the one
 * before, the fingerprint is refused until quarantine_ns after the last one. A
 * request that was merely in flight during one crash stays below that number,
 * and its next success resets its count.
 *
 * Counts are kept for each origin (a run of a daemon) and merged by maximum,
 * the number of those cleared by a success likewise, so that entries told
 * twice or out of order change nothing. Entries carry the time left; an entry
 * that is already known never gets a later end, so that peers do not keep each
 * other's entries alive.
 */

#define QUARANTINE_TELL_MAX 16

/* Crashes of one fingerprint seen by one origin, as told to peers. */
struct quarantine_entry {
	uint64_t fingerprint;
	uint64_t origin;  /* quarantine_origin() */
	uint32_t count;	  /* crashes that the origin saw, at least 1 */
	uint32_t cleared; /* those of them before a later success */
	uint32_t left_ms; /* time until it ends */
};

struct quarantine_options {
	uint64_t origin;       /* of the owner: quarantine_origin() */
	int crashes;	       /* 1 or more */
	int64_t quarantine_ns; /* more than 0 */
	size_t max_entries;    /* 0: 1,024 */
};

struct quarantine;

/* The xxHash64 of service, method, path and body, each with its length. */
uint64_t quarantine_fingerprint(const char *service, const char *method,
				const char *path, const void *body,
				size_t body_len);

/*
 * Names one run of a daemon, the same on every host. The incarnation keeps a
 * restarted daemon's count, which starts at 1 again, apart from the old one.
 */
uint64_t quarantine_origin(const char *host, uint64_t incarnation);

/* Never NULL. */
struct quarantine *quarantine_new(const struct quarantine_options *options);
void quarantine_free(struct quarantine *quarantine);
DEFINE_CLEANUP(struct quarantine, quarantine_free)

/* Takes new settings; the origin and max_entries stay. */
void quarantine_set_policy(struct quarantine *quarantine, int crashes,
			   int64_t quarantine_ns);

/* True when the fingerprint must be refused now; *until may be NULL. */
bool quarantine_check(const struct quarantine *quarantine, uint64_t fingerprint,
		      int64_t now, int64_t *until);

/*
 * The own backend server crashed while the fingerprint was in flight. life
 * is that of the request (admit_request.life, from 1); a second report of a
 * life and fingerprint, or one of an older life, changes nothing. *entry,
 * unless NULL, is what to tell the ingress in the answer.
 */
void quarantine_crash(struct quarantine *quarantine, uint64_t fingerprint,
		      uint64_t life, int64_t now,
		      struct quarantine_entry *entry);

/* The fingerprint was answered by a backend server: it is not suspect. */
void quarantine_success(struct quarantine *quarantine, uint64_t fingerprint,
			int64_t now);

/* Takes an entry told by a peer or in an answer; true when it was news. */
bool quarantine_merge(struct quarantine *quarantine,
		      const struct quarantine_entry *told, int64_t now);

/*
 * Writes up to max entries to tell a peer, those told the longest time ago
 * first; returns their number.
 */
size_t quarantine_tell(struct quarantine *quarantine, int64_t now,
		       struct quarantine_entry *entries, size_t max);

/* Drops what has ended; returns the number of entries kept. */
size_t quarantine_expire(struct quarantine *quarantine, int64_t now);

/* State as JSON; the caller owns the reference. */
json_t *quarantine_dump(const struct quarantine *quarantine, int64_t now);

#endif

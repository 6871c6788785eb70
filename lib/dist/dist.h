#ifndef DIST_DIST_H
#define DIST_DIST_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <urcu/list.h>

#include "base/digest.h"
#include "base/findings.h"
#include "base/rng.h"
#include "member/member.h"

/*
 * Configuration distribution of one daemon. Decides which version is the
 * newest, what to fetch from which peer, whether to accept a version, which
 * peers to announce it to, when to read the source and when to start serving.
 *
 * Pure: no I/O, no clock. Events with a monotonic time in nanoseconds are the
 * input; actions are the output, on a list that the caller drains after every
 * event. Not thread safe; one control thread owns an instance.
 */

/* Limits of the manifest and of the parts of one version. */
#define DIST_VALUE_MAX (1024 * 1024)
#define DIST_PARTS_MAX 8192
#define DIST_TREE_MAX (INT64_C(16) * 1024 * 1024)
#define DIST_NUMBER_MAX ((INT64_C(1) << 53) - 1)

/* Crash entries in one ANNOUNCE. */
#define DIST_CRASHES_MAX 16

/* Default of the daemon setting source_interval_ms. */
#define DIST_SOURCE_INTERVAL_MS 1000

/* Longest time that a watch of the source waits for a change. */
#define DIST_WATCH_MS 10000

/* Immutable bytes with their SHA-256; the reference count is atomic. */
struct blob {
	int refs;
	struct digest digest;
	size_t len;
	char bytes[]; /* a NUL follows that is not counted in len */
};

/* Copies len bytes and computes their digest. */
struct blob *blob_new(const void *bytes, size_t len);
struct blob *blob_ref(struct blob *blob);
void blob_unref(struct blob *blob);

/* One part of a version. */
struct dist_part {
	char *name;
	struct digest digest;
	size_t bytes;
	struct blob *blob; /* NULL while missing */
};

/*
 * A version: its manifest and its parts, sorted by name. Reference counted.
 * Passed to the caller only when complete, and immutable from then on.
 */
struct dist_version {
	int refs;
	struct version_id id;
	struct blob *manifest;
	size_t nr_parts;
	struct dist_part *parts;
	size_t nr_missing;
	uint32_t *by_digest; /* indexes of parts, sorted by digest */
};

struct dist_version *dist_version_ref(struct dist_version *version);
void dist_version_unref(struct dist_version *version);

/*
 * Parses a manifest. Returns NULL and adds errors to findings when it is
 * invalid; *number is the version number, or 0 when that is invalid too.
 */
struct dist_version *dist_version_parse(struct blob *manifest,
					struct findings *findings,
					int64_t *number);

/*
 * Checks the content of a complete version. Must be a pure function of the
 * manifest and the parts, so that all daemons of one build agree.
 */
struct dist_validator {
	/* Returns false and adds errors to findings to refuse the version. */
	bool (*accept)(void *ctx, const struct dist_version *version,
		       struct findings *findings);
};

/*
 * How versions are distributed. Both policies use the same events and actions.
 * With dist_policy_gossip, the default, few daemons read the source and all
 * fetch from each other. dist_policy_direct is the baseline for comparison:
 * every daemon watches the source and reads all parts from it.
 */
struct dist_policy;
extern const struct dist_policy dist_policy_gossip;
extern const struct dist_policy dist_policy_direct;

/* Safety rules; tests inject faults by replacing them. See dist_rules.h. */
struct dist_rules;

struct dist_options {
	uint64_t incarnation;
	struct member *member; /* borrowed; only dist_host_list() updates it */
	struct rng *rng;       /* borrowed */
	const struct dist_validator *validator; /* borrowed */
	void *validator_ctx;
	const struct dist_policy *policy; /* NULL: dist_policy_gossip */
	const struct dist_rules *rules;	  /* NULL: dist_rules_default */
	int64_t source_interval_ms;	  /* 0: DIST_SOURCE_INTERVAL_MS */
	int64_t now;			  /* start of the process */
};

struct dist;

struct dist *dist_new(const struct dist_options *options);
void dist_free(struct dist *dist);
json_t *dist_dump(const struct dist *dist, int64_t now);

/* Crashes of backend servers, transported for the quarantine library. */
struct dist_crash {
	uint64_t fingerprint;
	uint64_t origin; /* quarantine_origin() of the daemon that counted */
	uint32_t count;
	uint32_t cleared; /* crashes before a later success */
	uint32_t left_ms; /* time until the entry expires */
};

/*
 * Content of ANNOUNCE, both of the call and of the answer. The sender has
 * in_force complete; candidate is a newer version that it does not have
 * complete. An absent id has number 0.
 */
struct dist_announce {
	char host[MEMBER_NAME_MAX + 1];
	char control[MEMBER_CONTROL_MAX + 1];
	uint64_t incarnation;
	struct version_id in_force;
	struct version_id candidate;
	/* Age of the newest confirmation known to the sender; -1: none. */
	int64_t confirmation_age_ms;
	size_t nr_crashes;
	struct dist_crash crashes[DIST_CRASHES_MAX];
};

enum dist_procedure {
	DIST_ANNOUNCE = 1,
	DIST_GET_MANIFEST = 2,
	DIST_GET_PART = 3
};

enum dist_outcome {
	DIST_VALUE,	/* success, with the bytes */
	DIST_UNCHANGED, /* a watch ended, or the value equals known */
	DIST_MISSING,	/* answered that the key or value does not exist */
	DIST_FAILED	/* no answer, or an invalid one */
};

/* A call to the source. Pass its result to dist_source_result(). */
struct dist_source_call {
	uint64_t call;
	bool is_part;	      /* key part/DIGEST, else key manifest */
	struct digest digest; /* of the part */
	int64_t wait_ms;      /* 0: read at once; else wait for a change */
	bool has_known;	      /* known is set */
	struct digest known; /* of the manifest read last; UNCHANGED if equal */
	int64_t deadline;
};

/*
 * A call to a peer. Pass its result to dist_peer_announced() or
 * dist_peer_result().
 */
struct dist_peer_call {
	uint64_t call;
	char host[MEMBER_NAME_MAX + 1]; /* empty for a seed */
	char control[MEMBER_CONTROL_MAX + 1];
	enum dist_procedure procedure;
	struct dist_announce *announce; /* ANNOUNCE only; owned here */
	struct version_id id;		/* GET_MANIFEST */
	struct digest digest;		/* GET_PART */
	int64_t deadline;
};

enum dist_action_kind {
	DIST_ACTION_SOURCE,  /* .source: call the source */
	DIST_ACTION_PEER,    /* .peer: call a peer */
	DIST_ACTION_ACCEPT,  /* .version: publish; in force if serving */
	DIST_ACTION_SERVE,   /* the start gate opened; emitted once */
	DIST_ACTION_CRASHES, /* .crashes: received from a peer */
	DIST_ACTION_LOG	     /* .log: write a log line */
};

struct dist_action {
	struct cds_list_head node;
	enum dist_action_kind kind;
	union {
		struct dist_source_call source;
		struct dist_peer_call peer;
		struct dist_version *version; /* a reference */
		struct {
			size_t nr;
			struct dist_crash entries[DIST_CRASHES_MAX];
		} crashes;
		struct {
			int priority; /* of syslog */
			const char *event;
			char *text; /* key=value pairs */
		} log;
	};
};

/* Removes the oldest action from the list; NULL when the list is empty. */
struct dist_action *dist_next_action(struct dist *dist);
void dist_action_free(struct dist_action *action);

/*
 * Events. Blobs and lists are borrowed; dist takes its own references to those
 * that it keeps. id is the `call` of the action. A call whose deadline passed
 * counts as failed and may be retried; pass an answer that arrives later too,
 * as its bytes are still used.
 */

/* The host list was read; reading it is left to the caller. */
void dist_host_list(struct dist *dist, struct host_list *list, int64_t now);

/* A call to the source ended; blob is set with DIST_VALUE only. */
void dist_source_result(struct dist *dist, uint64_t id,
			enum dist_outcome outcome, struct blob *blob,
			int64_t now);

/* A peer answered ANNOUNCE. */
void dist_peer_announced(struct dist *dist, uint64_t id,
			 const struct dist_announce *answer, int64_t now);

/* GET_MANIFEST or GET_PART ended, or any call to a peer failed. */
void dist_peer_result(struct dist *dist, uint64_t id, enum dist_outcome outcome,
		      struct blob *blob, int64_t now);

/* A peer called ANNOUNCE; fills the answer. */
void dist_on_announce(struct dist *dist, const struct dist_announce *call,
		      struct dist_announce *answer, int64_t now);

/* A peer called; returns a reference, or NULL when the value is missing. */
struct blob *dist_on_get_manifest(struct dist *dist,
				  const struct version_id *id);
struct blob *dist_on_get_part(struct dist *dist, const struct digest *digest);

/* Runs the timers that are due. Call it at dist_next_deadline() at least. */
void dist_tick(struct dist *dist, int64_t now);
int64_t dist_next_deadline(const struct dist *dist);

/*
 * The control loop detected that the process was paused. dist detects a pause
 * between two of its events itself; this is for pauses that it cannot see.
 */
void dist_paused(struct dist *dist, int64_t now);

/* Sets the crash entries to announce; a new one is announced immediately. */
void dist_set_crashes(struct dist *dist, const struct dist_crash *crashes,
		      size_t nr, int64_t now);

/* A planned stop: starts no more calls, but still answers those of peers. */
void dist_stop(struct dist *dist, int64_t now);

/* State for operators. */

/* Whether the start gate is open. */
bool dist_is_serving(const struct dist *dist);

/* The accepted version; NULL before the first. Borrowed. */
struct dist_version *dist_in_force(const struct dist *dist);

/* The newest id known that is not refused; number 0 when none is known. */
struct version_id dist_newest_known(const struct dist *dist);

/* Whether another manifest with the number in force was announced or read. */
bool dist_has_conflict(const struct dist *dist);

struct dist_refusal {
	struct cds_list_head node;
	struct version_id id; /* number 0: the manifest's number is invalid */
	struct findings findings;
};

/* Refused versions above the one in force; struct dist_refusal. */
const struct cds_list_head *dist_refusals(const struct dist *dist);

/*
 * The version in force that a member last announced, and when; false when no
 * announcement of it arrived.
 */
bool dist_member_version(const struct dist *dist, const char *host,
			 struct version_id *id, int64_t *received);

/* Number of calls to the source so far. */
uint64_t dist_source_calls(const struct dist *dist);

#endif

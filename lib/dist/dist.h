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
 * Configuration distribution of one daemon (design sections 6 and 13): which
 * version is newest, what to fetch from whom, accept or refuse, whom to tell,
 * when to read the source, when to start serving.
 *
 * Pure: events with a monotonic time in nanoseconds go in, actions come out on
 * a list that the caller drains after every event. Not thread safe; one
 * control thread owns an instance.
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

/* Longest wait of a watch of the source. */
#define DIST_WATCH_MS 10000

/* Immutable bytes with their SHA-256, shared by an atomic reference count. */
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
 * A version: its manifest and parts, sorted by name. Shared by reference
 * count. Handed out only when complete, and immutable from then on.
 */
struct dist_version {
	int refs;
	struct version_id id;
	struct blob *manifest;
	size_t nr_parts;
	struct dist_part *parts;
	size_t nr_missing;
	uint32_t *by_digest; /* indexes of parts in the order of digests */
};

struct dist_version *dist_version_ref(struct dist_version *version);
void dist_version_unref(struct dist_version *version);

/*
 * Parses a manifest. Returns NULL with errors in findings when it is invalid;
 * *number is then the version number if that much could be read, else 0.
 */
struct dist_version *dist_version_parse(struct blob *manifest,
					struct findings *findings,
					int64_t *number);

/*
 * Decides about the content of a complete version. Must be a pure function of
 * the manifest and the parts, so that all daemons of one build agree.
 */
struct dist_validator {
	/* False with errors in findings when the version is refused. */
	bool (*accept)(void *ctx, const struct dist_version *version,
		       struct findings *findings);
};

/*
 * How versions spread. Both tables stand behind the same events and actions:
 * dist_policy_gossip is the policy of the design, dist_policy_direct the
 * baseline in which every daemon watches the source and reads whole values.
 */
struct dist_policy;
extern const struct dist_policy dist_policy_gossip;
extern const struct dist_policy dist_policy_direct;

/* Rules of safety as a table; tests plant faults in it. See dist_rules.h. */
struct dist_rules;

struct dist_options {
	uint64_t incarnation;
	struct member *member; /* borrowed; fed by dist_host_list() only */
	struct rng *rng;       /* borrowed */
	const struct dist_validator *validator; /* borrowed */
	void *validator_ctx;
	const struct dist_policy *policy; /* NULL: dist_policy_gossip */
	const struct dist_rules *rules;	  /* NULL: the rules of the design */
	int64_t source_interval_ms;	  /* 0: DIST_SOURCE_INTERVAL_MS */
	int64_t now;			  /* start of the process */
};

struct dist;

struct dist *dist_new(const struct dist_options *options);
void dist_free(struct dist *dist);
json_t *dist_dump(const struct dist *dist, int64_t now);

/* A crash of a backend server, carried for the quarantine library. */
struct dist_crash {
	uint64_t fingerprint;
	uint64_t origin; /* the run of a daemon that counted */
	uint32_t count;
	uint32_t cleared; /* crashes before a later success */
	uint32_t left_ms; /* until the entry ends */
};

/*
 * Content of ANNOUNCE, of the call and of the answer. in_force is complete at
 * the sender; candidate is a newer version that the sender knows and does not
 * hold in whole. An absent id has number 0.
 */
struct dist_announce {
	char host[MEMBER_NAME_MAX + 1];
	char control[MEMBER_CONTROL_MAX + 1];
	uint64_t incarnation;
	struct version_id in_force;
	struct version_id candidate;
	int64_t confirmation_age_ms; /* newest known; -1 when none */
	size_t nr_crashes;
	struct dist_crash crashes[DIST_CRASHES_MAX];
};

enum dist_procedure {
	DIST_ANNOUNCE = 1,
	DIST_GET_MANIFEST = 2,
	DIST_GET_PART = 3
};

enum dist_outcome {
	DIST_VALUE,	/* the bytes are there */
	DIST_UNCHANGED, /* a watch ended, or the value is the known one */
	DIST_MISSING,	/* answered; the key or value is not there */
	DIST_FAILED	/* no answer, or one that cannot be read */
};

/* A call of the source. The caller passes the result to dist_source_result. */
struct dist_source_call {
	uint64_t call;
	bool is_part;	      /* key part/DIGEST, else key manifest */
	struct digest digest; /* of the part */
	int64_t wait_ms;      /* 0: read at once; else wait for a change */
	bool has_known;	      /* known is the last value the source showed */
	struct digest known;  /* of the manifest; answer UNCHANGED if equal */
	int64_t deadline;
};

/* A call of a peer. The caller passes the result to dist_peer_*. */
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
	DIST_ACTION_SOURCE,  /* .source */
	DIST_ACTION_PEER,    /* .peer */
	DIST_ACTION_ACCEPT,  /* .version: publish; in force if serving */
	DIST_ACTION_SERVE,   /* the start gate opened; emitted once */
	DIST_ACTION_CRASHES, /* .crashes: heard from a peer */
	DIST_ACTION_LOG	     /* .log */
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

/* Takes the oldest action off the list; NULL when there is none. */
struct dist_action *dist_next_action(struct dist *dist);
void dist_action_free(struct dist_action *action);

/*
 * Events. Blobs and lists are borrowed for the call; references are taken
 * where they are kept. id is the number of the call. dist starts
 * another call when the deadline of one passed; an answer that comes later may
 * still be passed, and what it brings is used.
 */

/* The host list was read. Reading it is up to the caller. */
void dist_host_list(struct dist *dist, struct host_list *list, int64_t now);

/* A call of the source ended; blob only with DIST_VALUE. */
void dist_source_result(struct dist *dist, uint64_t id,
			enum dist_outcome outcome, struct blob *blob,
			int64_t now);

/* A peer answered ANNOUNCE. */
void dist_peer_announced(struct dist *dist, uint64_t id,
			 const struct dist_announce *answer, int64_t now);

/* GET_MANIFEST or GET_PART ended, or any call of a peer failed. */
void dist_peer_result(struct dist *dist, uint64_t id, enum dist_outcome outcome,
		      struct blob *blob, int64_t now);

/* A peer called ANNOUNCE; fills the answer. */
void dist_on_announce(struct dist *dist, const struct dist_announce *call,
		      struct dist_announce *answer, int64_t now);

/* A peer called; returns a reference, or NULL for missing. */
struct blob *dist_on_get_manifest(struct dist *dist,
				  const struct version_id *id);
struct blob *dist_on_get_part(struct dist *dist, const struct digest *digest);

/* Timers; call at dist_next_deadline() or at any other time. */
void dist_tick(struct dist *dist, int64_t now);
int64_t dist_next_deadline(const struct dist *dist);

/*
 * The control loop found that it was paused. dist finds pauses between its
 * own events itself; this is for a caller that knows more.
 */
void dist_paused(struct dist *dist, int64_t now);

/* Crash entries to announce from now on; told at once when one is new. */
void dist_set_crashes(struct dist *dist, const struct dist_crash *crashes,
		      size_t nr, int64_t now);

/* A planned stop: no further calls start; calls of peers are answered. */
void dist_stop(struct dist *dist, int64_t now);

/* State for operators. */

/* Whether the start gate is open. */
bool dist_is_serving(const struct dist *dist);

/* The accepted version; NULL before the first. Borrowed. */
struct dist_version *dist_in_force(const struct dist *dist);

/* The newest id known that is not refused; number 0 when none is known. */
struct version_id dist_newest_known(const struct dist *dist);

/* Whether two manifests of the number in force were seen. */
bool dist_has_conflict(const struct dist *dist);

struct dist_refusal {
	struct cds_list_head node;
	struct version_id id; /* number 0: the number could not be read */
	struct findings findings;
};

/* Refused versions above the one in force; struct dist_refusal. */
const struct cds_list_head *dist_refusals(const struct dist *dist);

/* Version of a member as last heard; false when it was never heard. */
bool dist_member_version(const struct dist *dist, const char *host,
			 struct version_id *id, int64_t *heard);

/* Calls of the source so far. */
uint64_t dist_source_calls(const struct dist *dist);

#endif

#ifndef DIST_DIST_INTERNAL_H
#define DIST_DIST_INTERNAL_H

#include <glib.h>
#include <inttypes.h>

#include "base/clock.h"
#include "base/log.h"
#include "dist/dist.h"
#include "dist/dist_rules.h"

/* Members told of a newly accepted version; one of another zone. */
#define ANNOUNCE_FANOUT 4
/* Members asked at the start; one of another zone. */
#define START_PEERS 3
#define START_PEERS_OWN_ZONE 2

#define EXCHANGE_INTERVAL NS_PER_SEC
#define PAUSE_LIMIT (2 * NS_PER_SEC)
#define PEER_TIMEOUT NS_PER_SEC
#define SOURCE_TIMEOUT (3 * NS_PER_SEC)
/* Added to the wait of a watch for its answer to arrive. */
#define WATCH_GRACE (3 * NS_PER_SEC)

#define GATE_SHORT (2 * NS_PER_SEC)
#define GATE_LONG (10 * NS_PER_SEC)
/* Keeps a refused connection from being retried in a busy loop. */
#define GATE_RETRY (200 * NS_PER_MS)

/* A reader of the source; members of lower rank stand by. */
#define NR_READERS 2
#define CONFIRMATION_FRESH (15 * NS_PER_SEC)
#define TAKE_OVER_STEP (5 * NS_PER_SEC)

/* Back-off of a failing source, doubling between these. */
#define SOURCE_BACKOFF_MIN NS_PER_SEC
#define SOURCE_BACKOFF_MAX (30 * NS_PER_SEC)

/* Wait before peers are asked again for what a peer did not have. */
#define PEER_RETRY_MIN (50 * NS_PER_MS)
#define PEER_RETRY_MAX (8 * NS_PER_SEC)
/* Longest back-off of one part that the source did not have. */
#define SOURCE_PART_BACKOFF_MAX (8 * NS_PER_SEC)

/*
 * Custodians are the members that fetch a part for the others when no peer
 * holds the whole version. The members are ordered by the rendezvous hash of
 * the version, and part i belongs to the members i and i + 1 of that order, so
 * that each has the same share; a hash of each part left the busiest of 13
 * with twice the mean. Others read the source only when these did not help
 * for CUSTODIAN_PATIENCE.
 */
#define NR_CUSTODIANS 2
#define CUSTODIAN_PATIENCE NS_PER_SEC

/* A view of the members is used this long, as suspicions end with time. */
#define CUSTODY_LIFE NS_PER_SEC

/*
 * A version is announced a second time after this. Four announcements of each
 * daemon leave e^-4, 2 in 100 daemons, to anti-entropy, which takes 1 s more.
 */
#define SPREAD_AGAIN (150 * NS_PER_MS)

#define PARTS_IN_FLIGHT 8
/* Tries of a part after which the later parts of its custodian are asked. */
#define TRIES_IN_ORDER 12
#define HOLDERS_MAX 8
#define REFUSALS_MAX 64
/* Hosts outside the host list are remembered this long. */
#define STRANGER_LIFE (60 * NS_PER_SEC)
#define FLEET_MAX 20000

struct holder {
	char host[MEMBER_NAME_MAX + 1];
	char control[MEMBER_CONTROL_MAX + 1];
};

struct holders {
	size_t nr;
	struct holder entries[HOLDERS_MAX];
};

/* Progress of one missing part. */
struct part_state {
	int64_t peer_retry;
	int64_t source_retry;
	uint8_t peer_tries;
	uint8_t source_tries;
	bool peer_pending;
};

/* The members in the order in which they fetch the parts of a version. */
struct custody {
	const struct member_host **order;
	size_t nr;
	size_t self; /* position of the own host; nr when it is leaving */
	uint64_t epoch;
	int64_t until;
};

/* A version above the one in force that is being fetched. */
struct candidate {
	struct cds_list_head node;
	struct version_id id;
	struct dist_version *version; /* NULL until the manifest is there */
	struct part_state *states;    /* one for each part */
	struct custody custody;
	struct holders whole;	/* peers with the complete version */
	struct holders partial; /* peers that know it as candidate */
	bool from_source;	/* the source showed its manifest here */
	int64_t since;
	int64_t progress; /* when a part or the manifest last arrived */
	size_t nr_pending;
	bool manifest_pending;
	int64_t manifest_retry;
	size_t first_part; /* where the search for missing parts starts */
	int64_t wake;	   /* next time to look at it */
};

/* A call that was given to the caller and not answered yet. */
struct call {
	struct cds_list_head node;
	uint64_t id;
	bool is_source;
	bool is_part;
	bool is_start; /* asked by the start gate or after a pause */
	enum dist_procedure procedure;
	struct holder peer;
	struct version_id candidate;
	struct digest digest;
	int64_t started;
	int64_t deadline;
};

struct fleet_entry {
	struct version_id id;
	uint64_t incarnation;
	int64_t heard;
};

struct gate {
	bool is_open;
	bool is_planned; /* nr_wanted is known */
	size_t nr_wanted;
	size_t nr_pending;
	size_t nr_answered;
	char answered[START_PEERS][MEMBER_NAME_MAX + 1];
	struct version_id told; /* newest that a peer has in force */
	int64_t retry;
};

struct dist {
	uint64_t incarnation;
	struct member *member;
	struct rng *rng;
	const struct dist_validator *validator;
	void *validator_ctx;
	const struct dist_policy *policy;
	const struct dist_rules *rules;
	int64_t source_interval;
	int64_t started;
	int64_t reading_since; /* start, or end of the last pause */
	int64_t last_turn;
	int64_t deadline; /* next time at which a turn is needed */
	bool stopped;
	bool muted; /* paused, and no peer or source heard since */
	bool has_conflict;
	struct cds_list_head actions;
	struct cds_list_head calls;
	struct cds_list_head candidates;
	struct cds_list_head dropped; /* candidates freed after the turn */
	struct cds_list_head refusals;
	size_t nr_refusals;
	uint64_t next_call;
	struct dist_version *in_force;
	struct gate gate;
	GHashTable *fleet; /* host -> struct fleet_entry */
	int64_t next_exchange;
	int64_t spread_again; /* second announcement of the version in force */
	size_t nr_crashes;
	struct dist_crash crashes[DIST_CRASHES_MAX];

	/* The source. */
	uint64_t nr_source_calls;
	int64_t next_token;
	int64_t backoff_until;
	unsigned int nr_failures;
	bool manifest_in_flight;
	bool part_in_flight;
	bool was_part;	 /* the last call read a part */
	bool wants_read; /* read once without regard to rank */
	bool has_known;
	struct digest known; /* last manifest the source showed */
	bool has_confirmation;
	int64_t confirmation; /* newest known in the fleet */
	int64_t wake;
};

struct dist_policy {
	const char *name;
	/* Whether this daemon watches the source now. */
	bool (*watches)(const struct dist *dist, int64_t now);
	/* When watches() may turn true without an event. */
	int64_t (*watches_from)(const struct dist *dist, int64_t now);
	/* Tells peers of a new version or of new crash entries. */
	void (*spread)(struct dist *dist, int64_t now);
	/* The periodic exchange with one peer. */
	void (*exchange)(struct dist *dist, int64_t now);
	/* Whether peers are asked and followed. */
	bool uses_peers;
	/* Whether parts of the version in force are kept by digest. */
	bool reuses_parts;
};

/* version.c */
struct dist_part *version_find(const struct dist_version *version,
			       const struct digest *digest, size_t *nr);
size_t version_put(struct dist_version *version, const struct digest *digest,
		   struct blob *blob);

/* candidate.c */
struct candidate *candidate_find(struct dist *dist,
				 const struct version_id *id);
struct candidate *candidate_newest(const struct dist *dist);
struct candidate *candidate_learn(struct dist *dist,
				  const struct version_id *id,
				  const struct holder *holder, bool whole,
				  int64_t now);
void candidate_take_manifest(struct dist *dist, struct candidate *candidate,
			     struct dist_version *version, int64_t now);
void candidate_drop(struct dist *dist, struct candidate *candidate);
void candidates_release(struct cds_list_head *candidates);
void candidates_take_part(struct dist *dist, const struct digest *digest,
			  struct blob *blob, int64_t now);
void candidates_settle(struct dist *dist, int64_t now);
void candidates_drive(struct dist *dist, int64_t now);
void holders_remove(struct holders *holders, const char *control);
const struct custody *custody_view(struct dist *dist,
				   struct candidate *candidate, int64_t now);
void refuse(struct dist *dist, const struct version_id *id,
	    struct findings *findings);
bool is_refused(const struct dist *dist, const struct version_id *id);
int64_t peer_backoff(struct dist *dist, const struct candidate *candidate,
		     int64_t now);
int64_t backoff(struct dist *dist, int64_t min, int64_t max,
		unsigned int tries);

/* source.c */
void source_drive(struct dist *dist, int64_t now);
void source_failed(struct dist *dist, const struct call *call, int64_t now);

/* peer.c */
struct call *call_new(struct dist *dist, bool is_source, int64_t now,
		      int64_t deadline);
struct call *call_take(struct dist *dist, uint64_t id);
struct dist_peer_call *peer_call(struct dist *dist, const struct holder *peer,
				 enum dist_procedure procedure, int64_t now,
				 struct call **call);
void peer_failed(struct dist *dist, const struct call *call, int64_t now);
void take_late(struct dist *dist, struct blob *blob, int64_t now);
void calls_expire(struct dist *dist, int64_t now);
void calls_drop_peers(struct dist *dist);

/* announce.c */
void announce_to(struct dist *dist, const struct holder *peer, bool is_start,
		 int64_t now);
bool announce_heard(struct dist *dist, const struct dist_announce *announce,
		    int64_t now);
void holder_of(struct holder *holder, const struct member_host *host);

/* gate.c */
void gate_plan(struct dist *dist, int64_t now);
void gate_answered(struct dist *dist, const char *host);
void gate_failed(struct dist *dist, int64_t now);
void gate_told(struct dist *dist, const struct version_id *id);
void gate_drive(struct dist *dist, int64_t now);
int64_t gate_wake(const struct dist *dist, int64_t now);
void ask_start_peers(struct dist *dist, size_t nr, int64_t now);

/* dist.c */
struct dist_action *action_new(struct dist *dist, enum dist_action_kind kind);
void log_action(struct dist *dist, int priority, const char *event,
		const char *fmt, ...) __attribute__((format(printf, 4, 5)));
void heard_anyone(struct dist *dist);
int64_t turn_begin(struct dist *dist, int64_t now);
void turn_end(struct dist *dist, int64_t now);
void set_in_force(struct dist *dist, struct dist_version *version, int64_t now);

#endif

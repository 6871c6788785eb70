#ifndef DIST_DIST_INTERNAL_H
#define DIST_DIST_INTERNAL_H

#include <glib.h>
#include <inttypes.h>

#include "base/clock.h"
#include "base/log.h"
#include "dist/dist.h"
#include "dist/dist_rules.h"

/* Members to which a new version is announced; one is in another zone. */
#define ANNOUNCE_FANOUT 4
/* Members queried at the start; one is in another zone. */
#define START_PEERS 3
#define START_PEERS_OWN_ZONE 2

#define EXCHANGE_INTERVAL NS_PER_SEC
/* A longer time between two events means that the process was paused. */
#define PAUSE_LIMIT (2 * NS_PER_SEC)
#define PEER_TIMEOUT NS_PER_SEC
#define SOURCE_TIMEOUT (3 * NS_PER_SEC)
/* Time after the wait of a watch within which its answer must arrive. */
#define WATCH_GRACE (3 * NS_PER_SEC)

/*
 * Age at which the start gate opens if a version is in force, at least one peer
 * answered and none reported a newer version.
 */
#define GATE_SHORT (2 * NS_PER_SEC)
/* Age at which the start gate opens if a version is in force. */
#define GATE_LONG (10 * NS_PER_SEC)
/* Prevents a busy loop when a connection is refused. */
#define GATE_RETRY (200 * NS_PER_MS)

/* The members of each zone that watch the source; the others stand by. */
#define NR_READERS 2
/*
 * A member of rank r, NR_READERS or more, watches when the newest confirmation
 * is older than CONFIRMATION_FRESH + (r - 1) * TAKE_OVER_STEP.
 */
#define CONFIRMATION_FRESH (15 * NS_PER_SEC)
#define TAKE_OVER_STEP (5 * NS_PER_SEC)

/* Back-off after failed calls to the source; doubles within these bounds. */
#define SOURCE_BACKOFF_MIN NS_PER_SEC
#define SOURCE_BACKOFF_MAX (30 * NS_PER_SEC)

/* Back-off before peers are tried again for a value that a peer lacked. */
#define PEER_RETRY_MIN (50 * NS_PER_MS)
#define PEER_RETRY_MAX (8 * NS_PER_SEC)
/* Longest back-off for one part that the source lacked. */
#define SOURCE_PART_BACKOFF_MAX (8 * NS_PER_SEC)

/*
 * The fetchers of a part are the members that read it from the source for the
 * others while no peer has the complete version. The members are ordered by the
 * rendezvous hash of the version, and part i is assigned to members i and i + 1
 * of that order, so that all have the same share; a hash of each part gave the
 * busiest of 13 members twice the mean. Other members read a part from the
 * source only when its fetchers did not deliver it within FETCHER_TIMEOUT.
 */
#define NR_FETCHERS 2
#define FETCHER_TIMEOUT NS_PER_SEC

/* The fetch order is computed anew after this time, as suspicions expire. */
#define FETCH_ORDER_LIFE NS_PER_SEC

/*
 * Delay before the second announcement of a version. With four announcements
 * by each daemon, e^-4 of the daemons, 2 in 100, are left to anti-entropy,
 * which takes 1 s more.
 */
#define REANNOUNCE_DELAY (150 * NS_PER_MS)

#define PARTS_IN_FLIGHT 8
/* Tries of a part after which later parts of its fetchers are requested too. */
#define TRIES_IN_ORDER 12
#define HOLDERS_MAX 8
#define REFUSALS_MAX 64
/* How long the version of a host outside the host list is kept. */
#define UNLISTED_HOST_LIFE (60 * NS_PER_SEC)
/* Most hosts whose version is kept. */
#define FLEET_MAX 20000

/* A peer that has a version, complete or in part. */
struct holder {
	char host[MEMBER_NAME_MAX + 1];
	char control[MEMBER_CONTROL_MAX + 1];
};

struct holders {
	size_t nr;
	struct holder entries[HOLDERS_MAX];
};

/* State of the requests for one missing part. */
struct part_state {
	int64_t peer_retry;
	int64_t source_retry;
	uint8_t peer_tries;
	uint8_t source_tries;
	bool peer_pending;
};

/* The members in the order that assigns the parts of a version to them. */
struct fetch_order {
	const struct member_host **members;
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
	struct fetch_order fetch_order;
	struct holders complete; /* peers with the complete version */
	struct holders partial;	 /* peers that announced it as candidate */
	bool from_source;	 /* this daemon read its manifest there */
	int64_t since;		 /* when it was first announced or read */
	int64_t progress;	 /* when a part or the manifest last arrived */
	size_t nr_pending;	 /* calls for parts in progress */
	bool manifest_pending;
	int64_t manifest_retry;
	size_t first_part; /* index at which the search for parts starts */
	int64_t wake;	   /* when candidates_drive() must run again */
};

/* A call that was passed to the caller and has not ended. */
struct call {
	struct cds_list_head node;
	uint64_t id;
	bool is_source;
	bool is_part;
	bool is_start; /* made by the start gate or after a pause */
	enum dist_procedure procedure;
	struct holder peer;
	struct version_id candidate;
	struct digest digest;
	int64_t started;
	int64_t deadline;
};

/* The last announcement of a host. */
struct fleet_entry {
	struct version_id id;
	uint64_t incarnation;
	int64_t received; /* when it arrived */
};

/* The start gate, which delays serving until peers were queried. */
struct gate {
	bool is_open;
	bool is_planned; /* nr_wanted is known */
	size_t nr_wanted;
	size_t nr_pending;
	size_t nr_answered;
	char answered[START_PEERS][MEMBER_NAME_MAX + 1];
	/* Newest version that a peer reported in force. */
	struct version_id newest_reported;
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
	int64_t last_event;    /* time of the last event */
	int64_t deadline;      /* when dist_tick() is needed */
	bool stopped;
	/*
	 * Set after a pause until a peer or the source answers. Announcements
	 * are then empty, as the state of this daemon may be outdated.
	 */
	bool muted;
	bool has_conflict;
	struct cds_list_head actions;
	struct cds_list_head calls;
	struct cds_list_head candidates;
	struct cds_list_head dropped; /* candidates to free after the event */
	struct cds_list_head refusals;
	size_t nr_refusals;
	uint64_t next_call;
	struct dist_version *in_force;
	struct gate gate;
	GHashTable *fleet; /* host -> struct fleet_entry */
	int64_t next_exchange;
	int64_t reannounce_at; /* when in_force is announced a second time */
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
	bool wants_read; /* read the manifest once, whatever the rank */
	bool has_known;
	struct digest known; /* of the manifest read last from the source */
	bool has_confirmation;
	/*
	 * When the newest read of the manifest that succeeded anywhere in the
	 * fleet began, as far as known here.
	 */
	int64_t confirmation;
	int64_t wake; /* when source_drive() must run again */
};

struct dist_policy {
	const char *name;
	/* Whether this daemon watches the source now. */
	bool (*watches)(const struct dist *dist, int64_t now);
	/* When watches() may become true without an event. */
	int64_t (*watches_from)(const struct dist *dist, int64_t now);
	/* Announces a new version or new crash entries to peers. */
	void (*spread)(struct dist *dist, int64_t now);
	/* Announces to one peer periodically, as anti-entropy. */
	void (*exchange)(struct dist *dist, int64_t now);
	/* Whether versions and parts are fetched from peers. */
	bool uses_peers;
	/* Whether parts of older versions with the same digest are reused. */
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
				  const struct holder *holder, bool complete,
				  int64_t now);
void candidate_take_manifest(struct dist *dist, struct candidate *candidate,
			     struct dist_version *version, int64_t now);
void candidate_drop(struct dist *dist, struct candidate *candidate);
void candidates_release(struct cds_list_head *candidates);
void candidates_take_part(struct dist *dist, const struct digest *digest,
			  struct blob *blob, int64_t now);
void candidates_decide(struct dist *dist, int64_t now);
void candidates_drive(struct dist *dist, int64_t now);
void holders_remove(struct holders *holders, const char *control);
const struct fetch_order *candidate_fetch_order(struct dist *dist,
						struct candidate *candidate,
						int64_t now);
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
void accept_late_bytes(struct dist *dist, struct blob *blob, int64_t now);
void calls_expire(struct dist *dist, int64_t now);
void calls_drop_peers(struct dist *dist);

/* announce.c */
void announce_to(struct dist *dist, const struct holder *peer, bool is_start,
		 int64_t now);
bool announce_receive(struct dist *dist, const struct dist_announce *announce,
		      int64_t now);
void holder_of(struct holder *holder, const struct member_host *host);

/* gate.c */
void gate_plan(struct dist *dist, int64_t now);
void gate_answered(struct dist *dist, const char *host);
void gate_failed(struct dist *dist, int64_t now);
void gate_note_version(struct dist *dist, const struct version_id *id);
void gate_drive(struct dist *dist, int64_t now);
int64_t gate_wake(const struct dist *dist, int64_t now);
void query_start_peers(struct dist *dist, size_t nr, int64_t now);

/* dist.c */
struct dist_action *action_new(struct dist *dist, enum dist_action_kind kind);
void log_action(struct dist *dist, int priority, const char *event,
		const char *fmt, ...) __attribute__((format(printf, 4, 5)));
void clear_muted(struct dist *dist);
int64_t event_begin(struct dist *dist, int64_t now);
void event_end(struct dist *dist, int64_t now);
void set_in_force(struct dist *dist, struct dist_version *version, int64_t now);

#endif

#ifndef RELAY_FEED_INTERNAL_H
#define RELAY_FEED_INTERNAL_H

#include "mesh/readers.h"
#include "mesh/recent.h"
#include "net/rpc.h"
#include "relay/feed_peers.h"

/*
 * Internal to the files that distribute published items between the daemons:
 * feed_peers.c keeps the roles and receives pushes, feed_push.c chooses which
 * daemons to push to, and sends the pushes.
 */

#define FEED_RECORD_MAX (32 * 1024 * 1024)
#define FEED_OUTPUT_MAX (32 * 1024 * 1024)

/* How often a daemon announces itself while readers_should_publish() holds. */
#define FEED_ANNOUNCE_INTERVAL_NS (READERS_REPORT_INTERVAL_MS * NS_PER_MS)

/*
 * Minimum time between two pushes of the held items to one daemon. Two daemons
 * that cannot agree on them would otherwise push without end.
 */
#define FEED_HELD_INTERVAL_NS (500 * NS_PER_MS)

/* The daemon has not confirmed a revision yet. */
#define FEED_ACKED_UNKNOWN (-1)

/*
 * Root of a distribution tree: a daemon whose announcements, such as the time
 * of its newest read of the store, are forwarded. Times are monotonic ns.
 */
struct root {
	char *ip;	    /* NULL: the slot is free */
	int64_t read_at;    /* when it last read the store; 0: never */
	int64_t updated_at; /* when it was last announced */
	bool ended;	    /* its process has ended */
};

/* Another daemon, as a receiver of pushes and as a possible reader. */
struct peer {
	char *ip;
	char *zone;
	struct net_address address;
	struct feed_peers *peers;
	struct rpc_conn *conn; /* NULL: none */
	struct rpc_call call;
	bool calling;
	int64_t acked; /* revision that it has confirmed; FEED_ACKED_UNKNOWN */
	int64_t sent_from; /* revision before the push in progress */
	int64_t sent_to;   /* revision after the push in progress */
	/* Position in feed_peers.crashes that it has confirmed, and sent. */
	uint64_t crashes_acked;
	uint64_t crashes_sent;
	bool crashes_left;	/* the push in progress holds not all of them */
	uint32_t pending_roots; /* bit set of the roots to be sent, by slot */
	uint32_t sent_roots;	/* the same for the push in progress */
	bool failed;		/* the last push was not answered */
	bool lacks_held;	/* its held items differ from those here */
	bool sent_held;		/* the push in progress has the held items */
	int64_t next_held;	/* held items are not sent before */
	int64_t next_push;
	/* When it was last announced as reading the store; 0: never. */
	int64_t reader_seen_at;
	/*
	 * If it is not listed: until when the views listed it, or when it last
	 * pushed.
	 */
	int64_t listed_at;
	bool listed; /* in the present view: counts in the ranking */
};

struct feed_peers {
	struct feed_peers_options options;
	struct rpc_service service;
	struct rpc_listener *listener;
	GHashTable *peers; /* ip -> struct peer */
	struct root roots[FEED_ROOTS_MAX];
	struct readers_state state;
	int64_t first_read_at; /* when all items were read first; 0: never */
	int64_t next_introduction; /* not before, if own_listed is false */
	int64_t next_announce;	   /* when this daemon is next announced */
	bool own_listed;	   /* this daemon, in the present view */
	struct timer timer;
	bool is_reader; /* this daemon reads the store */
	/* The same as in struct feed_push, in lib/wire/peer.x. */
	int64_t before[FEED_ERAS];
	/*
	 * Crashes of backend servers, as known to this daemon. Each other
	 * daemon gets those that it has not confirmed, and after a restart all
	 * of them.
	 */
	struct quarantine *crashes;
	/* Revision that a daemon is assumed to have before it confirms one. */
	struct mesh_recent recent;
	/* The last value compressed; kept because all daemons get it. */
	GBytes *plain;
	GBytes *packed; /* NULL: compression does not shorten it */
};

/* Updates this daemon's role, sends the pushes due and sets the timer. */
void feed_update(struct feed_peers *peers, int64_t now);

/* Whether the address is that of this host. */
bool feed_is_own(const struct feed_peers *peers, const char *ip);

/*
 * The slot of a root. A new one takes a free slot, or replaces the root that
 * was not announced for the longest time.
 */
int feed_get_root_slot(struct feed_peers *peers, const char *ip);

/* Schedules pushes with a root to the daemons below this one in its tree. */
void feed_mark_root(struct feed_peers *peers, int slot, int64_t now);

/* Schedules pushes that announce this daemon itself. */
void feed_mark_own(struct feed_peers *peers, int64_t now);

/* Sends a push, unless one to this daemon is in progress. */
void feed_push_to(struct peer *peer, int64_t now);

/*
 * Notes the digest of the held items of a daemon. Returns whether they differ
 * from those here, and may be sent now.
 */
bool feed_note_digest(struct peer *peer, uint64_t digest, int64_t now);

/* Sends the pushes due, and ends those whose answer is overdue. */
void feed_push_due(struct feed_peers *peers, int64_t now);

#endif

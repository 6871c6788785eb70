#ifndef RELAY_FEED_INTERNAL_H
#define RELAY_FEED_INTERNAL_H

#include "mesh/readers.h"
#include "mesh/recent.h"
#include "net/rpc.h"
#include "relay/feed_peers.h"

/*
 * What the files of the feed share: feed_peers.c holds the roles and takes
 * pushes, feed_push.c decides whom to tell and sends them.
 */

#define FEED_RECORD_MAX (32 * 1024 * 1024)
#define FEED_OUTPUT_MAX (32 * 1024 * 1024)
#define TELL_INTERVAL_NS (READERS_TELL_INTERVAL_MS * NS_PER_MS)

/* The daemon has not said yet what it knows. */
#define FEED_ACKED_UNKNOWN (-1)

/* A daemon whose news are passed on. */
struct root {
	char *ip;      /* NULL: the place is free */
	int64_t read;  /* its newest reading; 0: none */
	int64_t heard; /* when the last news of it came */
	bool ended;    /* its process was seen to end */
};

/* Another daemon. */
struct peer {
	char *ip;
	char *zone;
	struct net_address address;
	struct feed_peers *peers;
	struct rpc_conn *conn; /* NULL: none */
	struct rpc_call call;
	bool calling;
	int64_t acked; /* revision that it has confirmed; FEED_ACKED_UNKNOWN */
	int64_t sent_from; /* revision that the push under way builds on */
	int64_t sent_to;   /* revision of the push under way */
	uint32_t due;	   /* roots to tell it of, by their places */
	uint32_t sent;	   /* roots in the push under way */
	bool failed;	   /* the last push was not answered */
	int64_t next_push;
	int64_t reads_at; /* when it was last heard to read; 0: never */
	int64_t named_at; /* when the last view that has it was taken */
	bool named;	  /* by the present view: counts in the ranking */
};

struct feed_peers {
	struct feed_peers_options options;
	struct rpc_service service;
	struct rpc_listener *listener;
	GHashTable *peers; /* ip -> struct peer */
	struct root roots[FEED_ROOTS_MAX];
	struct readers_state state;
	int64_t next_tell; /* of the own news, while this daemon tells */
	bool own_named;	   /* by the present view */
	struct timer timer;
	bool reads;
	/* What daemons that were told nothing yet may be expected to know. */
	struct mesh_recent recent;
	/* The last value that was packed, since it goes to all daemons. */
	GBytes *plain;
	GBytes *packed; /* NULL: does not get shorter */
};

/* Takes up the present roles, pushes what is due and sets the timer. */
void feed_update(struct feed_peers *peers, int64_t now);

/* Whether the address is that of this daemon's host. */
bool feed_is_own(const struct feed_peers *peers, const char *ip);

/* The place of a root; one that was silent longest gives way to a new one. */
int feed_root_place(struct feed_peers *peers, const char *ip);

/* Marks the daemons that this one tells of a root. */
void feed_mark_root(struct feed_peers *peers, int place, int64_t now);

/* Marks the daemons to be told the news of this daemon itself. */
void feed_mark_own(struct feed_peers *peers, int64_t now);

/* Sends a push, unless one is under way. */
void feed_push_to(struct peer *peer, const struct quarantine_entry *crashes,
		  size_t nr, int64_t now);

/* Sends the pushes that are due and gives up those without an answer. */
void feed_push_due(struct feed_peers *peers, int64_t now);

#endif

#ifndef RELAY_QUOTA_SIDE_INTERNAL_H
#define RELAY_QUOTA_SIDE_INTERNAL_H

#include "relay/quota_side.h"

/*
 * Shared by the files of the quota side: quota_side.c takes tokens for
 * requests, quota_messages.c exchanges leases with other daemons.
 */

struct organisation_quota {
	char *name;
	uint64_t id;
	struct quota_side *side;
	struct quota_share share;
	struct cds_list_head waiting; /* struct quota_wait, oldest first */
	struct timer wait_timer;
	bool is_pending;		   /* in the pending asks */
	struct cds_list_head pending_node; /* in quota_side.pending */
	/* Named by a daemon that is not the owner; used for the next ask. */
	char *redirect;
	/* Results for the present members, if the epoch is theirs. */
	unsigned epoch;
	const char *owner;
	int rank;
};

struct quota_side {
	const struct relay_context *context;
	struct peer_links *links;
	struct mesh_view *view;
	struct quota_bounds bounds;
	struct quota_owner *owner;
	unsigned epoch; /* of the members */
	int64_t started_at;
	GHashTable *organisations; /* name -> struct organisation_quota */
	/* Limited organisations of the view, by quota_id(). */
	GHashTable *limits;
	struct cds_list_head pending; /* organisations to ask for */
	struct timer flush_timer;
	struct counter asks, failed_asks, handovers;
};

/* The limit in force; false if there is none. */
bool quota_side_find_limit(const struct quota_side *side, uint64_t id,
			   struct quota_limit *limit);

/* Ends the waits of an organisation after an ask has ended. */
void quota_side_end_waits(struct organisation_quota *organisation);

/* The owner that this daemon knows; NULL without one. */
const char *quota_side_owner(struct organisation_quota *organisation);
bool quota_side_is_own(struct organisation_quota *organisation);

/* Asks for tokens if some are needed; the answer arrives later. */
void quota_messages_ask(struct organisation_quota *organisation, int64_t now);
void quota_messages_on_flush(struct timer *timer, int64_t now);
void quota_messages_hand_over(struct quota_side *side, const GArray *handovers);

#endif

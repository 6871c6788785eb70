#ifndef RELAY_QUOTA_SIDE_H
#define RELAY_QUOTA_SIDE_H

#include <jansson.h>

#include "net/rpc.h"
#include "quota/quota.h"
#include "relay/peer_links.h"
#include "relay/relay.h"

/*
 * Enforces the quotas of organisations at the callers' daemon. It asks the
 * owners of the organisations for leases, ahead of the demand, and answers the
 * asks for the organisations that this daemon owns.
 */

struct quota_side;
struct organisation_quota;

/* A request that may wait for a token; embedded in a struct of the caller. */
struct quota_wait {
	/* Called once, unless the wait is cancelled first. */
	void (*done)(struct quota_wait *wait, bool taken);
	int64_t lease_deadline; /* of the token that it has; 0: none */

	/* Private to the quota side. */
	struct organisation_quota *organisation; /* NULL: does not wait */
	struct cds_list_head node;
	int64_t deadline;
};

struct quota_side *quota_side_new(const struct relay_context *context,
				  struct peer_links *links);

/* Applies a new view: the limits, and the daemons that own organisations. */
void quota_side_apply(struct quota_side *side, struct mesh_view *view);

/*
 * Takes a token for a request of an organisation; QUOTA_TAKEN if it has no
 * limit. With QUOTA_WAIT, wait->done is called within tens of milliseconds.
 */
enum quota_verdict quota_side_take(struct quota_side *side, const char *name,
				   struct quota_wait *wait);
void quota_side_cancel(struct quota_wait *wait);

/* Gives the token back of a request that was not sent to any server. */
void quota_side_refund(struct quota_side *side, const char *name,
		       const struct quota_wait *wait);

/* Time until a refused request of the organisation may succeed. */
int64_t quota_side_retry_after_ms(struct quota_side *side, const char *name);

/* What a refusal was decided by, for its log line; valid until the next call.
 */
const char *quota_side_state_text(struct quota_side *side, const char *name);

/* Answer messages of other daemons; false if they cannot be decoded. */
bool quota_side_serve_lease(struct quota_side *side, struct rpc_conn *conn,
			    uint32_t xid, XDR *args);
bool quota_side_serve_handover(struct quota_side *side, struct rpc_conn *conn,
			       uint32_t xid, XDR *args);

json_t *quota_side_dump(const struct quota_side *side);

#endif

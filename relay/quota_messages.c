#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "relay/quota_side_internal.h"

/* An owner that has not answered an ask for this long is taken for silent. */
#define ASK_NS (300 * NS_PER_MS)

/* One message that asks an owner for leases of some organisations. */
struct lease_batch {
	struct quota_side *side;
	struct rpc_call rpc;
	struct rpc_conn *conn;
	char *address;
	struct timer timer;
	GPtrArray *names; /* of the organisations, in the order of the asks */
	struct lease_ask asks[LEASE_ITEMS_MAX];
};

static char *make_address(const struct quota_side *side, const char *ip)
{
	return g_strdup_printf("%s:%u", ip, side->context->host->peers.port);
}

/* Asking. */

static void free_batch(struct lease_batch *batch)
{
	timers_cancel(batch->side->context->timers, &batch->timer);
	if (batch->conn)
		rpc_conn_unref(batch->conn);
	g_ptr_array_unref(batch->names);
	g_free(batch->address);
	g_free(batch);
}

/* The organisation of an ask; NULL if it is gone. */
static struct organisation_quota *asked(const struct lease_batch *batch,
					guint i)
{
	return g_hash_table_lookup(batch->side->organisations,
				   g_ptr_array_index(batch->names, i));
}

static void fail_ask(struct organisation_quota *organisation)
{
	g_clear_pointer(&organisation->redirect, g_free);
	quota_share_failed(&organisation->share, clock_monotonic_ns());
	quota_side_end_waits(organisation);
}

static void fail_batch(struct lease_batch *batch)
{
	struct organisation_quota *organisation;

	counter_add(&batch->side->failed_asks, 1);
	for (guint i = 0; i < batch->names->len; i++)
		if ((organisation = asked(batch, i)))
			fail_ask(organisation);
	free_batch(batch);
}

/* Asks the owner that another daemon named, once. */
static void redirect(struct organisation_quota *organisation, const char *owner)
{
	int64_t now = clock_monotonic_ns();
	bool is_again = organisation->redirect != NULL;

	if (is_again || !*owner) {
		fail_ask(organisation);
		return;
	}
	organisation->redirect = g_strdup(owner);
	organisation->share.asked = false;
	quota_messages_ask(organisation, now);
	if (!organisation->is_pending)
		quota_side_end_waits(organisation);
}

static void apply_grant(struct organisation_quota *organisation,
			const struct lease_grant *grant)
{
	const struct quota_bounds *bounds = &organisation->side->bounds;

	if (!grant->is_owner) {
		redirect(organisation, grant->owner);
		return;
	}
	quota_share_granted(&organisation->share,
			    (int)MIN(grant->tokens, G_MAXINT),
			    quota_lease_ns(bounds), grant->wait_ms * NS_PER_MS,
			    clock_monotonic_ns());
	quota_side_end_waits(organisation);
}

static void on_granted(struct rpc_call *rpc, enum rpc_status status, XDR *xdr)
{
	struct lease_batch *batch =
		caa_container_of(rpc, struct lease_batch, rpc);
	struct relay_grants grants = { 0 };
	struct organisation_quota *organisation;

	if (status != RPC_DONE || !xdr_relay_grants(xdr, &grants) ||
	    grants.grants.grants_len != batch->names->len) {
		xdr_free((xdrproc_t)xdr_relay_grants, (char *)&grants);
		fail_batch(batch);
		return;
	}
	for (guint i = 0; i < batch->names->len; i++)
		if ((organisation = asked(batch, i)))
			apply_grant(organisation, &grants.grants.grants_val[i]);
	xdr_free((xdrproc_t)xdr_relay_grants, (char *)&grants);
	free_batch(batch);
}

static void on_batch_timer(struct timer *timer, int64_t now)
{
	struct lease_batch *batch =
		caa_container_of(timer, struct lease_batch, timer);

	(void)now;
	peer_links_check(batch->side->links, batch->address);
	if (rpc_abandon(batch->conn, &batch->rpc))
		fail_batch(batch);
}

static void ask_own(struct organisation_quota *organisation, int wanted,
		    int64_t now)
{
	struct quota_side *side = organisation->side;
	struct quota_limit limit;
	struct quota_grant grant;
	int unused;

	if (!quota_side_find_limit(side, organisation->id, &limit))
		return;
	unused = quota_share_ask(&organisation->share, wanted, now);
	grant = quota_owner_ask(side->owner, organisation->id, &limit, wanted,
				unused, now);
	if (grant.is_owner)
		quota_share_granted(&organisation->share, grant.tokens,
				    quota_lease_ns(&side->bounds),
				    grant.wait_ns, now);
	else
		quota_share_failed(&organisation->share, now);
}

void quota_messages_ask(struct organisation_quota *organisation, int64_t now)
{
	struct quota_side *side = organisation->side;
	int wanted =
		quota_share_wanted(&organisation->share, &side->bounds, now);

	if (!wanted || organisation->is_pending)
		return;
	if (quota_side_is_own(organisation)) {
		ask_own(organisation, wanted, now);
		return;
	}
	organisation->is_pending = true;
	cds_list_add_tail(&organisation->pending_node, &side->pending);
	/* Sent at the end of this iteration, in one message for each owner. */
	if (!side->flush_timer.position)
		timers_set(side->context->timers, &side->flush_timer, now);
}

static void add_ask(struct lease_batch *batch,
		    struct organisation_quota *organisation, int64_t now)
{
	struct lease_ask *ask = &batch->asks[batch->names->len];

	ask->organisation = organisation->id;
	ask->wanted = (u_int)quota_share_wanted(&organisation->share,
						&batch->side->bounds, now);
	ask->unused = (u_int)quota_share_ask(&organisation->share,
					     (int)ask->wanted, now);
	g_ptr_array_add(batch->names, g_strdup(organisation->name));
}

static void send_batch(struct lease_batch *batch, const char *owner,
		       int64_t now)
{
	struct quota_side *side = batch->side;
	struct relay_lease lease = {
		.asks = { .asks_len = batch->names->len,
			  .asks_val = batch->asks },
	};

	counter_add(&side->asks, 1);
	batch->address = make_address(side, owner);
	batch->conn = peer_links_conn(side->links, batch->address);
	if (!batch->conn) {
		fail_batch(batch);
		return;
	}
	batch->rpc.done = on_granted;
	batch->rpc.deadline = DEADLINE_NEVER;
	batch->timer.fire = on_batch_timer;
	timers_set(side->context->timers, &batch->timer, now + ASK_NS);
	rpc_call_start(batch->conn, &batch->rpc, RELAY_PROGRAM, RELAY_VERSION,
		       RELAY_LEASE, (xdrproc_t)xdr_relay_lease, &lease);
}

/* Sends the pending asks that have the same owner as the first one. */
static void flush_owner(struct quota_side *side, int64_t now)
{
	struct organisation_quota *organisation, *next;
	struct lease_batch *batch = g_new0(struct lease_batch, 1);
	g_autofree char *owner = g_strdup(quota_side_owner(
		cds_list_first_entry(&side->pending, struct organisation_quota,
				     pending_node)));

	batch->side = side;
	batch->names = g_ptr_array_new_with_free_func(g_free);
	cds_list_for_each_entry_safe (organisation, next, &side->pending,
				      pending_node) {
		if (batch->names->len == LEASE_ITEMS_MAX)
			break;
		if (g_strcmp0(quota_side_owner(organisation), owner) != 0)
			continue;
		cds_list_del(&organisation->pending_node);
		organisation->is_pending = false;
		add_ask(batch, organisation, now);
	}
	if (owner)
		send_batch(batch, owner, now);
	else
		fail_batch(batch);
}

void quota_messages_on_flush(struct timer *timer, int64_t now)
{
	struct quota_side *side =
		caa_container_of(timer, struct quota_side, flush_timer);

	while (!cds_list_empty(&side->pending))
		flush_owner(side, now);
}

/* Answering. */

static void answer_ask(struct quota_side *side, const struct lease_ask *ask,
		       struct lease_grant *grant, int64_t now)
{
	struct quota_limit limit;
	struct quota_grant decided = { .is_owner = false };

	/*
	 * Without a limit here, the asking daemon has another configuration,
	 * and uses its fallback share until both have the same.
	 */
	if (quota_side_find_limit(side, ask->organisation, &limit))
		decided = quota_owner_ask(side->owner, ask->organisation,
					  &limit, (int)MIN(ask->wanted, 65536u),
					  (int)MIN(ask->unused, 65536u), now);
	grant->is_owner = decided.is_owner;
	grant->owner =
		(char *)(decided.is_owner || !decided.owner ? ""
							    : decided.owner);
	grant->tokens = (u_int)decided.tokens;
	grant->wait_ms = (u_int)MIN(decided.wait_ns / NS_PER_MS + 1, 60000);
}

bool quota_side_serve_lease(struct quota_side *side, struct rpc_conn *conn,
			    uint32_t xid, XDR *args)
{
	struct relay_lease lease = { 0 };
	struct lease_grant grants[LEASE_ITEMS_MAX];
	struct relay_grants reply = { .grants = { .grants_val = grants } };
	int64_t now = clock_monotonic_ns();
	bool ok = xdr_relay_lease(args, &lease);

	for (u_int i = 0; ok && i < lease.asks.asks_len; i++)
		answer_ask(side, &lease.asks.asks_val[i], &grants[i], now);
	reply.grants.grants_len = lease.asks.asks_len;
	xdr_free((xdrproc_t)xdr_relay_lease, (char *)&lease);
	return ok && rpc_reply(conn, xid, (xdrproc_t)xdr_relay_grants, &reply);
}

bool quota_side_serve_handover(struct quota_side *side, struct rpc_conn *conn,
			       uint32_t xid, XDR *args)
{
	struct relay_lease_handover handover = { 0 };
	struct relay_ping reply = { 0 };
	int64_t now = clock_monotonic_ns();
	bool ok = xdr_relay_lease_handover(args, &handover);

	for (u_int i = 0; ok && i < handover.items.items_len; i++) {
		const struct lease_handover *item =
			&handover.items.items_val[i];

		quota_owner_receive(side->owner, item->organisation,
				    (double)item->tokens / 1000,
				    (double)item->outstanding / 1000, now);
	}
	xdr_free((xdrproc_t)xdr_relay_lease_handover, (char *)&handover);
	return ok && rpc_reply(conn, xid, (xdrproc_t)xdr_relay_ping, &reply);
}

/* Handing over. */

/* The result does not matter: without the message the new owner waits. */
static void free_handover(struct rpc_call *rpc, enum rpc_status status,
			  XDR *xdr)
{
	(void)status;
	(void)xdr;
	g_free(rpc);
}

static void send_handover(struct quota_side *side, const char *owner,
			  struct lease_handover *items, u_int nr)
{
	g_autofree char *address = make_address(side, owner);
	struct relay_lease_handover handover = {
		.items = { .items_len = nr, .items_val = items },
	};
	struct rpc_conn *conn = peer_links_conn(side->links, address);
	struct rpc_call *rpc;

	if (!conn)
		return;
	counter_add(&side->handovers, nr);
	rpc = g_new0(struct rpc_call, 1);
	rpc->done = free_handover;
	rpc->deadline = DEADLINE_NEVER;
	rpc_call_start(conn, rpc, RELAY_PROGRAM, RELAY_VERSION,
		       RELAY_LEASE_HANDOVER,
		       (xdrproc_t)xdr_relay_lease_handover, &handover);
	rpc_conn_unref(conn);
}

static int compare_owners(const void *a, const void *b)
{
	const struct quota_handover *left = a, *right = b;

	return strcmp(left->owner, right->owner);
}

void quota_messages_hand_over(struct quota_side *side, const GArray *handovers)
{
	struct quota_handover *all = (struct quota_handover *)handovers->data;
	struct lease_handover items[LEASE_ITEMS_MAX];
	u_int nr = 0;

	if (!handovers->len)
		return;
	qsort(all, handovers->len, sizeof(*all), compare_owners);
	for (guint i = 0; i < handovers->len; i++) {
		items[nr].organisation = all[i].id;
		items[nr].tokens = (quad_t)(all[i].tokens * 1000);
		items[nr++].outstanding = (quad_t)(all[i].outstanding * 1000);
		if (i + 1 < handovers->len && nr < LEASE_ITEMS_MAX &&
		    !strcmp(all[i].owner, all[i + 1].owner))
			continue;
		send_handover(side, all[i].owner, items, nr);
		nr = 0;
	}
	log_event(LOG_INFO, "quota_handover", "organisations=%u",
		  handovers->len);
}

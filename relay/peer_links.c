#include "relay/peer_links_internal.h"

#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "mesh/liveness.h"
#include "relay/peer_message.h"
#include "relay/peers.h"

/* Least time between two attempts to connect to a daemon. */
#define RECONNECT_NS (100 * NS_PER_MS)

/*
 * A ping is sent when answers are outstanding and the other daemon has not
 * answered anything for this long.
 */
static const int64_t ping_after_ns[PEER_NR_LANES] = {
	[PEER_LANE_SHORT] = 150 * NS_PER_MS,
	[PEER_LANE_LONG] = 300 * NS_PER_MS,
};

/*
 * Timeouts of an unanswered ping. A daemon may get no processor for 100 ms, and
 * TCP retransmits a lost packet after 200 ms. On the connection for long
 * answers a ping's answer may be queued behind several of them, so its timeouts
 * are longer.
 */
static const struct liveness_timeouts liveness_timeouts[PEER_NR_LANES] = {
	[PEER_LANE_SHORT] = { .suspect_ns = 250 * NS_PER_MS,
			      .lost_ns = 1200 * NS_PER_MS },
	[PEER_LANE_LONG] = { .suspect_ns = 2500 * NS_PER_MS,
			     .lost_ns = 2500 * NS_PER_MS },
};

/*
 * How often a suspect or silent daemon is pinged, or connected to anew if the
 * connection is not open: it gets no request until it has answered a ping. The
 * old connection is not waited for, since TCP retransmits a SYN that was lost
 * in a partition only after seconds.
 */
#define RECOVERY_INTERVAL_NS (300 * NS_PER_MS)

/* Recovery attempts end when no request was to be sent for this long. */
#define RECOVERY_IDLE_NS (10 * NS_PER_SEC)

static void connect_link(struct peer_link *link);
static void send_ping(struct peer_link *link, int64_t now);

/* State of the other daemon; counts bytes received since a ping was sent. */
static enum liveness_state get_liveness(struct peer_link *link, int64_t now)
{
	if (link->conn && link->liveness.probe_sent_at)
		link->liveness.received_at =
			MAX(link->liveness.received_at,
			    rpc_conn_last_read(link->conn));
	return liveness_state(&link->liveness, &liveness_timeouts[link->lane],
			      now);
}

static bool is_open(const struct peer_link *link)
{
	return link->conn && !rpc_conn_closed(link->conn) &&
	       rpc_conn_established(link->conn);
}

/* Calls. */

int peer_link_count_calls(const struct peer_link *link)
{
	const struct cds_list_head *const lists[] = { &link->calls, &link->held,
						      &link->detached };
	const struct cds_list_head *node;
	int nr = 0;

	for (size_t i = 0; i < G_N_ELEMENTS(lists); i++)
		cds_list_for_each (node, lists[i])
			nr++;
	return nr;
}

/* Whether detached calls wait on a connection. */
static bool has_detached(const struct peer_link *link,
			 const struct rpc_conn *conn)
{
	const struct peer_call *call;

	cds_list_for_each_entry (call, &link->detached, node) {
		if (call->conn == conn)
			return true;
	}
	return false;
}

static void end_call(struct peer_call *call)
{
	struct rpc_conn *conn = call->conn;

	call->ended = true;
	call->request = NULL;
	call->conn = NULL;
	cds_list_del(&call->node);
	if (call->detached && !has_detached(call->link, conn))
		rpc_conn_close(conn);
	rpc_conn_unref(conn);
}

static void fail_held(struct peer_link *link)
{
	while (!cds_list_empty(&link->held)) {
		struct peer_call *call =
			cds_list_first_entry(&link->held, struct peer_call,
					     node);

		end_call(call);
		call->done(call, RPC_NOT_SENT, NULL);
	}
}

static struct peer_call *next_unreported(const struct peer_link *link)
{
	struct peer_call *call;

	cds_list_for_each_entry (call, &link->calls, node)
		if (!call->silence_reported)
			return call;
	return NULL;
}

/*
 * Reports the suspicion to each call in progress. A callback may end or start
 * calls, so each round searches the list from its start.
 */
static void report_silence(struct peer_link *link)
{
	struct peer_call *call;

	while ((call = next_unreported(link))) {
		call->silence_reported = true;
		call->silent(call);
	}
}

static void set_link_timer(struct peer_link *link, int64_t now)
{
	int64_t next =
		liveness_next_deadline(&link->liveness,
				       &liveness_timeouts[link->lane], now);

	if (next == DEADLINE_NEVER && !cds_list_empty(&link->calls))
		next = MAX(link->liveness.received_at, link->busy_since) +
		       ping_after_ns[link->lane];
	if (next != DEADLINE_NEVER)
		timers_set(link->links->context->timers, &link->timer, next);
}

static void start_link_timer(struct peer_link *link, int64_t now)
{
	if (!link->timer.position)
		set_link_timer(link, now);
}

static void on_done(struct rpc_call *rpc, enum rpc_status status, XDR *xdr)
{
	struct peer_call *call = caa_container_of(rpc, struct peer_call, rpc);
	struct relay_answer answer = { 0 };

	if (status == RPC_DONE)
		call->link->liveness.received_at = clock_monotonic_ns();
	end_call(call);
	if (status == RPC_DONE && (!xdr_relay_answer(xdr, &answer) ||
				   !peer_answer_is_valid(&answer))) {
		xdr_free((xdrproc_t)xdr_relay_answer, (char *)&answer);
		status = RPC_LOST;
	}
	call->done(call, status, status == RPC_DONE ? &answer : NULL);
}

static void transmit(struct peer_link *link, struct peer_call *call,
		     struct relay_request *request, int64_t now)
{
	if (cds_list_empty(&link->calls))
		link->busy_since = now;
	cds_list_add_tail(&call->node, &link->calls);
	start_link_timer(link, now);
	rpc_call_start_body(call->conn, &call->rpc, RELAY_PROGRAM,
			    RELAY_VERSION, RELAY_REQUEST,
			    (xdrproc_t)xdr_relay_request, request, call->body);
}

/* Subtracts the time that a request was held from its remaining times. */
static void subtract_held_time(struct relay_request *request, int64_t held_ms)
{
	request->time_left_ms = MAX(request->time_left_ms - held_ms, 1);
	request->objective_left_ms -= held_ms;
	if (request->due_left_ms)
		request->due_left_ms = MAX(request->due_left_ms - held_ms, 1);
}

static void send_held(struct peer_link *link, int64_t now)
{
	while (!cds_list_empty(&link->held)) {
		struct peer_call *call =
			cds_list_first_entry(&link->held, struct peer_call,
					     node);
		struct relay_request *request = call->request;

		cds_list_del(&call->node);
		call->request = NULL;
		subtract_held_time(request, (now - call->held_at) / NS_PER_MS);
		transmit(link, call, request, now);
	}
}

/* Ignores the answer to a cancellation, which carries no data. */
static void free_cancel(struct rpc_call *rpc, enum rpc_status status, XDR *xdr)
{
	(void)status;
	(void)xdr;
	g_free(rpc);
}

static void send_cancel(struct peer_call *call)
{
	struct relay_cancel cancel = { .xid = call->rpc.xid };
	struct rpc_call *rpc = g_new0(struct rpc_call, 1);

	rpc->done = free_cancel;
	rpc->deadline = DEADLINE_NEVER;
	rpc_call_start(call->conn, rpc, RELAY_PROGRAM, RELAY_VERSION,
		       RELAY_CANCEL, (xdrproc_t)xdr_relay_cancel, &cancel);
}

/* Liveness. */

static void set_recovery_timer(struct peer_link *link)
{
	timers_set(link->links->context->timers, &link->recovery_timer,
		   clock_monotonic_ns() + RECOVERY_INTERVAL_NS);
}

/* Takes the link out of use; logs each change of its state. */
static void set_state(struct peer_link *link, enum link_state state)
{
	if (link->state != state)
		log_event(LOG_WARNING,
			  state == LINK_SUSPECT ? "peer_suspect"
						: "peer_silent",
			  "peer=%s requests=%d", link->address,
			  peer_link_count_calls(link));
	link->state = state;
	set_recovery_timer(link);
}

static void mark_alive(struct peer_link *link)
{
	int64_t now = clock_monotonic_ns();

	link->liveness.received_at = now;
	if (link->state != LINK_USABLE) {
		log_event(LOG_NOTICE, "peer_back", "peer=%s", link->address);
		link->state = LINK_USABLE;
		timers_cancel(link->links->context->timers,
			      &link->recovery_timer);
	}
	send_held(link, now);
}

/* Detaches the sent calls, so that they can still end. */
static void detach_calls(struct peer_link *link)
{
	struct peer_call *call, *next;

	cds_list_for_each_entry_safe (call, next, &link->calls, node) {
		call->detached = true;
		cds_list_del(&call->node);
		cds_list_add_tail(&call->node, &link->detached);
	}
}

static struct peer_call *next_unanswered(const struct peer_link *link)
{
	struct peer_call *call;

	cds_list_for_each_entry (call, &link->detached, node)
		if (!call->at_most_once && !call->loss_reported)
			return call;
	return NULL;
}

/*
 * Reports the loss to each detached call that may be sent elsewhere too. The
 * other daemon is asked to refuse what it has not begun: it would run late,
 * with the time that was left as it was sent.
 */
static void report_unanswered(struct peer_link *link)
{
	struct peer_call *call;

	while ((call = next_unanswered(link))) {
		call->loss_reported = true;
		peer_links_recall(call);
		call->unanswered(call);
	}
}

/*
 * Gives up an open connection. It stays open while calls wait on it, whose
 * answers may come yet. On one that is not established nothing was sent, and
 * the calls must not be sent late.
 */
static void give_up_sent(struct peer_link *link, struct rpc_conn *conn)
{
	if (rpc_conn_established(conn))
		detach_calls(link);
	if (!has_detached(link, conn))
		rpc_conn_close(conn);
}

static void drop_conn(struct peer_link *link)
{
	struct rpc_conn *conn = link->conn;

	if (!conn)
		return;
	if (link->liveness.probe_sent_at)
		rpc_abandon(conn, &link->ping);
	link->liveness = (struct liveness){ 0 };
	link->conn = NULL;
	/* The calls of a closed connection end by themselves. */
	if (!rpc_conn_closed(conn))
		give_up_sent(link, conn);
	rpc_conn_unref(conn);
	fail_held(link);
	report_unanswered(link);
}

static void abandon_conn(struct peer_link *link)
{
	set_state(link, LINK_SILENT);
	drop_conn(link);
}

/*
 * The other daemon may be suspended. Requests that were not sent yet fail, so
 * that they go elsewhere; those that were sent may be hedged.
 */
static void mark_suspect(struct peer_link *link)
{
	set_state(link, LINK_SUSPECT);
	fail_held(link);
	report_silence(link);
}

static void on_link_timer(struct timer *timer, int64_t now)
{
	struct peer_link *link =
		caa_container_of(timer, struct peer_link, timer);
	enum liveness_state state = get_liveness(link, now);

	if (!link->conn)
		return;
	/* Nothing was sent yet on a connection that is not established. */
	if (state == LIVENESS_LOST ||
	    (state == LIVENESS_SUSPECT && !is_open(link))) {
		abandon_conn(link);
		return;
	}
	if (state == LIVENESS_SUSPECT && link->state == LINK_USABLE)
		mark_suspect(link);
	else if (!link->liveness.probe_sent_at &&
		 !cds_list_empty(&link->calls) &&
		 now - MAX(link->liveness.received_at, link->busy_since) >=
			 ping_after_ns[link->lane])
		send_ping(link, now);
	start_link_timer(link, now);
}

static void on_ping_done(struct rpc_call *call, enum rpc_status status,
			 XDR *xdr)
{
	struct peer_link *link = caa_container_of(call, struct peer_link, ping);

	(void)xdr;
	link->liveness.probe_sent_at = 0;
	if (status == RPC_DONE)
		mark_alive(link);
	else
		fail_held(link);
}

static void send_ping(struct peer_link *link, int64_t now)
{
	struct relay_ping ping = { .draining = backend_side_is_draining(
					   link->links->backend_side) };

	link->liveness.probe_sent_at = now;
	link->ping.done = on_ping_done;
	link->ping.deadline = DEADLINE_NEVER;
	set_link_timer(link, now);
	rpc_call_start(link->conn, &link->ping, RELAY_PROGRAM, RELAY_VERSION,
		       RELAY_PING, (xdrproc_t)xdr_relay_ping, &ping);
}

static void on_recovery_timer(struct timer *timer, int64_t now)
{
	struct peer_link *link =
		caa_container_of(timer, struct peer_link, recovery_timer);

	if (!is_open(link) || get_liveness(link, now) == LIVENESS_LOST)
		connect_link(link);
	else if (!link->liveness.probe_sent_at)
		send_ping(link, now);
	if (now - link->last_request < RECOVERY_IDLE_NS)
		timers_set(link->links->context->timers, timer,
			   now + RECOVERY_INTERVAL_NS);
}

/* Links. */

static struct peer_link *find_link(struct peer_links *links,
				   const char *address, enum peer_lane lane)
{
	struct peer_link *link =
		g_hash_table_lookup(links->lanes[lane], address);

	if (link)
		return link;
	link = g_new0(struct peer_link, 1);
	link->address = g_strdup(address);
	link->lane = lane;
	link->links = links;
	link->timer.fire = on_link_timer;
	link->recovery_timer.fire = on_recovery_timer;
	CDS_INIT_LIST_HEAD(&link->calls);
	CDS_INIT_LIST_HEAD(&link->held);
	CDS_INIT_LIST_HEAD(&link->detached);
	g_hash_table_insert(links->lanes[lane], link->address, link);
	return link;
}

/* Connects, and pings: a new connection does not show a live daemon. */
static void connect_link(struct peer_link *link)
{
	struct rpc_options options = {
		.loop = link->links->context->loop,
		.record_max = WIRE_TRAFFIC_RECORD_MAX,
		.output_max = PEERS_OUTPUT_MAX,
		.pacer = link->links->context->pacer,
		.account = link->links->context->account,
	};
	int64_t now = clock_monotonic_ns();
	struct net_address address;

	drop_conn(link);
	if (now < link->retry_deadline ||
	    !net_address_parse(&address, link->address, NULL))
		return;
	link->retry_deadline = now + RECONNECT_NS;
	link->conn = rpc_connect(&options, &address, NULL);
	if (link->conn)
		send_ping(link, now);
}

/* A reference to the connection, which is made if needed; NULL on failure. */
static struct rpc_conn *get_conn(struct peer_link *link)
{
	if (link->state != LINK_USABLE) {
		if (!link->recovery_timer.position)
			set_recovery_timer(link);
		return NULL;
	}
	if (!link->conn || rpc_conn_closed(link->conn))
		connect_link(link);
	return link->conn ? rpc_conn_ref(link->conn) : NULL;
}

/*
 * Whether a request must wait for a ping's answer. One that runs at most once
 * does, unless the other daemon has answered within LIVENESS_CONFIRMED_NS;
 * requests with long answers are never held.
 */
static bool must_hold(struct peer_link *link,
		      const struct relay_request *request, int64_t now)
{
	return request->at_most_once && link->lane == PEER_LANE_SHORT &&
	       get_liveness(link, now) != LIVENESS_CONFIRMED;
}

void peer_links_send(struct peer_links *links, const char *address,
		     enum peer_lane lane, struct relay_request *request,
		     struct peer_call *call)
{
	struct peer_link *link = find_link(links, address, lane);
	int64_t now = clock_monotonic_ns();

	link->last_request = now;
	call->link = link;
	call->at_most_once = request->at_most_once;
	call->detached = false;
	call->ended = false;
	call->silence_reported = false;
	call->loss_reported = false;
	call->rpc.done = on_done;
	call->rpc.deadline = DEADLINE_NEVER;
	call->conn = get_conn(link);
	if (!call->conn) {
		call->ended = true;
		call->done(call, RPC_NOT_SENT, NULL);
		return;
	}
	if (!must_hold(link, request, now)) {
		transmit(link, call, request, now);
		return;
	}
	call->request = request;
	call->held_at = now;
	cds_list_add_tail(&call->node, &link->held);
	if (!link->liveness.probe_sent_at)
		send_ping(link, now);
}

void peer_links_cancel(struct peer_call *call)
{
	if (call->ended)
		return;
	if (!call->request) {
		if (!rpc_abandon(call->conn, &call->rpc))
			return;
		send_cancel(call);
	}
	end_call(call);
}

struct peer_links *peer_links_new(const struct relay_context *context,
				  struct backend_side *backend_side)
{
	struct peer_links *links = g_new0(struct peer_links, 1);

	links->context = context;
	links->backend_side = backend_side;
	for (int i = 0; i < PEER_NR_LANES; i++)
		links->lanes[i] = g_hash_table_new(g_str_hash, g_str_equal);
	return links;
}

struct rpc_conn *peer_links_conn(struct peer_links *links, const char *address)
{
	struct peer_link *link = find_link(links, address, PEER_LANE_SHORT);

	link->last_request = clock_monotonic_ns();
	return get_conn(link);
}

bool peer_links_recall(struct peer_call *call)
{
	struct relay_recall recall = { .xid = call->rpc.xid };
	struct rpc_call *rpc;

	if (call->ended || call->request)
		return false;
	rpc = g_new0(struct rpc_call, 1);
	rpc->done = free_cancel;
	rpc->deadline = DEADLINE_NEVER;
	rpc_call_start(call->conn, rpc, RELAY_PROGRAM, RELAY_VERSION,
		       RELAY_RECALL, (xdrproc_t)xdr_relay_recall, &recall);
	return true;
}

void peer_links_check(struct peer_links *links, const char *address)
{
	struct peer_link *link = find_link(links, address, PEER_LANE_SHORT);

	if (link->state == LINK_USABLE && is_open(link) &&
	    !link->liveness.probe_sent_at)
		send_ping(link, clock_monotonic_ns());
}

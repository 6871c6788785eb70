#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "relay/peers.h"

/*
 * Answers that wait for a daemon which does not read them. One answer may be
 * longer; beyond it the connection is closed, so that memory stays bounded.
 */
#define OUTPUT_MAX (4 * 1024 * 1024)

/* After a failed connection the next attempt waits this long. */
#define RECONNECT_NS (100 * NS_PER_MS)

/*
 * While requests are out and nothing has come for PING_AFTER_NS, the other
 * daemon is asked for a sign of life; without one within the lane's wait the
 * connection is given up. Long answers may wait for their turn at the other
 * daemon's link.
 */
#define PING_AFTER_NS (300 * NS_PER_MS)
static const int64_t ping_wait_ns[PEER_NR_LANES] = {
	[PEER_LANE_SHORT] = 900 * NS_PER_MS,
	[PEER_LANE_LONG] = 2500 * NS_PER_MS,
};

/*
 * A connection that is not established by then is given up. Its first packet
 * was lost and comes again only after a second; nothing has left the host, so
 * its requests can go elsewhere.
 */
#define CONNECT_WAIT_NS (400 * NS_PER_MS)

/*
 * A daemon that fell silent gets no request until it has answered a ping. A
 * connection to it is tried anew this often, since a first packet that is lost
 * in a partition comes again only after seconds.
 */
#define REVIVE_NS (300 * NS_PER_MS)

/* Tries end when nothing was to be sent for so long. */
#define REVIVE_UNUSED_NS (10 * NS_PER_SEC)

/* A request of another daemon. */
struct remote_job {
	struct relay_job job; /* first: callbacks cast back */
	struct peers *peers;
	struct rpc_conn *conn;
	uint32_t xid;
	bool arrived;		   /* not handed to the backend side yet */
	struct cds_list_head node; /* in arrivals, when arrived */
};

/* The connection to another daemon. */
struct peer_link {
	char *address;
	enum peer_lane lane;
	struct peers *peers;
	struct rpc_conn *conn; /* NULL: none */
	int64_t connect_at;    /* when the connection was begun */
	int64_t retry_deadline;
	int64_t heard_at;
	unsigned nr_calls;
	struct timer timer; /* the next ping, while requests are out */
	struct rpc_call ping;
	int64_t ping_at; /* when it was sent */
	bool ping_out;
	bool silent;	   /* gets no request until it has answered a ping */
	int64_t wanted_at; /* when a request was last to be sent */
	struct timer revive;
};

struct peers {
	const struct relay_context *context;
	struct backend_side *backend_side;
	struct rpc_service service;
	struct rpc_listener *listener;
	GHashTable *links[PEER_NR_LANES]; /* address -> struct peer_link */
	GHashTable *jobs;		  /* set of struct remote_job */
	/*
	 * Requests of this turn. They start at its end, so that one whose
	 * cancellation came with it, after a pause of this process or a
	 * stalled link, does not run.
	 */
	struct cds_list_head arrivals;
};

/* Requests of this daemon. */

static void send_ping(struct peer_link *link, int64_t now);

static void watch_link(struct peer_link *link)
{
	if (link->nr_calls && !link->timer.position)
		timers_set(link->peers->context->timers, &link->timer,
			   clock_monotonic_ns() + PING_AFTER_NS);
}

static void drop_conn(struct peer_link *link)
{
	if (!link->conn)
		return;
	if (link->ping_out)
		rpc_forget(link->conn, &link->ping);
	link->ping_out = false;
	rpc_conn_close(link->conn);
	rpc_conn_unref(link->conn);
	link->conn = NULL;
}

static int64_t last_heard(const struct peer_link *link)
{
	return link->conn ? MAX(link->heard_at, rpc_conn_last_read(link->conn))
			  : link->heard_at;
}

static void connect_link(struct peer_link *link);

static void set_silent(struct peer_link *link)
{
	link->silent = true;
	timers_set(link->peers->context->timers, &link->revive,
		   clock_monotonic_ns() + REVIVE_NS);
}

static void on_revive(struct timer *timer, int64_t now)
{
	struct peer_link *link =
		caa_container_of(timer, struct peer_link, revive);
	bool open = link->conn && !rpc_conn_closed(link->conn) &&
		    rpc_conn_established(link->conn);

	if (!open ||
	    (link->ping_out && now - link->ping_at >= ping_wait_ns[link->lane]))
		connect_link(link);
	else if (!link->ping_out)
		send_ping(link, now);
	if (now - link->wanted_at < REVIVE_UNUSED_NS)
		timers_set(link->peers->context->timers, timer,
			   now + REVIVE_NS);
}

static void set_heard(struct peer_link *link)
{
	link->heard_at = clock_monotonic_ns();
	if (!link->silent)
		return;
	log_event(LOG_NOTICE, "peer_back", "peer=%s", link->address);
	link->silent = false;
	timers_cancel(link->peers->context->timers, &link->revive);
}

static void give_up(struct peer_link *link)
{
	log_event(LOG_WARNING, "peer_silent", "peer=%s requests=%u",
		  link->address, link->nr_calls);
	drop_conn(link);
	set_silent(link);
}

static bool is_connecting(const struct peer_link *link)
{
	return link->conn && !rpc_conn_closed(link->conn) &&
	       !rpc_conn_established(link->conn);
}

static void on_link_timer(struct timer *timer, int64_t now)
{
	struct peer_link *link =
		caa_container_of(timer, struct peer_link, timer);
	int64_t heard = last_heard(link);
	int64_t wait = ping_wait_ns[link->lane];

	if (is_connecting(link)) {
		if (now - link->connect_at >= CONNECT_WAIT_NS)
			give_up(link);
		else
			timers_set(link->peers->context->timers, &link->timer,
				   link->connect_at + CONNECT_WAIT_NS);
		return;
	}
	/* The answer to the ping may wait behind a long one. */
	if (link->ping_out && now - MAX(heard, link->ping_at) >= wait) {
		give_up(link);
		return;
	}
	if (!link->nr_calls || !link->conn)
		return;
	if (!link->ping_out && now - heard >= PING_AFTER_NS)
		send_ping(link, now);
	timers_set(link->peers->context->timers, &link->timer,
		   link->ping_out ? MAX(heard, link->ping_at) + wait
				  : heard + PING_AFTER_NS);
}

static void on_pong(struct rpc_call *call, enum rpc_status status, XDR *xdr)
{
	struct peer_link *link = caa_container_of(call, struct peer_link, ping);

	(void)xdr;
	link->ping_out = false;
	if (status == RPC_DONE)
		set_heard(link);
	watch_link(link);
}

static void send_ping(struct peer_link *link, int64_t now)
{
	struct relay_ping ping = { .draining = backend_side_is_draining(
					   link->peers->backend_side) };

	link->ping_out = true;
	link->ping.done = on_pong;
	link->ping.deadline = DEADLINE_NEVER;
	link->ping_at = now;
	rpc_call_start(link->conn, &link->ping, RELAY_PROGRAM, RELAY_VERSION,
		       RELAY_PING, (xdrproc_t)xdr_relay_ping, &ping);
}

static struct peer_link *find_link(struct peers *peers, const char *address,
				   enum peer_lane lane)
{
	struct peer_link *link =
		g_hash_table_lookup(peers->links[lane], address);

	if (link)
		return link;
	link = g_new0(struct peer_link, 1);
	link->address = g_strdup(address);
	link->lane = lane;
	link->peers = peers;
	link->timer.fire = on_link_timer;
	link->revive.fire = on_revive;
	g_hash_table_insert(peers->links[lane], link->address, link);
	return link;
}

static void connect_link(struct peer_link *link)
{
	struct rpc_options options = {
		.loop = link->peers->context->loop,
		.record_max = WIRE_TRAFFIC_RECORD_MAX,
		.output_max = OUTPUT_MAX,
		.pacer = link->peers->context->pacer,
	};
	int64_t now = clock_monotonic_ns();
	struct net_address address;

	drop_conn(link);
	if (now < link->retry_deadline ||
	    !net_address_parse(&address, link->address, NULL))
		return;
	link->connect_at = now;
	link->retry_deadline = now + RECONNECT_NS;
	link->conn = rpc_connect(&options, &address, NULL);
}

static void end_call(struct peer_call *call)
{
	call->ended = true;
	call->link->nr_calls--;
	if (call->conn)
		rpc_conn_unref(call->conn);
	call->conn = NULL;
}

static void on_done(struct rpc_call *rpc, enum rpc_status status, XDR *xdr)
{
	struct peer_call *call = caa_container_of(rpc, struct peer_call, rpc);
	struct relay_answer answer = { 0 };

	call->link->heard_at = clock_monotonic_ns();
	end_call(call);
	if (status == RPC_DONE && !xdr_relay_answer(xdr, &answer)) {
		xdr_free((xdrproc_t)xdr_relay_answer, (char *)&answer);
		status = RPC_LOST;
	}
	call->done(call, status, status == RPC_DONE ? &answer : NULL);
}

void peers_send(struct peers *peers, const char *address, enum peer_lane lane,
		struct relay_request *request, struct peer_call *call)
{
	struct peer_link *link = find_link(peers, address, lane);

	call->link = link;
	call->conn = NULL;
	call->ended = false;
	call->rpc.done = on_done;
	call->rpc.deadline = DEADLINE_NEVER;
	link->wanted_at = clock_monotonic_ns();
	if (link->silent) {
		if (!link->revive.position)
			set_silent(link);
	} else {
		if (!link->conn || rpc_conn_closed(link->conn))
			connect_link(link);
		call->conn = link->conn ? rpc_conn_ref(link->conn) : NULL;
	}
	if (!link->nr_calls++)
		link->heard_at = clock_monotonic_ns();
	if (!call->conn) {
		end_call(call);
		call->done(call, RPC_NOT_SENT, NULL);
		return;
	}
	watch_link(link);
	rpc_call_start(call->conn, &call->rpc, RELAY_PROGRAM, RELAY_VERSION,
		       RELAY_REQUEST, (xdrproc_t)xdr_relay_request, request);
}

/* The answer to a cancellation only shows that the other side is there. */
static void free_cancel(struct rpc_call *rpc, enum rpc_status status, XDR *xdr)
{
	(void)status;
	(void)xdr;
	g_free(rpc);
}

void peers_cancel(struct peers *peers, struct peer_call *call)
{
	struct relay_cancel cancel = { .xid = call->rpc.xid };
	struct rpc_call *rpc;

	(void)peers;
	if (call->ended || !rpc_forget(call->conn, &call->rpc))
		return;
	rpc = g_new0(struct rpc_call, 1);
	rpc->done = free_cancel;
	rpc->deadline = DEADLINE_NEVER;
	rpc_call_start(call->conn, rpc, RELAY_PROGRAM, RELAY_VERSION,
		       RELAY_CANCEL, (xdrproc_t)xdr_relay_cancel, &cancel);
	end_call(call);
}

/* Requests of other daemons. */

static void free_remote(struct remote_job *remote)
{
	g_hash_table_remove(remote->peers->jobs, remote);
	rpc_conn_unref(remote->conn);
	xdr_free((xdrproc_t)xdr_relay_request, (char *)&remote->job.request);
	g_free(remote);
}

static void reply_remote(struct relay_job *job, struct relay_answer *answer)
{
	struct remote_job *remote = (struct remote_job *)job;

	/* The sender of the request learns of the loss by the end. */
	if (!rpc_reply(remote->conn, remote->xid, (xdrproc_t)xdr_relay_answer,
		       answer))
		rpc_conn_close(remote->conn);
	xdr_free((xdrproc_t)xdr_relay_answer, (char *)answer);
	free_remote(remote);
}

static bool serve_request(struct peers *peers, struct rpc_conn *conn,
			  uint32_t xid, XDR *args)
{
	struct remote_job *remote = g_new0(struct remote_job, 1);

	if (!xdr_relay_request(args, &remote->job.request)) {
		xdr_free((xdrproc_t)xdr_relay_request,
			 (char *)&remote->job.request);
		g_free(remote);
		return false;
	}
	remote->peers = peers;
	remote->conn = rpc_conn_ref(conn);
	remote->xid = xid;
	remote->job.done = reply_remote;
	remote->arrived = true;
	g_hash_table_add(peers->jobs, remote);
	cds_list_add_tail(&remote->node, &peers->arrivals);
	return true;
}

static void cancel_remote(struct peers *peers, struct remote_job *remote)
{
	if (remote->arrived)
		cds_list_del(&remote->node);
	else
		backend_side_cancel(peers->backend_side, &remote->job);
	free_remote(remote);
}

/* A job of a connection, with an id unless xid is 0, or NULL. */
static struct remote_job *find_job(struct peers *peers,
				   const struct rpc_conn *conn, uint32_t xid)
{
	struct remote_job *remote;
	GHashTableIter iter;

	g_hash_table_iter_init(&iter, peers->jobs);
	while (g_hash_table_iter_next(&iter, (gpointer *)&remote, NULL)) {
		if (remote->conn == conn && (!xid || remote->xid == xid))
			return remote;
	}
	return NULL;
}

static bool serve_cancel(struct peers *peers, struct rpc_conn *conn,
			 uint32_t xid, XDR *args)
{
	struct remote_job *remote;
	struct relay_cancel cancel;

	if (!xdr_relay_cancel(args, &cancel))
		return false;
	remote = find_job(peers, conn, cancel.xid);
	if (remote)
		cancel_remote(peers, remote);
	return rpc_reply(conn, xid, (xdrproc_t)xdr_relay_cancel, &cancel);
}

static bool serve_ping(struct peers *peers, struct rpc_conn *conn, uint32_t xid,
		       XDR *args)
{
	struct relay_ping ping;

	if (!xdr_relay_ping(args, &ping))
		return false;
	ping.draining = backend_side_is_draining(peers->backend_side);
	return rpc_reply(conn, xid, (xdrproc_t)xdr_relay_ping, &ping);
}

static bool handle(struct rpc_conn *conn, void *ctx, uint32_t xid,
		   uint32_t procedure, XDR *args, enum accept_stat *error)
{
	struct peers *peers = ctx;

	*error = GARBAGE_ARGS;
	switch (procedure) {
	case RELAY_REQUEST:
		return serve_request(peers, conn, xid, args);
	case RELAY_CANCEL:
		return serve_cancel(peers, conn, xid, args);
	case RELAY_PING:
		return serve_ping(peers, conn, xid, args);
	default:
		*error = PROC_UNAVAIL;
		return false;
	}
}

/* Nobody waits any more for the requests of a connection that ended. */
static void on_closed(struct rpc_conn *conn, void *ctx, const char *reason)
{
	struct remote_job *remote;
	struct peers *peers = ctx;

	(void)reason;
	/* A cancellation starts other jobs, which may end at once. */
	while ((remote = find_job(peers, conn, 0)))
		cancel_remote(peers, remote);
}

void peers_turn(struct peers *peers)
{
	while (!cds_list_empty(&peers->arrivals)) {
		struct remote_job *remote =
			cds_list_first_entry(&peers->arrivals,
					     struct remote_job, node);

		cds_list_del(&remote->node);
		remote->arrived = false;
		backend_side_submit(peers->backend_side, &remote->job);
	}
}

struct peers *peers_new(const struct relay_context *context,
			struct backend_side *backend_side, GError **error)
{
	struct peers *peers = g_new0(struct peers, 1);
	struct rpc_options options = {
		.loop = context->loop,
		.record_max = WIRE_TRAFFIC_RECORD_MAX,
		.output_max = OUTPUT_MAX,
		.pacer = context->pacer,
		.service = &peers->service,
	};

	peers->context = context;
	peers->backend_side = backend_side;
	for (int i = 0; i < PEER_NR_LANES; i++)
		peers->links[i] = g_hash_table_new(g_str_hash, g_str_equal);
	peers->jobs = g_hash_table_new(NULL, NULL);
	CDS_INIT_LIST_HEAD(&peers->arrivals);
	peers->service.program = RELAY_PROGRAM;
	peers->service.version = RELAY_VERSION;
	peers->service.handle = handle;
	peers->service.closed = on_closed;
	peers->service.ctx = peers;
	peers->listener = rpc_listen(&options, &context->host->peers, error);
	if (peers->listener)
		return peers;
	for (int i = 0; i < PEER_NR_LANES; i++)
		g_hash_table_unref(peers->links[i]);
	g_hash_table_unref(peers->jobs);
	g_free(peers);
	return NULL;
}

static void dump_lane(const struct peers *peers, enum peer_lane lane,
		      json_t *array)
{
	struct peer_link *link;
	GHashTableIter iter;

	g_hash_table_iter_init(&iter, peers->links[lane]);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&link)) {
		bool open = link->conn && !rpc_conn_closed(link->conn);

		json_array_append_new(array, json_pack("{s:s, s:s, s:b, s:i}",
						       "address", link->address,
						       "lane",
						       lane == PEER_LANE_LONG
							       ? "long"
							       : "short",
						       "open", open, "requests",
						       (int)link->nr_calls));
	}
}

json_t *peers_dump(const struct peers *peers)
{
	json_t *array = json_array();

	for (int i = 0; i < PEER_NR_LANES; i++)
		dump_lane(peers, (enum peer_lane)i, array);
	return array;
}

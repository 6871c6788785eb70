#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "relay/peer_message.h"
#include "relay/peers.h"
#include "retry/retry.h"

/* A request from another daemon. */
struct remote_job {
	struct relay_job job; /* must be first: its callback casts */
	struct peers *peers;
	struct rpc_conn *conn;
	uint32_t xid;
	GBytes *record;		   /* contains the body; NULL: a copy is held */
	bool arrived;		   /* not submitted to the backend side yet */
	struct cds_list_head node; /* in arrivals, while arrived is set */
};

struct peers {
	struct backend_side *backend_side;
	const struct memory_account *account;
	struct counter nr_dropped;
	struct quota_side *quota;
	struct rpc_service service;
	struct rpc_listener *listener;
	GHashTable *conns; /* set of open struct rpc_conn, with references */
	GHashTable *jobs;  /* set of struct remote_job */
	/*
	 * Requests received in this event-loop iteration. They start at its
	 * end: after a pause of this process or a stalled link, a request and
	 * its cancellation may arrive together, and it must not run then.
	 */
	struct cds_list_head arrivals;
};

/* Frees a decoded request; a body in its record is not allocated itself. */
static void release_request(struct remote_job *remote)
{
	if (remote->record) {
		remote->job.request.body.body_val = NULL;
		remote->job.request.body.body_len = 0;
		g_bytes_unref(remote->record);
	}
	xdr_free((xdrproc_t)xdr_relay_request, (char *)&remote->job.request);
}

static void free_remote(struct remote_job *remote)
{
	g_hash_table_remove(remote->peers->jobs, remote);
	rpc_conn_unref(remote->conn);
	release_request(remote);
	g_free(remote);
}

static void reply_remote(struct relay_job *job, struct relay_answer *answer)
{
	struct remote_job *remote = (struct remote_job *)job;

	/* The closed connection shows the sender that the answer is lost. */
	if (!rpc_reply(remote->conn, remote->xid, (xdrproc_t)xdr_relay_answer,
		       answer))
		rpc_conn_close(remote->conn);
	xdr_free((xdrproc_t)xdr_relay_answer, (char *)answer);
	free_remote(remote);
}

/* Decodes a request, in place if its record is long. */
static bool decode_request(struct remote_job *remote, struct rpc_conn *conn,
			   XDR *args)
{
	struct relay_request *request = &remote->job.request;
	GBytes *record = rpc_conn_take_record(conn);
	bool in_place = false;
	bool ok;

	if (!record)
		return xdr_relay_request(args, request);
	ok = wire_decode_in_place(args, (xdrproc_t)xdr_relay_request, request,
				  &request->body.body_val,
				  NET_LONG_RECORD_BYTES / 2, &in_place);
	/*
	 * The data stay valid until the record is handled: without the body in
	 * it, only the rest of this call uses them.
	 */
	if (in_place)
		remote->record = record;
	else
		g_bytes_unref(record);
	return ok;
}

static bool serve_request(struct peers *peers, struct rpc_conn *conn,
			  uint32_t xid, XDR *args)
{
	struct remote_job *remote = g_new0(struct remote_job, 1);

	if (!decode_request(remote, conn, args) ||
	    !peer_request_is_valid(&remote->job.request)) {
		release_request(remote);
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

/* The job of a connection with this xid, or any if xid is 0; NULL: none. */
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

static void refuse_arrival(struct remote_job *remote)
{
	struct relay_answer answer = { .reason = FAILURE_KEY_REVOKED,
				       .fields = strdup("") };

	cds_list_del(&remote->node);
	reply_remote(&remote->job, &answer);
}

/* The answer of a request that is taken back comes as its own reply. */
static bool serve_recall(struct peers *peers, struct rpc_conn *conn,
			 uint32_t xid, XDR *args)
{
	struct relay_recall recall;
	struct remote_job *remote;

	if (!xdr_relay_recall(args, &recall))
		return false;
	remote = find_job(peers, conn, recall.xid);
	if (remote && remote->arrived)
		refuse_arrival(remote);
	else if (remote)
		backend_side_recall(peers->backend_side, &remote->job);
	return rpc_reply(conn, xid, (xdrproc_t)xdr_relay_recall, &recall);
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

	if (!g_hash_table_contains(peers->conns, conn))
		g_hash_table_add(peers->conns, rpc_conn_ref(conn));
	*error = GARBAGE_ARGS;
	switch (procedure) {
	case RELAY_REQUEST:
		return serve_request(peers, conn, xid, args);
	case RELAY_CANCEL:
		return serve_cancel(peers, conn, xid, args);
	case RELAY_PING:
		return serve_ping(peers, conn, xid, args);
	case RELAY_RECALL:
		return serve_recall(peers, conn, xid, args);
	case RELAY_LEASE:
		return quota_side_serve_lease(peers->quota, conn, xid, args);
	case RELAY_LEASE_HANDOVER:
		return quota_side_serve_handover(peers->quota, conn, xid, args);
	default:
		*error = PROC_UNAVAIL;
		return false;
	}
}

/* Refuses a request that was dropped unread for lack of memory. */
static void on_dropped(struct rpc_conn *conn, void *ctx, uint32_t xid,
		       uint32_t procedure)
{
	struct relay_answer answer = { .reason = FAILURE_QUEUE_FULL,
				       .fields = "" };
	struct peers *peers = ctx;

	counter_add(&peers->nr_dropped, 1);
	log_event(LOG_INFO, "memory_refused",
		  "xid=%u procedure=%u reason=no-room used=%zu limit=%zu", xid,
		  procedure, peers->account->used, peers->account->limit);
	if (procedure != RELAY_REQUEST ||
	    !rpc_reply(conn, xid, (xdrproc_t)xdr_relay_answer, &answer))
		rpc_conn_close(conn);
}

/* Cancels the requests of a closed connection: their answers are not awaited.
 */
static void on_closed(struct rpc_conn *conn, void *ctx, const char *reason)
{
	struct remote_job *remote;
	struct peers *peers = ctx;

	(void)reason;
	/* Cancelling may start and end other jobs, so the search restarts. */
	while ((remote = find_job(peers, conn, 0)))
		cancel_remote(peers, remote);
	g_hash_table_remove(peers->conns, conn);
}

bool peers_is_busy(const struct peers *peers)
{
	GHashTableIter iter;
	const struct rpc_conn *conn;

	if (g_hash_table_size(peers->jobs))
		return true;
	g_hash_table_iter_init(&iter, peers->conns);
	while (g_hash_table_iter_next(&iter, (gpointer *)&conn, NULL)) {
		if (rpc_conn_is_transferring(conn))
			return true;
	}
	return false;
}

void peers_read_pending(struct peers *peers)
{
	/* Reading may close connections, which changes the table. */
	g_autoptr(GPtrArray) conns =
		g_ptr_array_new_with_free_func((GDestroyNotify)rpc_conn_unref);
	GHashTableIter iter;
	struct rpc_conn *conn;

	g_hash_table_iter_init(&iter, peers->conns);
	while (g_hash_table_iter_next(&iter, (gpointer *)&conn, NULL))
		g_ptr_array_add(conns, rpc_conn_ref(conn));
	for (guint i = 0; i < conns->len; i++)
		rpc_conn_read_pending(g_ptr_array_index(conns, i));
	peers_start_arrivals(peers);
}

void peers_start_arrivals(struct peers *peers)
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
			struct backend_side *backend_side,
			struct quota_side *quota, GError **error)
{
	struct peers *peers = g_new0(struct peers, 1);
	struct rpc_options options = {
		.loop = context->loop,
		.record_max = WIRE_TRAFFIC_RECORD_MAX,
		.output_max = PEERS_OUTPUT_MAX,
		.pacer = context->pacer,
		.account = context->account,
		.service = &peers->service,
	};

	peers->backend_side = backend_side;
	peers->account = context->account;
	peers->nr_dropped.name = "godwitspur_memory_dropped_total";
	peers->nr_dropped.help =
		"Requests of daemons refused unread for lack of memory.";
	metrics_add_counter(context->metrics, &peers->nr_dropped);
	peers->quota = quota;
	peers->conns =
		g_hash_table_new_full(NULL, NULL,
				      (GDestroyNotify)rpc_conn_unref, NULL);
	peers->jobs = g_hash_table_new(NULL, NULL);
	CDS_INIT_LIST_HEAD(&peers->arrivals);
	peers->service.program = RELAY_PROGRAM;
	peers->service.version = RELAY_VERSION;
	peers->service.handle = handle;
	if (context->account)
		peers->service.dropped = on_dropped;
	peers->service.closed = on_closed;
	peers->service.ctx = peers;
	peers->listener = rpc_listen(&options, &context->host->peers, error);
	if (peers->listener)
		return peers;
	g_hash_table_unref(peers->conns);
	g_hash_table_unref(peers->jobs);
	g_free(peers);
	return NULL;
}

#include <errno.h>
#include <sys/epoll.h>
#include <unistd.h>

#include "net/rpc.h"

/* A power of two; calls are spread over the buckets by transaction id. */
#define CALL_BUCKETS 64

struct rpc_conn {
	gint refs;
	struct net_conn *conn;
	const struct rpc_service *service;
	pthread_mutex_t lock; /* guards calls, next_xid and closed */
	struct cds_list_head calls[CALL_BUCKETS];
	uint32_t next_xid;
	bool closed;
	void *data;
	void (*free_data)(void *);
};

static void on_record(struct net_conn *conn, const unsigned char *data,
		      size_t len);
static void on_closed(struct net_conn *conn, const char *reason);

static void on_dropped(struct net_conn *conn, const unsigned char *head,
		       size_t len);

static const struct net_conn_ops conn_ops = {
	.on_record = on_record,
	.on_closed = on_closed,
};

static const struct net_conn_ops dropping_ops = {
	.on_record = on_record,
	.on_dropped = on_dropped,
	.on_closed = on_closed,
};

static void rpc_conn_free(struct rpc_conn *rpc)
{
	if (rpc->free_data)
		rpc->free_data(rpc->data);
	pthread_mutex_destroy(&rpc->lock);
	g_free(rpc);
}

/* Called when the record connection is freed; drops its reference. */
static void free_from_conn(void *ctx)
{
	struct rpc_conn *rpc = ctx;

	if (g_atomic_int_dec_and_test(&rpc->refs))
		rpc_conn_free(rpc);
}

static struct rpc_conn *wrap(const struct rpc_options *options, int fd,
			     bool connecting)
{
	struct rpc_conn *rpc = g_new0(struct rpc_conn, 1);
	struct net_conn_options conn_options = {
		.loop = options->loop,
		.fd = fd,
		.connecting = connecting,
		.record_max = options->record_max,
		.output_max = options->output_max,
		.traffic = options->traffic,
		.pacer = options->pacer,
		.account = options->account,
		.ops = options->service && options->service->dropped
			       ? &dropping_ops
			       : &conn_ops,
		.ctx = rpc,
		.free_ctx = free_from_conn,
	};

	/*
	 * The caller and the record connection hold one reference each. Each
	 * reference of the caller also holds one to the record connection.
	 */
	rpc->refs = 2;
	rpc->service = options->service;
	rpc->next_xid = 1;
	pthread_mutex_init(&rpc->lock, NULL);
	for (int i = 0; i < CALL_BUCKETS; i++)
		CDS_INIT_LIST_HEAD(&rpc->calls[i]);
	/*
	 * The loop's thread may run on_closed() before net_conn_new() returns.
	 * The lock makes it wait until rpc->conn, which the callbacks use, is
	 * set.
	 */
	pthread_mutex_lock(&rpc->lock);
	rpc->conn = net_conn_new(&conn_options);
	pthread_mutex_unlock(&rpc->lock);
	return rpc;
}

struct rpc_conn *rpc_accept(const struct rpc_options *options, int fd)
{
	return wrap(options, fd, false);
}

struct rpc_conn *rpc_connect(const struct rpc_options *options,
			     const struct net_address *address, GError **error)
{
	int fd = net_connect(address, error);

	return fd < 0 ? NULL : wrap(options, fd, true);
}

struct rpc_conn *rpc_conn_ref(struct rpc_conn *rpc)
{
	g_atomic_int_inc(&rpc->refs);
	net_conn_ref(rpc->conn);
	return rpc;
}

void rpc_conn_unref(struct rpc_conn *rpc)
{
	struct net_conn *conn = rpc->conn;

	if (g_atomic_int_dec_and_test(&rpc->refs))
		rpc_conn_free(rpc);
	net_conn_unref(conn);
}

void rpc_conn_close(struct rpc_conn *rpc)
{
	net_conn_close(rpc->conn);
}

bool rpc_conn_closed(struct rpc_conn *rpc)
{
	bool closed;

	pthread_mutex_lock(&rpc->lock);
	closed = rpc->closed;
	pthread_mutex_unlock(&rpc->lock);
	return closed;
}

bool rpc_conn_established(struct rpc_conn *rpc)
{
	return net_conn_established(rpc->conn);
}

bool rpc_conn_is_transferring(const struct rpc_conn *rpc)
{
	return net_conn_is_transferring(rpc->conn);
}

void rpc_conn_read_pending(struct rpc_conn *rpc)
{
	net_conn_read_pending(rpc->conn);
}

void rpc_conn_peer(const struct rpc_conn *rpc, char *text, size_t size)
{
	net_conn_peer(rpc->conn, text, size);
}

int64_t rpc_conn_last_read(const struct rpc_conn *rpc)
{
	return net_conn_last_read(rpc->conn);
}

void rpc_conn_set_data(struct rpc_conn *rpc, void *data,
		       void (*free_data)(void *))
{
	rpc->data = data;
	rpc->free_data = free_data;
}

void *rpc_conn_data(const struct rpc_conn *rpc)
{
	return rpc->data;
}

static struct cds_list_head *bucket(struct rpc_conn *rpc, uint32_t xid)
{
	return &rpc->calls[xid % CALL_BUCKETS];
}

/*
 * Assigns a transaction id and inserts the call. Returns false when the
 * connection is closed or its transaction ids are used up; a new connection is
 * needed then.
 */
static bool insert_call(struct rpc_conn *rpc, struct rpc_call *call)
{
	bool ok;

	pthread_mutex_lock(&rpc->lock);
	ok = !rpc->closed && rpc->next_xid != UINT32_MAX;
	if (ok) {
		call->xid = rpc->next_xid++;
		cds_list_add_tail(&call->node, bucket(rpc, call->xid));
	}
	pthread_mutex_unlock(&rpc->lock);
	return ok;
}

/* Removes and returns the call with this transaction id, or returns NULL. */
static struct rpc_call *remove_call(struct rpc_conn *rpc, uint32_t xid)
{
	struct rpc_call *call, *found = NULL;

	pthread_mutex_lock(&rpc->lock);
	cds_list_for_each_entry (call, bucket(rpc, xid), node) {
		if (call->xid == xid) {
			found = call;
			cds_list_del(&call->node);
			break;
		}
	}
	pthread_mutex_unlock(&rpc->lock);
	return found;
}

static bool send_record(struct rpc_conn *rpc, const struct wire_record *record,
			GBytes *body)
{
	const struct net_record out = {
		.data = record->data,
		.len = record->len,
		.body = record->has_body ? body : NULL,
		.body_at = record->body_at,
	};

	return net_conn_send_record(rpc->conn, &out);
}

void rpc_call_start(struct rpc_conn *rpc, struct rpc_call *call,
		    uint32_t program, uint32_t version, uint32_t procedure,
		    xdrproc_t xdr_args, void *args)
{
	rpc_call_start_body(rpc, call, program, version, procedure, xdr_args,
			    args, NULL);
}

void rpc_call_start_body(struct rpc_conn *rpc, struct rpc_call *call,
			 uint32_t program, uint32_t version, uint32_t procedure,
			 xdrproc_t xdr_args, void *args, GBytes *body)
{
	const void *around = body ? g_bytes_get_data(body, NULL) : NULL;
	struct wire_record record;
	uint32_t xid;
	bool sent;

	if (!insert_call(rpc, call)) {
		call->done(call, RPC_NOT_SENT, NULL);
		return;
	}
	xid = call->xid;
	if (!wire_encode_call_around(&record, xid, program, version, procedure,
				     xdr_args, args, around)) {
		if (remove_call(rpc, xid))
			call->done(call, RPC_NOT_SENT, NULL);
		return;
	}
	sent = send_record(rpc, &record, body);
	g_free(record.data);
	/* The call may already be done, and its memory freed. */
	if (!sent) {
		call = remove_call(rpc, xid);
		if (call)
			call->done(call, RPC_NOT_SENT, NULL);
	}
}

bool rpc_abandon(struct rpc_conn *rpc, struct rpc_call *call)
{
	return remove_call(rpc, call->xid) != NULL;
}

void rpc_conn_expire(struct rpc_conn *rpc, int64_t now)
{
	struct rpc_call *call, *next;
	struct cds_list_head expired;

	CDS_INIT_LIST_HEAD(&expired);
	pthread_mutex_lock(&rpc->lock);
	for (int i = 0; i < CALL_BUCKETS; i++) {
		cds_list_for_each_entry_safe (call, next, &rpc->calls[i],
					      node) {
			if (call->deadline > now)
				continue;
			cds_list_del(&call->node);
			cds_list_add_tail(&call->node, &expired);
		}
	}
	pthread_mutex_unlock(&rpc->lock);
	cds_list_for_each_entry_safe (call, next, &expired, node)
		call->done(call, RPC_TIMED_OUT, NULL);
}

bool rpc_reply(struct rpc_conn *rpc, uint32_t xid, xdrproc_t xdr_result,
	       void *result)
{
	struct wire_record record;
	bool sent;

	if (!wire_encode_reply(&record, xid, xdr_result, result))
		return false;
	sent = net_conn_send(rpc->conn, record.data, record.len);
	g_free(record.data);
	return sent;
}

static void refuse(struct rpc_conn *rpc, uint32_t xid, enum accept_stat status)
{
	struct wire_record record;

	if (!wire_encode_error(&record, xid, status))
		return;
	net_conn_send(rpc->conn, record.data, record.len);
	g_free(record.data);
}

static void serve_call(struct rpc_conn *rpc, const struct wire_header *header,
		       XDR *xdr)
{
	const struct rpc_service *service = rpc->service;
	enum accept_stat error = GARBAGE_ARGS;

	if (!service || header->program != service->program)
		refuse(rpc, header->xid, PROG_UNAVAIL);
	else if (header->version != service->version)
		refuse(rpc, header->xid, PROG_MISMATCH);
	else if (!service->handle(rpc, service->ctx, header->xid,
				  header->procedure, xdr, &error))
		refuse(rpc, header->xid, error);
}

static void on_record(struct net_conn *conn, const unsigned char *data,
		      size_t len)
{
	struct rpc_conn *rpc = net_conn_ctx(conn);
	struct wire_header header;
	struct rpc_call *call;
	XDR xdr;

	if (!wire_decode(&xdr, data, len, &header)) {
		net_conn_close(conn);
		return;
	}
	if (header.kind == WIRE_CALL) {
		serve_call(rpc, &header, &xdr);
	} else {
		call = remove_call(rpc, header.xid);
		if (call && header.success)
			call->done(call, RPC_DONE, &xdr);
		else if (call)
			call->done(call, RPC_REFUSED, NULL);
	}
	xdr_destroy(&xdr);
}

static void on_dropped(struct net_conn *conn, const unsigned char *head,
		       size_t len)
{
	struct rpc_conn *rpc = net_conn_ctx(conn);
	const struct rpc_service *service = rpc->service;
	struct wire_header header;
	XDR xdr;

	if (!wire_decode(&xdr, head, len, &header) ||
	    header.kind != WIRE_CALL || header.program != service->program) {
		net_conn_close(conn);
		return;
	}
	xdr_destroy(&xdr);
	service->dropped(rpc, service->ctx, header.xid, header.procedure);
}

GBytes *rpc_conn_take_record(struct rpc_conn *rpc)
{
	return net_conn_take_record(rpc->conn);
}

/* Removes and returns any outstanding call, or returns NULL. */
static struct rpc_call *remove_any_call(struct rpc_conn *rpc)
{
	struct rpc_call *first = NULL;

	pthread_mutex_lock(&rpc->lock);
	for (int i = 0; i < CALL_BUCKETS && !first; i++) {
		if (cds_list_empty(&rpc->calls[i]))
			continue;
		first = cds_list_first_entry(&rpc->calls[i], struct rpc_call,
					     node);
		cds_list_del(&first->node);
	}
	pthread_mutex_unlock(&rpc->lock);
	return first;
}

static void on_closed(struct net_conn *conn, const char *reason)
{
	struct rpc_conn *rpc = net_conn_ctx(conn);
	enum rpc_status status =
		net_conn_established(conn) ? RPC_LOST : RPC_NOT_SENT;
	struct rpc_call *call;

	pthread_mutex_lock(&rpc->lock);
	rpc->closed = true;
	pthread_mutex_unlock(&rpc->lock);
	/*
	 * Calls are removed one at a time, as the callback of one may abandon
	 * others and reuse their memory.
	 */
	while ((call = remove_any_call(rpc)))
		call->done(call, status, NULL);
	if (rpc->service && rpc->service->closed)
		rpc->service->closed(rpc, rpc->service->ctx, reason);
}

struct rpc_listener {
	struct net_source source; /* first member, cast by accept_ready() */
	struct rpc_options options;
};

static void accept_ready(struct net_source *source, uint32_t events)
{
	struct rpc_listener *listener = (struct rpc_listener *)source;
	int fd;

	(void)events;
	while ((fd = accept4(source->fd, NULL, NULL,
			     SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0)
		/* The loop's reference keeps the connection until it closes. */
		rpc_conn_unref(rpc_accept(&listener->options, fd));
}

struct rpc_listener *rpc_listen(const struct rpc_options *options,
				const struct net_address *address,
				GError **error)
{
	struct rpc_listener *listener;
	int fd = net_listen(address, error);

	if (fd < 0)
		return NULL;
	listener = g_new0(struct rpc_listener, 1);
	listener->options = *options;
	listener->source.fd = fd;
	listener->source.ready = accept_ready;
	net_loop_add(options->loop, &listener->source, EPOLLIN);
	return listener;
}

void rpc_listener_free(struct rpc_listener *listener)
{
	net_loop_remove(listener->options.loop, &listener->source);
	close(listener->source.fd);
	g_free(listener);
}

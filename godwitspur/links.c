#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/completion.h"
#include "base/log.h"
#include "http/grammar.h"
#include "http/message.h"
#include "links.h"
#include "retry/retry.h"

#define OUTPUT_MAX (2 * (size_t)WIRE_TRAFFIC_RECORD_MAX)

/* The longest deadline_ms that the tree allows. */
#define TIME_LEFT_MS_MAX 600000

/* Shortest time between two connection attempts to the same daemon. */
#define RECONNECT_NS (50 * NS_PER_MS)

/* A link to another daemon. */
struct link {
	char *address;
	struct rpc_conn *conn;	/* NULL: not connected */
	int64_t retry_deadline; /* earliest time of the next connect */
	bool hello_known;
	uint64_t incarnation;
	char host[PEER_NAME_MAX + 1];
};

struct links {
	struct links_options options;
	struct net_loop *loop;
	struct rpc_service service;
	struct rpc_listener *listener;
	/* Set of connections that others have called on; loop's thread only. */
	GHashTable *accepted;
	pthread_mutex_t lock; /* guards links and draining */
	GHashTable *links;    /* address -> struct link */
	bool draining;
};

/* A call that a blocked thread waits for. */
struct pending {
	struct rpc_call call; /* first: the callback casts back */
	struct completion completion;
	enum rpc_status status;
	xdrproc_t xdr_result;
	void *result;
};

/* A request that another daemon sent to this target. */
struct remote_job {
	struct target_job job; /* first: callbacks cast back */
	struct rpc_conn *conn;
	uint32_t xid;
};

static void pending_done(struct rpc_call *call, enum rpc_status status,
			 XDR *xdr)
{
	struct pending *pending = (struct pending *)call;

	pending->status = status;
	if (status == RPC_DONE && !pending->xdr_result(xdr, pending->result)) {
		xdr_free(pending->xdr_result, pending->result);
		pending->status = RPC_LOST;
	}
	completion_signal(&pending->completion);
}

static void pending_init(struct pending *pending, xdrproc_t xdr_result,
			 void *result)
{
	memset(pending, 0, sizeof(*pending));
	pending->call.done = pending_done;
	pending->call.deadline =
		DEADLINE_NEVER; /* call_and_wait() ends it in time */
	pending->xdr_result = xdr_result;
	pending->result = result;
	completion_init(&pending->completion);
}

static void ignore_done(struct rpc_call *call, enum rpc_status status, XDR *xdr)
{
	(void)status;
	(void)xdr;
	g_free(call);
}

/* Requests that the target cancel a call that no thread waits for. */
static void send_cancel(struct rpc_conn *conn, uint32_t xid)
{
	struct traffic_cancel cancel = { .xid = xid };
	struct rpc_call *call = g_new0(struct rpc_call, 1);

	call->done = ignore_done;
	call->deadline = clock_monotonic_ns() + 5 * NS_PER_SEC;
	rpc_call_start(conn, call, TRAFFIC_PROGRAM, TRAFFIC_VERSION,
		       TRAFFIC_CANCEL, (xdrproc_t)xdr_traffic_cancel, &cancel);
}

/* Starts a call and waits for its result until the deadline. */
static enum rpc_status call_and_wait(struct rpc_conn *conn, uint32_t procedure,
				     xdrproc_t xdr_args, void *args,
				     int64_t deadline, xdrproc_t xdr_result,
				     void *result)
{
	enum rpc_status status;
	struct pending pending;

	pending_init(&pending, xdr_result, result);
	rpc_call_start(conn, &pending.call, TRAFFIC_PROGRAM, TRAFFIC_VERSION,
		       procedure, xdr_args, args);
	if (!completion_wait(&pending.completion, deadline)) {
		if (rpc_abandon(conn, &pending.call)) {
			if (procedure == TRAFFIC_REQUEST)
				send_cancel(conn, pending.call.xid);
			completion_release(&pending.completion);
			return RPC_TIMED_OUT;
		}
		/* The answer is being decoded by the loop's thread. */
		completion_wait(&pending.completion, DEADLINE_NEVER);
	}
	status = pending.status;
	completion_release(&pending.completion);
	return status;
}

static struct link *find_link(struct links *links, const char *address)
{
	struct link *link = g_hash_table_lookup(links->links, address);

	if (!link) {
		link = g_new0(struct link, 1);
		link->address = g_strdup(address);
		g_hash_table_insert(links->links, link->address, link);
	}
	return link;
}

static void connect_link(struct links *links, struct link *link)
{
	struct rpc_options options = {
		.loop = links->loop,
		.record_max = WIRE_TRAFFIC_RECORD_MAX,
		.output_max = OUTPUT_MAX,
	};
	struct net_address address;
	int64_t now = clock_monotonic_ns();

	if (link->conn) {
		rpc_conn_unref(link->conn);
		link->conn = NULL;
	}
	if (now < link->retry_deadline ||
	    !net_address_parse(&address, link->address, NULL))
		return;
	link->retry_deadline = now + RECONNECT_NS;
	link->hello_known = false;
	link->conn = rpc_connect(&options, &address, NULL);
}

/* Returns a reference to the link's connection, or NULL without one. */
static struct rpc_conn *link_conn(struct links *links, const char *address)
{
	struct rpc_conn *conn = NULL;
	struct link *link;

	pthread_mutex_lock(&links->lock);
	link = find_link(links, address);
	if (!link->conn || rpc_conn_closed(link->conn))
		connect_link(links, link);
	if (link->conn)
		conn = rpc_conn_ref(link->conn);
	pthread_mutex_unlock(&links->lock);
	return conn;
}

/* Whether the status and the headers of an answer are those of a response. */
static bool is_valid_answer(const struct traffic_answer *answer)
{
	g_autoptr(GString) fields = g_string_new(NULL);

	if (answer->reason != FAILURE_NONE)
		return true;
	for (u_int i = 0; i < answer->headers.headers_len; i++)
		http_field_append(fields, answer->headers.headers_val[i].name,
				  answer->headers.headers_val[i].value);
	return answer->status >= 200 && answer->status <= 599 &&
	       http_fields_are_valid(fields->str);
}

enum rpc_status links_request(struct links *links, const char *address,
			      struct traffic_request *request, int64_t deadline,
			      struct traffic_answer *answer)
{
	struct rpc_conn *conn = link_conn(links, address);
	enum rpc_status status;

	memset(answer, 0, sizeof(*answer));
	if (!conn)
		return RPC_NOT_SENT;
	status = call_and_wait(conn, TRAFFIC_REQUEST,
			       (xdrproc_t)xdr_traffic_request, request,
			       deadline, (xdrproc_t)xdr_traffic_answer, answer);
	rpc_conn_unref(conn);
	if (status == RPC_DONE && !is_valid_answer(answer)) {
		http_defect_count(false, HTTP_DEFECT_FORWARDED);
		xdr_free((xdrproc_t)xdr_traffic_answer, answer);
		memset(answer, 0, sizeof(*answer));
		return RPC_LOST;
	}
	return status;
}

static bool known_incarnation(struct links *links, const char *address,
			      const char *host, uint64_t *incarnation,
			      bool *known)
{
	struct link *link;
	bool same;

	pthread_mutex_lock(&links->lock);
	link = find_link(links, address);
	*known =
		link->hello_known && link->conn && !rpc_conn_closed(link->conn);
	same = *known && !strcmp(link->host, host);
	*incarnation = link->incarnation;
	pthread_mutex_unlock(&links->lock);
	return same;
}

static void store_hello(struct links *links, const char *address,
			struct rpc_conn *conn,
			const struct traffic_hello *hello)
{
	struct link *link;

	pthread_mutex_lock(&links->lock);
	link = find_link(links, address);
	if (link->conn == conn) {
		link->hello_known = true;
		link->incarnation = hello->incarnation;
		g_strlcpy(link->host, hello->host, sizeof(link->host));
	}
	pthread_mutex_unlock(&links->lock);
}

bool links_incarnation(struct links *links, const char *address,
		       const char *host, int64_t deadline,
		       uint64_t *incarnation)
{
	struct traffic_hello call = { 0 }, answer = { 0 };
	enum rpc_status status;
	struct rpc_conn *conn;
	bool known, same;

	same = known_incarnation(links, address, host, incarnation, &known);
	if (known)
		return same;
	conn = link_conn(links, address);
	if (!conn)
		return false;
	call.host = (char *)links->options.host;
	call.incarnation = links->options.incarnation;
	status = call_and_wait(conn, TRAFFIC_HELLO,
			       (xdrproc_t)xdr_traffic_hello, &call, deadline,
			       (xdrproc_t)xdr_traffic_hello, &answer);
	same = false;
	if (status == RPC_DONE) {
		store_hello(links, address, conn, &answer);
		same = !strcmp(answer.host, host);
		*incarnation = answer.incarnation;
		xdr_free((xdrproc_t)xdr_traffic_hello, &answer);
	}
	rpc_conn_unref(conn);
	return same;
}

static void reply_remote(struct target_job *job, struct traffic_answer *answer)
{
	struct remote_job *remote = (struct remote_job *)job;

	rpc_reply(remote->conn, remote->xid, (xdrproc_t)xdr_traffic_answer,
		  answer);
}

static void free_remote(struct target_job *job)
{
	struct remote_job *remote = (struct remote_job *)job;

	rpc_conn_unref(remote->conn);
	g_free(remote);
}

static bool serve_request(struct links *links, struct rpc_conn *conn,
			  uint32_t xid, XDR *args)
{
	struct remote_job *remote = g_new0(struct remote_job, 1);

	if (!xdr_traffic_request(args, &remote->job.request) ||
	    remote->job.request.time_left_ms < 0 ||
	    remote->job.request.time_left_ms > TIME_LEFT_MS_MAX) {
		xdr_free((xdrproc_t)xdr_traffic_request, &remote->job.request);
		g_free(remote);
		return false;
	}
	remote->conn = rpc_conn_ref(conn);
	remote->xid = xid;
	remote->job.reply = reply_remote;
	remote->job.free = free_remote;
	target_submit(links->options.target, &remote->job);
	return true;
}

static bool serve_hello(struct links *links, struct rpc_conn *conn,
			uint32_t xid, XDR *args)
{
	struct traffic_hello call = { 0 }, answer = { 0 };

	if (!xdr_traffic_hello(args, &call)) {
		xdr_free((xdrproc_t)xdr_traffic_hello, &call);
		return false;
	}
	xdr_free((xdrproc_t)xdr_traffic_hello, &call);
	answer.host = (char *)links->options.host;
	answer.incarnation = links->options.incarnation;
	pthread_mutex_lock(&links->lock);
	answer.draining = links->draining;
	pthread_mutex_unlock(&links->lock);
	rpc_reply(conn, xid, (xdrproc_t)xdr_traffic_hello, &answer);
	return true;
}

/*
 * Cancellation stops nothing: a queued request is dropped at its deadline, and
 * a running one ends by the deadline that was sent to the backend server. The
 * reply lets the sender remove the call from its table.
 */
static bool serve_cancel(struct rpc_conn *conn, uint32_t xid, XDR *args)
{
	struct traffic_cancel cancel;

	if (!xdr_traffic_cancel(args, &cancel))
		return false;
	rpc_reply(conn, xid, (xdrproc_t)xdr_traffic_cancel, &cancel);
	return true;
}

static bool handle(struct rpc_conn *conn, void *ctx, uint32_t xid,
		   uint32_t procedure, XDR *args, enum accept_stat *error)
{
	struct links *links = ctx;

	if (!g_hash_table_contains(links->accepted, conn))
		g_hash_table_add(links->accepted, rpc_conn_ref(conn));
	*error = GARBAGE_ARGS;
	switch (procedure) {
	case TRAFFIC_REQUEST:
		return serve_request(links, conn, xid, args);
	case TRAFFIC_HELLO:
		return serve_hello(links, conn, xid, args);
	case TRAFFIC_CANCEL:
		return serve_cancel(conn, xid, args);
	default:
		*error = PROC_UNAVAIL;
		return false;
	}
}

static void on_closed(struct rpc_conn *conn, void *ctx, const char *reason)
{
	struct links *links = ctx;

	(void)reason;
	g_hash_table_remove(links->accepted, conn);
}

/* A question to the loop's thread, for which another one waits. */
struct transfer_check {
	struct links *links;
	struct completion completion;
	bool transferring;
};

static void check_transfers(void *arg)
{
	struct transfer_check *check = arg;
	/* Reading may close connections, which changes the set. */
	g_autoptr(GPtrArray) conns =
		g_ptr_array_new_with_free_func((GDestroyNotify)rpc_conn_unref);
	GHashTableIter iter;
	struct rpc_conn *conn;

	g_hash_table_iter_init(&iter, check->links->accepted);
	while (g_hash_table_iter_next(&iter, (gpointer *)&conn, NULL))
		g_ptr_array_add(conns, rpc_conn_ref(conn));
	for (guint i = 0; i < conns->len; i++) {
		conn = g_ptr_array_index(conns, i);
		rpc_conn_read_pending(conn);
		check->transferring |= rpc_conn_is_transferring(conn);
	}
	completion_signal(&check->completion);
}

bool links_is_transferring(struct links *links)
{
	struct transfer_check check = { .links = links };

	completion_init(&check.completion);
	net_loop_defer(links->loop, check_transfers, &check);
	completion_wait(&check.completion, DEADLINE_NEVER);
	completion_release(&check.completion);
	return check.transferring;
}

struct links *links_new(const struct links_options *options,
			struct net_loop *loop, GError **error)
{
	struct links *links = g_new0(struct links, 1);
	struct rpc_options rpc = {
		.loop = loop,
		.record_max = WIRE_TRAFFIC_RECORD_MAX,
		.output_max = OUTPUT_MAX,
		.service = &links->service,
	};

	links->options = *options;
	links->loop = loop;
	links->service.program = TRAFFIC_PROGRAM;
	links->service.version = TRAFFIC_VERSION;
	links->service.handle = handle;
	links->service.closed = on_closed;
	links->service.ctx = links;
	links->accepted =
		g_hash_table_new_full(NULL, NULL,
				      (GDestroyNotify)rpc_conn_unref, NULL);
	links->links = g_hash_table_new(g_str_hash, g_str_equal);
	pthread_mutex_init(&links->lock, NULL);
	links->listener = rpc_listen(&rpc, &options->listen, error);
	if (!links->listener) {
		g_hash_table_unref(links->links);
		g_hash_table_unref(links->accepted);
		g_free(links);
		return NULL;
	}
	return links;
}

void links_tick(struct links *links, int64_t now)
{
	GHashTableIter iter;
	gpointer value;

	pthread_mutex_lock(&links->lock);
	g_hash_table_iter_init(&iter, links->links);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct link *link = value;

		if (link->conn)
			rpc_conn_expire(link->conn, now);
	}
	pthread_mutex_unlock(&links->lock);
}

void links_drain(struct links *links)
{
	pthread_mutex_lock(&links->lock);
	links->draining = true;
	pthread_mutex_unlock(&links->lock);
}

json_t *links_dump(struct links *links)
{
	json_t *array = json_array();
	GHashTableIter iter;
	gpointer value;

	pthread_mutex_lock(&links->lock);
	g_hash_table_iter_init(&iter, links->links);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct link *link = value;
		bool open = link->conn && !rpc_conn_closed(link->conn);

		json_array_append_new(array,
				      json_pack("{s:s, s:b, s:s}", "address",
						link->address, "open", open,
						"host", link->host));
	}
	pthread_mutex_unlock(&links->lock);
	return array;
}

#include <string.h>

#include "base/clock.h"
#include "control_internal.h"

#define CONTROL_OUTPUT_MAX (8 * (size_t)WIRE_CONTROL_RECORD_MAX)

/* Connections to peers are closed after this idle time. */
#define PEER_IDLE_NS (30 * NS_PER_SEC)

/* Interval at which deadlines of RPCs and idle connections are checked. */
#define SWEEP_INTERVAL_NS (100 * NS_PER_MS)

/* A connection to the control address of a peer. */
struct peer {
	char *address;
	struct rpc_conn *conn;
	int64_t idle_deadline;
};

/* An RPC to a peer that dist requested. */
struct peer_call {
	struct rpc_call call; /* first member: peer_done() casts from it */
	struct control *control;
	uint64_t id;
	enum dist_procedure procedure;
};

static void version_to_wire(const struct version_id *id,
			    struct peer_version *wire)
{
	wire->number = id->number;
	memcpy(wire->digest, id->digest.bytes, DIGEST_BYTES);
}

static void version_from_wire(const struct peer_version *wire,
			      struct version_id *id)
{
	id->number = wire->number;
	memcpy(id->digest.bytes, wire->digest, DIGEST_BYTES);
}

/* The strings in wire point into announce, its array is crashes. */
static void announce_to_wire(const struct dist_announce *announce,
			     struct control_announce *wire,
			     struct peer_crash crashes[DIST_CRASHES_MAX])
{
	memset(wire, 0, sizeof(*wire));
	wire->host = (char *)announce->host;
	wire->control = (char *)announce->control;
	wire->incarnation = announce->incarnation;
	version_to_wire(&announce->in_force, &wire->in_force);
	version_to_wire(&announce->candidate, &wire->candidate);
	wire->confirmation_age_ms = announce->confirmation_age_ms;
	wire->crashes.crashes_len = (u_int)announce->nr_crashes;
	wire->crashes.crashes_val = crashes;
	for (size_t i = 0; i < announce->nr_crashes; i++) {
		crashes[i].fingerprint = announce->crashes[i].fingerprint;
		crashes[i].origin = announce->crashes[i].origin;
		crashes[i].count = announce->crashes[i].count;
		crashes[i].cleared = announce->crashes[i].cleared;
		crashes[i].left_ms = announce->crashes[i].left_ms;
	}
}

static void announce_from_wire(const struct control_announce *wire,
			       struct dist_announce *announce)
{
	memset(announce, 0, sizeof(*announce));
	g_strlcpy(announce->host, wire->host, sizeof(announce->host));
	g_strlcpy(announce->control, wire->control, sizeof(announce->control));
	announce->incarnation = wire->incarnation;
	version_from_wire(&wire->in_force, &announce->in_force);
	version_from_wire(&wire->candidate, &announce->candidate);
	announce->confirmation_age_ms = wire->confirmation_age_ms;
	announce->nr_crashes = MIN(wire->crashes.crashes_len, DIST_CRASHES_MAX);
	for (size_t i = 0; i < announce->nr_crashes; i++) {
		struct peer_crash *crash = &wire->crashes.crashes_val[i];

		announce->crashes[i].fingerprint = crash->fingerprint;
		announce->crashes[i].origin = crash->origin;
		announce->crashes[i].count = crash->count;
		announce->crashes[i].cleared = crash->cleared;
		announce->crashes[i].left_ms = crash->left_ms;
	}
}

void control_peer_free(gpointer data)
{
	struct peer *peer = data;

	if (peer->conn) {
		rpc_conn_close(peer->conn);
		rpc_conn_unref(peer->conn);
	}
	g_free(peer->address);
	g_free(peer);
}

struct rpc_options control_rpc_options(struct control *control)
{
	return (struct rpc_options){
		.loop = control->loop,
		.record_max = WIRE_CONTROL_RECORD_MAX,
		.output_max = CONTROL_OUTPUT_MAX,
		.traffic = &control->traffic,
	};
}

static struct rpc_conn *peer_conn(struct control *control, const char *address)
{
	struct peer *peer = g_hash_table_lookup(control->peers, address);
	struct rpc_options options = control_rpc_options(control);
	struct net_address parsed;

	if (!peer) {
		peer = g_new0(struct peer, 1);
		peer->address = g_strdup(address);
		g_hash_table_insert(control->peers, peer->address, peer);
	}
	peer->idle_deadline = clock_monotonic_ns() + PEER_IDLE_NS;
	if (peer->conn && rpc_conn_closed(peer->conn)) {
		rpc_conn_unref(peer->conn);
		peer->conn = NULL;
	}
	if (!peer->conn && net_address_parse(&parsed, address, NULL))
		peer->conn = rpc_connect(&options, &parsed, NULL);
	return peer->conn;
}

static void finish_announce(struct peer_call *call, XDR *xdr, int64_t now)
{
	struct control_announce wire = { 0 };
	struct dist_announce announce;

	if (xdr_control_announce(xdr, &wire)) {
		announce_from_wire(&wire, &announce);
		dist_peer_announced(call->control->dist, call->id, &announce,
				    now);
	} else {
		dist_peer_result(call->control->dist, call->id, DIST_FAILED,
				 NULL, now);
	}
	xdr_free((xdrproc_t)xdr_control_announce, &wire);
}

static void finish_value(struct peer_call *call, XDR *xdr, int64_t now)
{
	enum dist_outcome outcome = DIST_FAILED;
	struct control_value wire = { 0 };
	struct blob *blob = NULL;

	if (xdr_control_value(xdr, &wire)) {
		outcome = wire.found ? DIST_VALUE : DIST_MISSING;
		if (wire.found)
			blob = blob_new(wire.data.data_val, wire.data.data_len);
	}
	xdr_free((xdrproc_t)xdr_control_value, &wire);
	dist_peer_result(call->control->dist, call->id, outcome, blob, now);
	if (blob)
		blob_unref(blob);
}

static void peer_done(struct rpc_call *rpc, enum rpc_status status, XDR *xdr)
{
	struct peer_call *call = (struct peer_call *)rpc;
	int64_t now = clock_monotonic_ns();

	if (status != RPC_DONE)
		dist_peer_result(call->control->dist, call->id, DIST_FAILED,
				 NULL, now);
	else if (call->procedure == DIST_ANNOUNCE)
		finish_announce(call, xdr, now);
	else
		finish_value(call, xdr, now);
	g_free(call);
}

static void send_peer_call(struct rpc_conn *conn, struct peer_call *call,
			   const struct dist_peer_call *action)
{
	struct peer_crash crashes[DIST_CRASHES_MAX];
	struct control_announce announce;
	struct control_get_part part;
	struct peer_version id;

	switch (action->procedure) {
	case DIST_ANNOUNCE:
		announce_to_wire(action->announce, &announce, crashes);
		rpc_call_start(conn, &call->call, CONTROL_PROGRAM,
			       CONTROL_VERSION, CONTROL_ANNOUNCE,
			       (xdrproc_t)xdr_control_announce, &announce);
		break;
	case DIST_GET_MANIFEST:
		version_to_wire(&action->id, &id);
		rpc_call_start(conn, &call->call, CONTROL_PROGRAM,
			       CONTROL_VERSION, CONTROL_GET_MANIFEST,
			       (xdrproc_t)xdr_peer_version, &id);
		break;
	case DIST_GET_PART:
		memcpy(part.digest, action->digest.bytes, DIGEST_BYTES);
		rpc_call_start(conn, &call->call, CONTROL_PROGRAM,
			       CONTROL_VERSION, CONTROL_GET_PART,
			       (xdrproc_t)xdr_control_get_part, &part);
		break;
	}
}

void control_call_peer(struct control *control,
		       const struct dist_peer_call *action)
{
	struct rpc_conn *conn = peer_conn(control, action->control);
	struct peer_call *call;

	if (!conn) {
		dist_peer_result(control->dist, action->call, DIST_FAILED, NULL,
				 clock_monotonic_ns());
		return;
	}
	call = g_new0(struct peer_call, 1);
	call->call.done = peer_done;
	call->call.deadline = action->deadline;
	call->control = control;
	call->id = action->call;
	call->procedure = action->procedure;
	send_peer_call(conn, call, action);
}

static bool serve_announce(struct control *control, struct rpc_conn *conn,
			   uint32_t xid, XDR *args)
{
	struct peer_crash crashes[DIST_CRASHES_MAX];
	struct control_announce wire = { 0 };
	struct dist_announce call, answer;
	bool ok = xdr_control_announce(args, &wire);

	if (ok) {
		announce_from_wire(&wire, &call);
		memset(&answer, 0, sizeof(answer));
		dist_on_announce(control->dist, &call, &answer,
				 clock_monotonic_ns());
	}
	xdr_free((xdrproc_t)xdr_control_announce, &wire);
	if (!ok)
		return false;
	announce_to_wire(&answer, &wire, crashes);
	rpc_reply(conn, xid, (xdrproc_t)xdr_control_announce, &wire);
	return true;
}

static void reply_value(struct rpc_conn *conn, uint32_t xid, struct blob *blob)
{
	struct control_value wire = { 0 };

	if (blob) {
		wire.found = TRUE;
		wire.data.data_len = (u_int)blob->len;
		wire.data.data_val = blob->bytes;
	}
	rpc_reply(conn, xid, (xdrproc_t)xdr_control_value, &wire);
	if (blob)
		blob_unref(blob);
}

static bool serve_manifest(struct control *control, struct rpc_conn *conn,
			   uint32_t xid, XDR *args)
{
	struct peer_version wire;
	struct version_id id;

	if (!xdr_peer_version(args, &wire))
		return false;
	version_from_wire(&wire, &id);
	reply_value(conn, xid, dist_on_get_manifest(control->dist, &id));
	return true;
}

static bool serve_part(struct control *control, struct rpc_conn *conn,
		       uint32_t xid, XDR *args)
{
	struct control_get_part wire;
	struct digest digest;

	if (!xdr_control_get_part(args, &wire))
		return false;
	memcpy(digest.bytes, wire.digest, DIGEST_BYTES);
	reply_value(conn, xid, dist_on_get_part(control->dist, &digest));
	return true;
}

bool control_handle(struct rpc_conn *conn, void *ctx, uint32_t xid,
		    uint32_t procedure, XDR *args, enum accept_stat *error)
{
	struct control *control = ctx;

	*error = GARBAGE_ARGS;
	switch (procedure) {
	case CONTROL_ANNOUNCE:
		return serve_announce(control, conn, xid, args);
	case CONTROL_GET_MANIFEST:
		return serve_manifest(control, conn, xid, args);
	case CONTROL_GET_PART:
		return serve_part(control, conn, xid, args);
	default:
		*error = PROC_UNAVAIL;
		return false;
	}
}

void control_sweep_peers(struct control *control, int64_t now)
{
	GHashTableIter iter;
	gpointer value;

	if (now < control->sweep_deadline)
		return;
	control->sweep_deadline = now + SWEEP_INTERVAL_NS;
	g_hash_table_iter_init(&iter, control->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct peer *peer = value;

		if (peer->conn)
			rpc_conn_expire(peer->conn, now);
		if (peer->idle_deadline <= now)
			g_hash_table_iter_remove(&iter);
	}
}

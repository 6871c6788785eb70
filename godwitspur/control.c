#include <inttypes.h>
#include <malloc.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>

#include "base/clock.h"
#include "base/completion.h"
#include "base/log.h"
#include "control.h"
#include "fetch.h"
#include "net/rpc.h"
#include "snapshot.h"

#define CONTROL_OUTPUT_MAX (8 * (size_t)WIRE_CONTROL_RECORD_MAX)
#define FETCH_THREADS 3
#define HOST_LIST_INTERVAL_NS (10 * NS_PER_SEC)
#define HOST_LIST_TIMEOUT_SEC 5
#define SOURCE_TIMEOUT_SEC 5

/* Connections to peers that were idle for this long are closed. */
#define PEER_IDLE_NS (30 * NS_PER_SEC)

/* How often calls and connections of peers are looked through. */
#define SWEEP_NS (100 * NS_PER_MS)

#define CRASHES_INTERVAL_NS (1 * NS_PER_SEC)

/* How long an operator's question may wait for the control thread. */
#define QUESTION_WAIT_NS (2 * NS_PER_SEC)

/* A connection to the control address of a peer. */
struct peer {
	char *address;
	struct rpc_conn *conn;
	int64_t idle_deadline;
};

struct control {
	struct control_options options;
	struct net_traffic traffic;  /* of the control connections */
	struct counter source_bytes; /* bodies read from the source */
	struct counter hosts_bytes;  /* bodies of the host list */
	struct counter source_calls;
	struct net_loop *loop;
	struct rng rng;
	struct member *member;
	struct dist *dist;
	struct fetch_pool *fetches;
	struct rpc_service service;
	struct rpc_listener *listener;
	GHashTable *peers; /* address -> struct peer */
	int64_t host_list_deadline;
	bool host_list_pending;
	int64_t sweep_deadline;
	int64_t crashes_deadline;
	int64_t manifest_revision; /* of the source, of the last read */
	struct table *validated;   /* by the last acceptance */
};

/* A call of a peer for dist. */
struct peer_call {
	struct rpc_call call; /* first: the callback casts back */
	struct control *control;
	uint64_t id;
	enum dist_procedure procedure;
};

/* A read of the source for dist. */
struct source_read {
	struct control *control;
	struct dist_source_call call;
};

/* Conversion between messages and dist's types. */

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

/* The strings and the array of the message point into announce and crashes. */
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

/* Acceptance. */

static struct manifest *parse_manifest(const struct dist_version *version,
				       struct findings *findings)
{
	return manifest_parse(version->manifest->bytes, version->manifest->len,
			      findings);
}

/* The bytes of the parts, which the version goes on owning. */
static const char **part_data(const struct dist_version *version)
{
	const char **data = g_new0(const char *, version->nr_parts + 1);

	for (size_t i = 0; i < version->nr_parts; i++)
		data[i] = version->parts[i].blob->bytes;
	return data;
}

static struct tree *assemble_version(const struct dist_version *version,
				     struct findings *findings)
{
	CLEANUP(manifest_freep)
	struct manifest *manifest = parse_manifest(version, findings);
	g_autofree const char **data = NULL;

	if (!manifest)
		return NULL;
	data = part_data(version);
	return tree_assemble(manifest, data, findings);
}

/* For an accepted version, which has no errors. */
static struct tree *assemble(const struct dist_version *version)
{
	struct findings findings;
	struct tree *tree;

	findings_init(&findings);
	tree = assemble_version(version, &findings);
	findings_release(&findings);
	return tree;
}

/* The long way: all parts are parsed. */
static struct table *build_table(struct control *control,
				 const struct dist_version *version,
				 struct findings *findings)
{
	CLEANUP(tree_freep)
	struct tree *tree = assemble_version(version, findings);

	return tree ? table_new(tree, &version->id,
				control->options.settings->zone)
		    : NULL;
}

/*
 * The short way: from the table in force and the parts that changed. NULL
 * when it does not serve.
 */
static struct table *update_table(struct control *control,
				  const struct dist_version *version)
{
	const struct dist_version *in_force = dist_in_force(control->dist);
	struct snapshot *snapshot = snapshot_get();
	CLEANUP(manifest_freep) struct manifest *base = NULL;
	CLEANUP(manifest_freep) struct manifest *manifest = NULL;
	g_autofree const char **data = NULL;
	struct table *table = NULL;
	struct findings findings;

	findings_init(&findings);
	if (in_force && snapshot &&
	    !version_id_compare(&in_force->id, &snapshot->table->id)) {
		base = parse_manifest(in_force, &findings);
		manifest = parse_manifest(version, &findings);
		data = part_data(version);
	}
	if (base && manifest)
		table = table_update(snapshot->table, base, manifest, data,
				     control->options.settings->zone);
	if (snapshot)
		snapshot_put(snapshot);
	findings_release(&findings);
	return table;
}

static bool accept_version(void *ctx, const struct dist_version *version,
			   struct findings *findings)
{
	struct control *control = ctx;

	table_free(control->validated);
	control->validated = update_table(control, version);
	if (!control->validated)
		control->validated = build_table(control, version, findings);
	return control->validated != NULL;
}

static const struct dist_validator validator = {
	.accept = accept_version,
};

static void apply_version(struct control *control, struct dist_version *version)
{
	struct table *table = control->validated;
	struct findings findings;

	control->validated = NULL;
	/* Another version may have been validated since. */
	if (table && version_id_compare(&table->id, &version->id) != 0) {
		table_free(table);
		table = NULL;
	}
	findings_init(&findings);
	if (!table)
		table = build_table(control, version, &findings);
	findings_release(&findings);
	if (!table)
		return;
	control->options.ops->apply(control->options.ctx, table);
	/* The old table and parse trees leave holes in the heap. */
	malloc_trim(0);
}

/* Reads of the source. */

static enum dist_outcome source_outcome(struct control *control,
					const struct source_read *read,
					const struct fetch *fetch,
					struct blob **blob)
{
	*blob = NULL;
	if (fetch->status == 304)
		return DIST_UNCHANGED;
	if (fetch->status == 404)
		return DIST_MISSING;
	if (fetch->status != 200)
		return DIST_FAILED;
	counter_add(&control->source_bytes, fetch->body->len);
	if (!read->call.is_part)
		control->manifest_revision = fetch->revision;
	*blob = blob_new(fetch->body->data, fetch->body->len);
	if (read->call.has_known &&
	    !digest_compare(&(*blob)->digest, &read->call.known))
		return DIST_UNCHANGED;
	return DIST_VALUE;
}

static void source_done(struct fetch *fetch)
{
	struct source_read *read = fetch->ctx;
	struct control *control = read->control;
	enum dist_outcome outcome;
	struct blob *blob;

	outcome = source_outcome(control, read, fetch, &blob);
	if (outcome == DIST_FAILED)
		log_event(LOG_WARNING, "source_read_failed",
			  "path=%s status=%d", log_quote(fetch->path),
			  fetch->status);
	dist_source_result(control->dist, read->call.call, outcome,
			   outcome == DIST_VALUE ? blob : NULL,
			   clock_monotonic_ns());
	if (blob)
		blob_unref(blob);
	g_free(read);
}

static char *source_path(const struct control *control,
			 const struct dist_source_call *call)
{
	char hex[DIGEST_HEX_CHARS + 1];

	if (call->is_part) {
		digest_to_hex(&call->digest, hex);
		return g_strdup_printf("/v1/values/part/%s", hex);
	}
	if (call->wait_ms > 0 && call->has_known)
		return g_strdup_printf("/v1/values/manifest?after=%" PRId64
				       "&wait_ms=%" PRId64,
				       control->manifest_revision,
				       call->wait_ms);
	return g_strdup("/v1/values/manifest");
}

static void read_source(struct control *control,
			const struct dist_source_call *call)
{
	struct source_read *read = g_new0(struct source_read, 1);
	struct fetch *fetch = g_new0(struct fetch, 1);

	read->control = control;
	read->call = *call;
	fetch->address = control->options.settings->source;
	fetch->path = source_path(control, call);
	fetch->read_timeout_sec =
		SOURCE_TIMEOUT_SEC + (int)(call->wait_ms / 1000);
	fetch->done = source_done;
	fetch->ctx = read;
	counter_add(&control->source_calls, 1);
	fetch_start(control->fetches, fetch);
}

/* Reads of the host list. */

static void tell_leaving(struct control *control, const struct host_list *list)
{
	for (size_t i = 0; i < list->nr; i++)
		control->options.ops->mark_leaving(control->options.ctx,
						   list->hosts[i].host,
						   list->hosts[i].leaving);
}

static void host_list_done(struct fetch *fetch)
{
	struct control *control = fetch->ctx;
	struct host_list *list = NULL;
	struct findings findings;

	control->host_list_pending = false;
	findings_init(&findings);
	if (fetch->status == 200) {
		counter_add(&control->hosts_bytes, fetch->body->len);
		list = host_list_parse((const char *)fetch->body->data,
				       fetch->body->len, &findings);
	}
	if (list) {
		dist_host_list(control->dist, list, clock_monotonic_ns());
		tell_leaving(control, list);
		host_list_unref(list);
	} else {
		log_event(LOG_WARNING, "host_list_read_failed",
			  "status=%d findings=%zu", fetch->status,
			  findings.nr_errors);
	}
	findings_release(&findings);
}

static void read_host_list(struct control *control, int64_t now)
{
	struct fetch *fetch;
	int64_t half = HOST_LIST_INTERVAL_NS / 2;

	if (now < control->host_list_deadline || control->host_list_pending)
		return;
	/* Jitter keeps daemons that started together apart. */
	control->host_list_deadline =
		now + half + (int64_t)rng_below(&control->rng, 2 * half);
	control->host_list_pending = true;
	fetch = g_new0(struct fetch, 1);
	fetch->address = control->options.settings->host_list;
	fetch->path = g_strdup("/v1/hosts");
	fetch->read_timeout_sec = HOST_LIST_TIMEOUT_SEC;
	fetch->done = host_list_done;
	fetch->ctx = control;
	fetch_start(control->fetches, fetch);
}

/* Calls of peers. */

static void peer_free(gpointer data)
{
	struct peer *peer = data;

	if (peer->conn) {
		rpc_conn_close(peer->conn);
		rpc_conn_unref(peer->conn);
	}
	g_free(peer->address);
	g_free(peer);
}

static struct rpc_options peer_options(struct control *control)
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
	struct rpc_options options = peer_options(control);
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

static void call_peer(struct control *control,
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

/* Calls by peers. */

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

static bool handle(struct rpc_conn *conn, void *ctx, uint32_t xid,
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

/* Actions of dist. */

static void take_crashes(struct control *control,
			 const struct dist_action *action)
{
	struct quarantine_entry entries[DIST_CRASHES_MAX] = { 0 };

	for (size_t i = 0; i < action->crashes.nr; i++) {
		entries[i].fingerprint = action->crashes.entries[i].fingerprint;
		entries[i].origin = action->crashes.entries[i].origin;
		entries[i].count = action->crashes.entries[i].count;
		entries[i].cleared = action->crashes.entries[i].cleared;
		entries[i].left_ms = action->crashes.entries[i].left_ms;
	}
	control->options.ops->merge_crashes(control->options.ctx, entries,
					    action->crashes.nr);
}

static void perform(struct control *control, struct dist_action *action)
{
	switch (action->kind) {
	case DIST_ACTION_SOURCE:
		read_source(control, &action->source);
		break;
	case DIST_ACTION_PEER:
		call_peer(control, &action->peer);
		break;
	case DIST_ACTION_ACCEPT:
		apply_version(control, action->version);
		break;
	case DIST_ACTION_SERVE:
		control->options.ops->serve(control->options.ctx);
		break;
	case DIST_ACTION_CRASHES:
		take_crashes(control, action);
		break;
	case DIST_ACTION_LOG:
		log_event(action->log.priority, action->log.event, "%s",
			  action->log.text);
		break;
	}
}

/* Crash entries of this daemon. */

static void tell_crashes(void *arg)
{
	struct quarantine_entry entries[DIST_CRASHES_MAX];
	struct dist_crash crashes[DIST_CRASHES_MAX];
	struct control *control = arg;
	size_t nr =
		control->options.ops->tell_crashes(control->options.ctx,
						   entries, DIST_CRASHES_MAX);

	for (size_t i = 0; i < nr; i++) {
		crashes[i].fingerprint = entries[i].fingerprint;
		crashes[i].origin = entries[i].origin;
		crashes[i].count = entries[i].count;
		crashes[i].cleared = entries[i].cleared;
		crashes[i].left_ms = entries[i].left_ms;
	}
	dist_set_crashes(control->dist, crashes, nr, clock_monotonic_ns());
}

/* Timers. */

static void sweep_peers(struct control *control, int64_t now)
{
	GHashTableIter iter;
	gpointer value;

	if (now < control->sweep_deadline)
		return;
	control->sweep_deadline = now + SWEEP_NS;
	g_hash_table_iter_init(&iter, control->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct peer *peer = value;

		if (peer->conn)
			rpc_conn_expire(peer->conn, now);
		if (peer->idle_deadline <= now)
			g_hash_table_iter_remove(&iter);
	}
}

/* The time left in announced crash entries has to follow the clock. */
static void refresh_crashes(struct control *control, int64_t now)
{
	if (now < control->crashes_deadline)
		return;
	control->crashes_deadline = now + CRASHES_INTERVAL_NS;
	tell_crashes(control);
}

static void turn(void *ctx, int64_t now)
{
	struct control *control = ctx;
	struct dist_action *action;

	sweep_peers(control, now);
	read_host_list(control, now);
	refresh_crashes(control, now);
	if (dist_next_deadline(control->dist) <= now)
		dist_tick(control->dist, now);
	while ((action = dist_next_action(control->dist))) {
		perform(control, action);
		dist_action_free(action);
	}
}

static int64_t next_deadline(void *ctx)
{
	struct control *control = ctx;
	int64_t deadline = dist_next_deadline(control->dist);

	deadline = MIN(deadline, control->host_list_deadline);
	if (g_hash_table_size(control->peers))
		deadline = MIN(deadline, control->sweep_deadline);
	return deadline;
}

/* Questions. */

struct question {
	struct control *control;
	enum control_question what;
	int refs;
	struct completion completion;
	json_t *answer;
	struct dist_version *version; /* a reference */
};

static json_t *version_json(const struct version_id *id)
{
	char hex[DIGEST_HEX_CHARS + 1];

	digest_to_hex(&id->digest, hex);
	if (!id->number)
		return json_null();
	return json_pack("{s:I, s:s}", "number", (json_int_t)id->number,
			 "digest", hex);
}

static json_t *refusals_json(const struct control *control)
{
	json_t *array = json_array();
	struct dist_refusal *refusal;

	cds_list_for_each_entry (refusal, dist_refusals(control->dist), node)
		json_array_append_new(
			array, json_pack("{s:o, s:o}", "version",
					 version_json(&refusal->id), "findings",
					 findings_to_json(&refusal->findings)));
	return array;
}

static json_t *status_json(struct control *control)
{
	const struct settings *settings = control->options.settings;
	struct dist_version *in_force = dist_in_force(control->dist);
	struct version_id none = { 0 };
	struct version_id newest = dist_newest_known(control->dist);
	const struct version_id *id = in_force ? &in_force->id : &none;

	return json_pack(
		"{s:s, s:s, s:s, s:s, s:o, s:o, s:b, s:b, s:b, s:o, s:I}",
		"host", settings->host, "zone", settings->zone, "region",
		settings->region, "control", settings->control_text, "version",
		version_json(id), "newest", version_json(&newest), "behind",
		version_id_compare(id, &newest) < 0, "serving",
		dist_is_serving(control->dist), "conflict",
		dist_has_conflict(control->dist), "refused",
		refusals_json(control), "source_calls",
		(json_int_t)dist_source_calls(control->dist));
}

static json_t *fleet_json(struct control *control)
{
	int64_t now = clock_monotonic_ns();
	size_t nr = member_count_peers(control->member, now);
	const struct member_host **hosts =
		g_new0(const struct member_host *, nr + 1);
	json_t *array = json_array();

	nr = member_draw(control->member, MEMBER_ANY_ZONE, nr, hosts, now);
	for (size_t i = 0; i < nr; i++) {
		struct version_id id = { 0 };
		int64_t heard = 0;
		bool known = dist_member_version(control->dist, hosts[i]->host,
						 &id, &heard);

		json_array_append_new(
			array,
			json_pack("{s:s, s:s, s:s, s:o, s:I}", "host",
				  hosts[i]->host, "zone", hosts[i]->zone,
				  "control", hosts[i]->control, "version",
				  version_json(&id), "heard_ms_ago",
				  (json_int_t)(known ? (now - heard) / NS_PER_MS
						     : -1)));
	}
	g_free(hosts);
	return array;
}

static json_t *dump_json(struct control *control)
{
	int64_t now = clock_monotonic_ns();

	return json_pack("{s:o, s:o, s:o, s:i}", "status", status_json(control),
			 "dist", dist_dump(control->dist, now), "member",
			 member_dump(control->member, now), "peer_connections",
			 (int)g_hash_table_size(control->peers));
}

static void question_unref(struct question *question)
{
	if (!g_atomic_int_dec_and_test(&question->refs))
		return;
	json_decref(question->answer);
	if (question->version)
		dist_version_unref(question->version);
	completion_release(&question->completion);
	g_free(question);
}

static json_t *make_answer(struct question *question)
{
	struct control *control = question->control;
	struct dist_version *in_force = dist_in_force(control->dist);

	switch (question->what) {
	case CONTROL_STATUS:
		return status_json(control);
	case CONTROL_FLEET:
		return fleet_json(control);
	case CONTROL_DUMP:
		return dump_json(control);
	case CONTROL_VERSION_IN_FORCE:
		if (in_force)
			question->version = dist_version_ref(in_force);
		return NULL;
	}
	return NULL;
}

static void answer_question(void *arg)
{
	struct question *question = arg;

	question->answer = make_answer(question);
	completion_signal(&question->completion);
	question_unref(question);
}

/* Waits for the control thread; the caller drops the reference. */
static struct question *ask(struct control *control, enum control_question what,
			    bool *answered)
{
	struct question *question = g_new0(struct question, 1);

	question->control = control;
	question->what = what;
	question->refs = 2;
	completion_init(&question->completion);
	net_loop_defer(control->loop, answer_question, question);
	*answered = completion_wait(&question->completion,
				    clock_monotonic_ns() + QUESTION_WAIT_NS);
	return question;
}

json_t *control_ask(struct control *control, enum control_question what)
{
	bool answered;
	struct question *question = ask(control, what, &answered);
	json_t *answer = answered ? json_incref(question->answer) : NULL;

	question_unref(question);
	return answer;
}

static json_t *explain_version(const struct dist_version *version,
			       const struct explain_query *query,
			       GError **error)
{
	CLEANUP(explanation_freep) struct explanation *explanation = NULL;
	CLEANUP(tree_freep) struct tree *tree = assemble(version);

	if (tree)
		explanation = tree_explain(tree, query, error);
	return explanation ? explanation_to_json(explanation) : NULL;
}

json_t *control_explain(struct control *control,
			const struct explain_query *query, GError **error)
{
	bool answered;
	struct question *question =
		ask(control, CONTROL_VERSION_IN_FORCE, &answered);
	json_t *answer = NULL;

	if (answered && question->version)
		answer = explain_version(question->version, query, error);
	else
		g_set_error(error, TREE_ERROR, TREE_ERROR_NOT_FOUND,
			    "no version is in force");
	question_unref(question);
	return answer;
}

void control_tell_crashes(struct control *control)
{
	net_loop_defer(control->loop, tell_crashes, control);
}

/* Life. */

static void make_libraries(struct control *control)
{
	const struct settings *settings = control->options.settings;
	struct member_options member = {
		.host = settings->host,
		.zone = settings->zone,
		.region = settings->region,
		.control = settings->control_text,
		.seeds = (const char *const *)settings->seeds,
		.nr_seeds = g_strv_length(settings->seeds),
		.rng = &control->rng,
	};
	struct dist_options dist = {
		.incarnation = control->options.incarnation,
		.rng = &control->rng,
		.validator = &validator,
		.validator_ctx = control,
		.policy = control->options.policy,
		.source_interval_ms = settings->source_interval_ms,
		.now = clock_monotonic_ns(),
	};

	control->member = member_new(&member);
	dist.member = control->member;
	control->dist = dist_new(&dist);
}

static void add_counter(struct control *control, struct counter *counter,
			const char *name, const char *help)
{
	counter->name = name;
	counter->help = help;
	metrics_add_counter(control->options.metrics, counter);
}

static void add_counters(struct control *control)
{
	static const char bytes[] = "Bytes on the control connections.";
	static const char records[] = "Messages on the control connections.";
	struct net_traffic *traffic = &control->traffic;

	add_counter(control, &traffic->bytes_sent,
		    "godwitspur_control_bytes_total{direction=\"sent\"}",
		    bytes);
	add_counter(control, &traffic->bytes_received,
		    "godwitspur_control_bytes_total{direction=\"received\"}",
		    bytes);
	add_counter(control, &traffic->records_sent,
		    "godwitspur_control_records_total{direction=\"sent\"}",
		    records);
	add_counter(control, &traffic->records_received,
		    "godwitspur_control_records_total{direction=\"received\"}",
		    records);
	add_counter(control, &control->source_calls,
		    "godwitspur_source_calls_total", "Calls of the source.");
	add_counter(control, &control->source_bytes,
		    "godwitspur_source_bytes_total",
		    "Bytes of bodies read from the source.");
	add_counter(control, &control->hosts_bytes,
		    "godwitspur_host_list_bytes_total",
		    "Bytes of bodies of the host list.");
}

struct control *control_new(const struct control_options *options,
			    GError **error)
{
	struct control *control = g_new0(struct control, 1);
	struct net_loop_options loop = {
		.turn = turn,
		.next_deadline = next_deadline,
		.ctx = control,
	};
	struct rpc_options rpc;

	control->options = *options;
	rng_init(&control->rng, options->seed);
	control->peers =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, peer_free);
	control->loop = net_loop_new(&loop);
	control->service.program = CONTROL_PROGRAM;
	control->service.version = CONTROL_VERSION;
	control->service.handle = handle;
	control->service.ctx = control;
	rpc = peer_options(control);
	rpc.service = &control->service;
	control->listener =
		rpc_listen(&rpc, &options->settings->control, error);
	if (!control->listener) {
		net_loop_free(control->loop);
		g_hash_table_unref(control->peers);
		g_free(control);
		return NULL;
	}
	add_counters(control);
	make_libraries(control);
	control->fetches = fetch_pool_new(control->loop, FETCH_THREADS);
	return control;
}

void control_run(struct control *control)
{
	turn(control, clock_monotonic_ns());
	net_loop_run(control->loop);
}

void control_stop(struct control *control)
{
	net_loop_stop(control->loop);
}

#include <inttypes.h>
#include <string.h>

#include "base/clock.h"
#include "base/pack.h"
#include "mesh/spread.h"
#include "relay/feed_internal.h"

/* A push without an answer for this long is given up with its connection. */
#define PUSH_WAIT_NS (1500 * NS_PER_MS)

/* Values of at least this length are compressed; most are configurations. */
#define PACK_FROM_BYTES 1024

/* Delay of the next push to a daemon after a failed one. */
#define PUSH_RETRY_NS (300 * NS_PER_MS)

struct batch {
	struct feed_peers *peers;
	struct feed_push push;
	GArray *entries; /* struct feed_entry */
	int64_t from;	 /* the items that changed after it */
	int64_t now;
};

static GBytes *packed_value(struct feed_peers *peers, GBytes *value)
{
	if (g_bytes_get_size(value) < PACK_FROM_BYTES)
		return NULL;
	if (peers->plain == value)
		return peers->packed;
	g_clear_pointer(&peers->plain, g_bytes_unref);
	g_clear_pointer(&peers->packed, g_bytes_unref);
	peers->plain = g_bytes_ref(value);
	peers->packed = pack_bytes(value);
	return peers->packed;
}

static void set_value(struct batch *batch, struct feed_entry *entry,
		      GBytes *value)
{
	GBytes *packed = packed_value(batch->peers, value);
	gsize len;

	entry->plain_bytes = packed ? (u_int)g_bytes_get_size(value) : 0;
	entry->value.value_val =
		(char *)g_bytes_get_data(packed ? packed : value, &len);
	entry->value.value_len = (u_int)len;
}

/* The strings and bytes of an entry are borrowed from the item. */
static void add_entry(const struct feed_item *item, void *ctx)
{
	struct batch *batch = ctx;
	struct feed_entry entry = {
		.key = item->key,
		.revision = item->revision,
		.held = item->held,
		/* Others may not know the value of a held item yet. */
		.deleted = !item->value ||
			   item->delete_deadline <= batch->now ||
			   (!item->held &&
			    item->delete_deadline != DEADLINE_NEVER),
		.hold_ms = feed_hold_left(item, batch->now) / NS_PER_MS,
	};

	if (batch->entries->len == FEED_ITEMS_MAX)
		return;
	if (!entry.deleted)
		set_value(batch, &entry, item->value);
	g_array_append_val(batch->entries, entry);
}

/* Held items that are not sent as changes. */
static void add_held_entry(const struct feed_item *item, void *ctx)
{
	const struct batch *batch = ctx;

	if (item->held && item->changed <= batch->from)
		add_entry(item, ctx);
}

bool feed_note_digest(struct peer *peer, uint64_t digest, int64_t now)
{
	const struct feed *feed = peer->peers->options.feed;

	peer->lacks_held = digest != feed_held_digest(feed);
	return peer->lacks_held && now >= peer->next_held;
}

/* Adds all held items, unless that is too soon after the last time. */
static void add_held(struct peer *peer, struct batch *batch)
{
	peer->sent_held = peer->lacks_held && batch->now >= peer->next_held;
	if (!peer->sent_held)
		return;
	peer->lacks_held = false;
	peer->next_held = batch->now + FEED_HELD_INTERVAL_NS;
	feed_each_after(peer->peers->options.feed, 0, add_held_entry, batch);
}

/* Roots. */

bool feed_is_own(const struct feed_peers *peers, const char *ip)
{
	return !strcmp(ip, peers->options.host->ip);
}

int feed_get_root_slot(struct feed_peers *peers, const char *ip)
{
	int oldest = 0;

	for (int i = 0; i < FEED_ROOTS_MAX; i++) {
		struct root *root = &peers->roots[i];

		if (root->ip && !strcmp(root->ip, ip))
			return i;
		if (root->updated_at < peers->roots[oldest].updated_at)
			oldest = i;
	}
	g_free(peers->roots[oldest].ip);
	peers->roots[oldest] = (struct root){ .ip = g_strdup(ip) };
	return oldest;
}

struct marking {
	struct feed_peers *peers;
	uint32_t bit;
	int64_t now;
};

static void mark_peer(struct peer *peer, uint32_t bit, int64_t now)
{
	peer->pending_roots |= bit;
	if (!peer->failed)
		peer->next_push = now;
}

static void mark_member(struct spread_member *member, void *ctx)
{
	struct marking *marking = ctx;

	if (member->ctx)
		mark_peer(member->ctx, marking->bit, marking->now);
}

static void add_member(GArray *members, const char *ip, const char *zone,
		       struct peer *peer)
{
	struct spread_member member = {
		.ip = ip,
		.zone = zone,
		.failed = peer && peer->failed,
		.ctx = peer,
	};

	g_array_append_val(members, member);
}

void feed_mark_root(struct feed_peers *peers, int slot, int64_t now)
{
	const struct mesh_host *host = peers->options.host;
	g_autoptr(GArray) members =
		g_array_new(FALSE, FALSE, sizeof(struct spread_member));
	struct marking marking = { peers, 1u << slot, now };
	bool is_root = feed_is_own(peers, peers->roots[slot].ip);
	struct peer *peer;
	GHashTableIter iter;

	g_hash_table_iter_init(&iter, peers->peers);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&peer)) {
		if (peer->listed)
			add_member(members, peer->ip, peer->zone, peer);
		else if (is_root)
			/* Without a server it has no place in the tree. */
			mark_peer(peer, marking.bit, now);
	}
	if (peers->own_listed || is_root)
		add_member(members, host->ip, host->zone, NULL);
	spread_targets((struct spread_member *)members->data, members->len,
		       host->ip, peers->roots[slot].ip, mark_member, &marking);
}

void feed_mark_own(struct feed_peers *peers, int64_t now)
{
	int slot = feed_get_root_slot(peers, peers->options.host->ip);

	peers->roots[slot].read_at = peers->state.read_at;
	peers->roots[slot].updated_at = now;
	peers->next_announce = now + FEED_ANNOUNCE_INTERVAL_NS;
	feed_mark_root(peers, slot, now);
}

/*
 * After a failed push: schedules a retry, and pushes from here to the daemons
 * below the peer in the trees of the roots it was sent.
 */
static void mark_failed(struct peer *peer, int64_t now)
{
	bool is_new = !peer->failed;

	peer->failed = true;
	peer->acked = FEED_ACKED_UNKNOWN;
	peer->crashes_acked = 0;
	peer->pending_roots |= peer->sent_roots;
	peer->next_push = now + PUSH_RETRY_NS;
	for (int i = 0; is_new && i < FEED_ROOTS_MAX; i++)
		if (peer->sent_roots & (1u << i))
			feed_mark_root(peer->peers, i, now);
}

/* Pushes. */

static void on_pushed(struct rpc_call *call, enum rpc_status status, XDR *xdr)
{
	struct peer *peer = caa_container_of(call, struct peer, call);
	struct feed_peers *peers = peer->peers;
	int64_t now = clock_monotonic_ns();
	struct feed_reply reply;

	peer->calling = false;
	if (status == RPC_DONE && xdr_feed_reply(xdr, &reply)) {
		/* After a restart the revision may be lower than before. */
		peer->acked = reply.revision;
		peer->failed = false;
		peer->crashes_acked = peer->crashes_sent;
		if (peer->crashes_left)
			peer->next_push = now;
		if (feed_note_digest(peer, reply.held_digest, now))
			peer->next_push = now;
		if (peer->acked < peer->sent_to) {
			peer->pending_roots |= peer->sent_roots;
			peer->next_push = now;
			/*
			 * Retried at once only if its revision was below
			 * that which the push built on.
			 */
			if (peer->acked >= peer->sent_from)
				peer->next_push += PUSH_RETRY_NS;
		}
	} else {
		mark_failed(peer, now);
	}
	feed_update(peers, now);
}

static bool connect_peer(struct peer *peer)
{
	struct rpc_options options = {
		.loop = peer->peers->options.loop,
		.record_max = FEED_RECORD_MAX,
		.output_max = FEED_OUTPUT_MAX,
	};

	if (peer->conn && !rpc_conn_closed(peer->conn))
		return true;
	if (peer->conn)
		rpc_conn_unref(peer->conn);
	/* The daemon may have been restarted. */
	peer->crashes_acked = 0;
	peer->conn = rpc_connect(&options, &peer->address, NULL);
	return peer->conn != NULL;
}

/* Fills in the roots pending for the peer; the strings are borrowed. */
static u_int fill_roots(const struct peer *peer, struct feed_root *out,
			int64_t now)
{
	const struct feed_peers *peers = peer->peers;
	u_int nr = 0;

	for (int i = 0; i < FEED_ROOTS_MAX; i++) {
		const struct root *root = &peers->roots[i];

		if (!(peer->pending_roots & (1u << i)))
			continue;
		out[nr].ip = root->ip;
		out[nr].read_age_ms = FEED_NOT_READ;
		if (root->ended)
			out[nr].read_age_ms = FEED_ENDED;
		else if (root->read_at)
			out[nr].read_age_ms = (now - root->read_at) / NS_PER_MS;
		nr++;
	}
	return nr;
}

static void send_push(struct peer *peer, struct batch *batch, int64_t from)
{
	struct feed_peers *peers = peer->peers;
	struct feed_push *push = &batch->push;
	struct feed_root roots[FEED_ROOTS_MAX];

	push->ip = peers->options.host->ip;
	push->from = from;
	push->to = feed_revision(peers->options.feed);
	memcpy(push->before, peers->before, sizeof(push->before));
	push->held_digest = feed_held_digest(peers->options.feed);
	push->roots.roots_val = roots;
	push->roots.roots_len = fill_roots(peer, roots, batch->now);
	push->entries.entries_len = batch->entries->len;
	push->entries.entries_val = (struct feed_entry *)batch->entries->data;
	peer->calling = true;
	peer->sent_from = from;
	peer->sent_to = push->to;
	peer->sent_roots = peer->pending_roots;
	peer->pending_roots = 0;
	peer->next_push = DEADLINE_NEVER;
	peer->call.done = on_pushed;
	peer->call.deadline = batch->now + PUSH_WAIT_NS;
	rpc_call_start(peer->conn, &peer->call, FEED_PROGRAM, FEED_VERSION,
		       FEED_PUSH, (xdrproc_t)xdr_feed_push, push);
}

/* Fills in the crashes that the peer has not confirmed. */
static u_int fill_crashes(struct peer *peer, struct peer_crash *out,
			  int64_t now)
{
	struct quarantine_entry entries[PEER_CRASHES_MAX];
	size_t nr;

	peer->crashes_sent = peer->crashes_acked;
	nr = quarantine_export_after(peer->peers->crashes, &peer->crashes_sent,
				     now, entries, PEER_CRASHES_MAX);
	peer->crashes_left = nr == PEER_CRASHES_MAX;
	for (size_t i = 0; i < nr; i++) {
		out[i].fingerprint = entries[i].fingerprint;
		out[i].origin = entries[i].origin;
		out[i].count = entries[i].count;
		out[i].cleared = entries[i].cleared;
		out[i].left_ms = entries[i].left_ms;
	}
	return (u_int)nr;
}

void feed_push_to(struct peer *peer, int64_t now)
{
	struct peer_crash crashes[PEER_CRASHES_MAX];
	struct batch batch = { .peers = peer->peers, .now = now };
	int64_t from = peer->acked;

	if (peer->calling)
		return;
	if (!connect_peer(peer)) {
		/* Its address, such as that of a broadcast, has no daemon. */
		peer->sent_roots = peer->pending_roots;
		mark_failed(peer, now);
		return;
	}
	if (peer->acked == FEED_ACKED_UNKNOWN)
		from = peer->peers->recent.revision;
	batch.from = from;
	batch.entries = g_array_new(FALSE, TRUE, sizeof(struct feed_entry));
	if (from < feed_revision(peer->peers->options.feed))
		feed_each_after(peer->peers->options.feed, from, add_entry,
				&batch);
	add_held(peer, &batch);
	batch.push.crashes.crashes_len = fill_crashes(peer, crashes, now);
	batch.push.crashes.crashes_val = crashes;
	send_push(peer, &batch, from);
	g_array_unref(batch.entries);
}

/* Closes the connection if the answer to its push is overdue. */
static void check_call(struct peer *peer, int64_t now)
{
	if (!peer->calling || now < peer->call.deadline)
		return;
	rpc_abandon(peer->conn, &peer->call);
	rpc_conn_close(peer->conn);
	rpc_conn_unref(peer->conn);
	peer->conn = NULL;
	peer->calling = false;
	mark_failed(peer, now);
}

void feed_push_due(struct feed_peers *peers, int64_t now)
{
	struct peer *peer;
	GHashTableIter iter;

	g_hash_table_iter_init(&iter, peers->peers);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&peer)) {
		check_call(peer, now);
		if (peer->next_push <= now)
			feed_push_to(peer, now);
	}
}

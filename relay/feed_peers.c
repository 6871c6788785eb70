#include <inttypes.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "base/pack.h"
#include "mesh/readers.h"
#include "mesh/spread.h"
#include "net/rpc.h"
#include "relay/feed_peers.h"

#define OUTPUT_MAX (32 * 1024 * 1024)
#define RECORD_MAX (32 * 1024 * 1024)

#define TELL_INTERVAL_NS (READERS_TELL_INTERVAL_MS * NS_PER_MS)

/*
 * A daemon whose backend server has left is told the news so long, since it
 * serves its callers until it is stopped.
 */
#define LINGER_NS (20 * NS_PER_SEC)

/* A push that is not answered so long ends the connection. */
#define PUSH_WAIT_NS (1500 * NS_PER_MS)

/* Values from this length on are packed; configurations are most of them. */
#define PACK_FROM_BYTES 1024

/* After a failed push the next one waits this long. */
#define PUSH_RETRY_NS (300 * NS_PER_MS)

/* A daemon whose news are passed on. */
struct root {
	char *ip;      /* NULL: the place is free */
	int64_t read;  /* its newest reading; 0: none */
	int64_t heard; /* when the last news of it came */
	bool ended;    /* its process was seen to end */
};

/* Another daemon. */
struct peer {
	char *ip;
	char *zone;
	struct net_address address;
	struct feed_peers *peers;
	struct rpc_conn *conn; /* NULL: none */
	struct rpc_call call;
	bool calling;
	int64_t acked;	 /* revision that it has confirmed */
	int64_t sent_to; /* revision of the push under way */
	uint32_t due;	 /* roots to tell it of, by their places */
	uint32_t sent;	 /* roots in the push under way */
	bool failed;	 /* the last push was not answered */
	int64_t next_push;
	int64_t reads_at; /* when it was last heard to read; 0: never */
	int64_t named_at; /* when the last view that has it was taken */
	bool named;	  /* by the present view: counts in the ranking */
};

struct feed_peers {
	struct feed_peers_options options;
	struct rpc_service service;
	struct rpc_listener *listener;
	GHashTable *peers; /* ip -> struct peer */
	struct root roots[FEED_ROOTS_MAX];
	struct readers_state state;
	int64_t next_tell; /* of the own news, while this daemon tells */
	bool own_named;	   /* by the present view */
	struct timer timer;
	bool reads;
	/* The last value that was packed, since it goes to all daemons. */
	GBytes *plain;
	GBytes *packed; /* NULL: does not get shorter */
};

static void update(struct feed_peers *peers, int64_t now);

/* Pushes. */

struct batch {
	struct feed_peers *peers;
	struct feed_push push;
	GArray *entries; /* struct feed_entry */
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
		.deleted =
			!item->value || item->delete_deadline != DEADLINE_NEVER,
	};

	if (batch->entries->len == FEED_ITEMS_MAX)
		return;
	if (entry.deleted && item->value)
		entry.hold_ms =
			MAX(0, item->delete_deadline - batch->now) / NS_PER_MS;
	if (!entry.deleted)
		set_value(batch, &entry, item->value);
	g_array_append_val(batch->entries, entry);
}

/* Roots. */

static bool is_own(const struct feed_peers *peers, const char *ip)
{
	return !strcmp(ip, peers->options.host->ip);
}

/* The place of a root; one that was silent longest gives way to a new one. */
static int root_place(struct feed_peers *peers, const char *ip)
{
	int oldest = 0;

	for (int i = 0; i < FEED_ROOTS_MAX; i++) {
		struct root *root = &peers->roots[i];

		if (root->ip && !strcmp(root->ip, ip))
			return i;
		if (root->heard < peers->roots[oldest].heard)
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
	peer->due |= bit;
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

/* Marks the daemons that this one tells of a root. */
static void mark_root(struct feed_peers *peers, int place, int64_t now)
{
	const struct mesh_host *host = peers->options.host;
	g_autoptr(GArray) members =
		g_array_new(FALSE, FALSE, sizeof(struct spread_member));
	struct marking marking = { peers, 1u << place, now };
	bool is_root = is_own(peers, peers->roots[place].ip);
	struct peer *peer;
	GHashTableIter iter;

	g_hash_table_iter_init(&iter, peers->peers);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&peer)) {
		if (peer->named)
			add_member(members, peer->ip, peer->zone, peer);
		else if (is_root)
			/* Its server has left, so it has no place. */
			mark_peer(peer, marking.bit, now);
	}
	if (peers->own_named || is_root)
		add_member(members, host->ip, host->zone, NULL);
	spread_targets((struct spread_member *)members->data, members->len,
		       host->ip, peers->roots[place].ip, mark_member, &marking);
}

/* News of this daemon itself. */
static void mark_own(struct feed_peers *peers, int64_t now)
{
	int place = root_place(peers, peers->options.host->ip);

	peers->roots[place].read = peers->state.read;
	peers->roots[place].heard = now;
	peers->next_tell = now + TELL_INTERVAL_NS;
	mark_root(peers, place, now);
}

/* A push failed: those below the peer are told from here. */
static void mark_failed(struct peer *peer, int64_t now)
{
	bool is_new = !peer->failed;

	peer->failed = true;
	peer->acked = 0;
	peer->due |= peer->sent;
	peer->next_push = now + PUSH_RETRY_NS;
	for (int i = 0; is_new && i < FEED_ROOTS_MAX; i++)
		if (peer->sent & (1u << i))
			mark_root(peer->peers, i, now);
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
		/* A daemon that restarted may know less than before. */
		peer->acked = reply.revision;
		peer->failed = false;
		if (peer->acked < peer->sent_to) {
			peer->due |= peer->sent;
			peer->next_push = now + PUSH_RETRY_NS;
		}
	} else {
		mark_failed(peer, now);
	}
	update(peers, now);
}

static bool connect_peer(struct peer *peer)
{
	struct rpc_options options = {
		.loop = peer->peers->options.loop,
		.record_max = RECORD_MAX,
		.output_max = OUTPUT_MAX,
	};

	if (peer->conn && !rpc_conn_closed(peer->conn))
		return true;
	if (peer->conn)
		rpc_conn_unref(peer->conn);
	peer->conn = rpc_connect(&options, &peer->address, NULL);
	return peer->conn != NULL;
}

/* Fills in the roots that the peer is to be told of; their strings stay. */
static u_int fill_roots(const struct peer *peer, struct feed_root *told,
			int64_t now)
{
	const struct feed_peers *peers = peer->peers;
	u_int nr = 0;

	for (int i = 0; i < FEED_ROOTS_MAX; i++) {
		const struct root *root = &peers->roots[i];

		if (!(peer->due & (1u << i)))
			continue;
		told[nr].ip = root->ip;
		told[nr].read_age_ms = FEED_NOT_READ;
		if (root->ended)
			told[nr].read_age_ms = FEED_ENDED;
		else if (root->read)
			told[nr].read_age_ms = (now - root->read) / NS_PER_MS;
		nr++;
	}
	return nr;
}

static void send_push(struct peer *peer, struct batch *batch)
{
	struct feed_peers *peers = peer->peers;
	struct feed_push *push = &batch->push;
	struct feed_root roots[FEED_ROOTS_MAX];

	push->ip = peers->options.host->ip;
	push->from = peer->acked;
	push->to = feed_revision(peers->options.feed);
	push->roots.roots_val = roots;
	push->roots.roots_len = fill_roots(peer, roots, batch->now);
	push->entries.entries_len = batch->entries->len;
	push->entries.entries_val = (struct feed_entry *)batch->entries->data;
	peer->calling = true;
	peer->sent_to = push->to;
	peer->sent = peer->due;
	peer->due = 0;
	peer->next_push = DEADLINE_NEVER;
	peer->call.done = on_pushed;
	peer->call.deadline = batch->now + PUSH_WAIT_NS;
	rpc_call_start(peer->conn, &peer->call, FEED_PROGRAM, FEED_VERSION,
		       FEED_PUSH, (xdrproc_t)xdr_feed_push, push);
}

static void push_to(struct peer *peer, const struct quarantine_entry *crashes,
		    size_t nr, int64_t now)
{
	struct peer_crash told[PEER_CRASHES_MAX];
	struct batch batch = { .peers = peer->peers, .now = now };

	if (peer->calling || !connect_peer(peer))
		return;
	batch.entries = g_array_new(FALSE, TRUE, sizeof(struct feed_entry));
	if (peer->acked < feed_revision(peer->peers->options.feed))
		feed_each_after(peer->peers->options.feed, peer->acked,
				add_entry, &batch);
	for (size_t i = 0; i < MIN(nr, PEER_CRASHES_MAX); i++) {
		told[i].fingerprint = crashes[i].fingerprint;
		told[i].origin = crashes[i].origin;
		told[i].count = crashes[i].count;
		told[i].cleared = crashes[i].cleared;
		told[i].left_ms = crashes[i].left_ms;
	}
	batch.push.crashes.crashes_len = (u_int)MIN(nr, PEER_CRASHES_MAX);
	batch.push.crashes.crashes_val = told;
	send_push(peer, &batch);
	g_array_unref(batch.entries);
}

/* A connection whose push was never answered is given up. */
static void check_call(struct peer *peer, int64_t now)
{
	if (!peer->calling || now < peer->call.deadline)
		return;
	rpc_forget(peer->conn, &peer->call);
	rpc_conn_close(peer->conn);
	rpc_conn_unref(peer->conn);
	peer->conn = NULL;
	peer->calling = false;
	mark_failed(peer, now);
}

static void push_due(struct feed_peers *peers, int64_t now)
{
	struct peer *peer;
	GHashTableIter iter;

	g_hash_table_iter_init(&iter, peers->peers);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&peer)) {
		check_call(peer, now);
		if (peer->next_push <= now)
			push_to(peer, NULL, 0, now);
	}
}

/* Roles. */

static int64_t next_update(struct feed_peers *peers, int64_t now, bool tells)
{
	int64_t next = readers_next(&peers->state, now);
	struct peer *peer;
	GHashTableIter iter;

	g_hash_table_iter_init(&iter, peers->peers);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&peer)) {
		if (peer->calling)
			next = MIN(next, peer->call.deadline);
		else if (peer->next_push != DEADLINE_NEVER)
			next = MIN(next,
				   MAX(peer->next_push, now + 10 * NS_PER_MS));
	}
	if (tells)
		next = MIN(next, peers->next_tell);
	return next;
}

/* Takes up the present roles, pushes what is due and sets the timer. */
static void update(struct feed_peers *peers, int64_t now)
{
	bool reads = readers_reads(&peers->state, now);
	bool tells = readers_tells(&peers->state, now) &&
		     feed_revision(peers->options.feed);
	int64_t next;

	if (reads != peers->reads) {
		peers->reads = reads;
		log_event(LOG_INFO, "role", "reads_store=%d rank=%d", reads,
			  peers->state.rank);
		peers->options.ops->role(peers->options.ctx, reads);
	}
	if (tells && peers->next_tell <= now)
		mark_own(peers, now);
	push_due(peers, now);
	next = next_update(peers, now, tells);
	if (next != DEADLINE_NEVER)
		timers_set(peers->options.timers, &peers->timer, next);
}

static void on_timer(struct timer *timer, int64_t now)
{
	update(caa_container_of(timer, struct feed_peers, timer), now);
}

void feed_peers_confirmed(struct feed_peers *peers, int64_t confirmed)
{
	int64_t now = clock_monotonic_ns();

	peers->state.read = MAX(peers->state.read, confirmed);
	peers->next_tell = now;
	update(peers, now);
}

void feed_peers_store_lost(struct feed_peers *peers)
{
	int64_t now = clock_monotonic_ns();

	peers->state.read = 0;
	peers->next_tell = now;
	update(peers, now);
}

void feed_peers_tell_crashes(struct feed_peers *peers,
			     const struct quarantine_entry *entries, size_t nr)
{
	int64_t now = clock_monotonic_ns();
	struct peer *peer;
	GHashTableIter iter;

	g_hash_table_iter_init(&iter, peers->peers);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&peer))
		push_to(peer, entries, nr, now);
}

/* Pushes of other daemons. */

static void take_crashes(struct feed_peers *peers, const struct feed_push *push)
{
	struct quarantine_entry entries[PEER_CRASHES_MAX];
	u_int nr = MIN(push->crashes.crashes_len, PEER_CRASHES_MAX);

	for (u_int i = 0; i < nr; i++) {
		const struct peer_crash *told = &push->crashes.crashes_val[i];

		entries[i].fingerprint = told->fingerprint;
		entries[i].origin = told->origin;
		entries[i].count = told->count;
		entries[i].cleared = told->cleared;
		entries[i].left_ms = told->left_ms;
	}
	if (nr)
		peers->options.ops->crashes(peers->options.ctx, entries, nr);
}

/* When READERS_USUAL daemons ahead were last all heard to read. */
static int64_t covered_at(struct feed_peers *peers)
{
	uint64_t own = readers_hash(peers->options.host->ip);
	int64_t newest[READERS_USUAL] = { 0 };
	struct peer *peer;
	GHashTableIter iter;

	g_hash_table_iter_init(&iter, peers->peers);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&peer)) {
		int64_t at = peer->reads_at;

		if (!peer->named || readers_hash(peer->ip) > own)
			continue;
		for (int i = 0; i < READERS_USUAL; i++) {
			int64_t other = newest[i];

			newest[i] = MAX(other, at);
			at = MIN(other, at);
		}
	}
	return newest[READERS_USUAL - 1];
}

/* Returns whether the news of a root are to be passed on. */
static bool take_root(struct feed_peers *peers, const struct feed_root *told,
		      int64_t now)
{
	int place = root_place(peers, told->ip);
	struct root *root = &peers->roots[place];
	struct peer *peer = g_hash_table_lookup(peers->peers, told->ip);
	bool news;

	if (told->read_age_ms == FEED_ENDED) {
		news = !root->ended;
		root->ended = true;
		if (peer)
			peer->reads_at =
				MIN(peer->reads_at, now - READERS_STALE_NS);
		return news;
	}
	/* The same news come once; a little later they are new ones. */
	news = root->ended || now - root->heard >= TELL_INTERVAL_NS / 4 ||
	       !root->heard || (root->read && told->read_age_ms < 0);
	root->ended = false;
	root->heard = now;
	root->read =
		told->read_age_ms < 0 ? 0 : now - told->read_age_ms * NS_PER_MS;
	if (peer && told->read_age_ms < 0)
		peer->reads_at = MIN(peer->reads_at, now - READERS_STALE_NS);
	else if (peer && told->read_age_ms <= READERS_READ_AGE_MAX_MS)
		peer->reads_at = now;
	return news;
}

static void take_roots(struct feed_peers *peers, const struct feed_push *push,
		       bool has_entries, int64_t now)
{
	for (u_int i = 0; i < push->roots.roots_len; i++) {
		const struct feed_root *told = &push->roots.roots_val[i];

		if (is_own(peers, told->ip))
			continue;
		if (take_root(peers, told, now) || has_entries)
			mark_root(peers, root_place(peers, told->ip), now);
	}
	peers->state.covered = covered_at(peers);
}

static void take_push(struct feed_peers *peers, const struct feed_push *push)
{
	struct feed *feed = peers->options.feed;
	int64_t now = clock_monotonic_ns();
	struct peer *peer = g_hash_table_lookup(peers->peers, push->ip);
	bool news = push->to > feed_revision(feed);

	/* Items before push->from are missing when this daemon lacks them. */
	if (push->from <= feed_revision(feed)) {
		for (u_int i = 0; i < push->entries.entries_len; i++)
			peers->options.ops->entry(
				peers->options.ctx,
				&push->entries.entries_val[i]);
		feed_advance(feed, push->to);
	}
	take_crashes(peers, push);
	if (push->roots.roots_len)
		peers->state.heard = now;
	take_roots(peers, push, news, now);
	/* It restarted, or missed something: it is told what it lacks. */
	if (peer && push->to < feed_revision(feed)) {
		peer->acked = MIN(peer->acked, push->to);
		push_to(peer, NULL, 0, now);
	}
	update(peers, now);
}

/*
 * The process of a reader ended, so that the next ones take over at once, in
 * their order.
 */
static void on_closed(struct rpc_conn *conn, void *ctx, const char *reason)
{
	struct feed_peers *peers = ctx;
	const char *ip = rpc_conn_data(conn);
	struct peer *peer = ip ? g_hash_table_lookup(peers->peers, ip) : NULL;
	struct feed_root ended = { .ip = (char *)ip,
				   .read_age_ms = FEED_ENDED };
	int64_t now = clock_monotonic_ns();

	(void)reason;
	if (!peer || !peer->reads_at)
		return;
	if (take_root(peers, &ended, now))
		mark_root(peers, root_place(peers, ip), now);
	peers->state.covered = covered_at(peers);
	update(peers, now);
}

static bool handle(struct rpc_conn *conn, void *ctx, uint32_t xid,
		   uint32_t procedure, XDR *args, enum accept_stat *error)
{
	struct feed_push push = { 0 };
	struct feed_peers *peers = ctx;
	struct feed_reply reply;

	*error = procedure == FEED_PUSH ? GARBAGE_ARGS : PROC_UNAVAIL;
	if (procedure != FEED_PUSH)
		return false;
	if (!xdr_feed_push(args, &push)) {
		xdr_free((xdrproc_t)xdr_feed_push, (char *)&push);
		return false;
	}
	if (!rpc_conn_data(conn))
		rpc_conn_set_data(conn, g_strdup(push.ip), g_free);
	take_push(peers, &push);
	xdr_free((xdrproc_t)xdr_feed_push, (char *)&push);
	reply.revision = feed_revision(peers->options.feed);
	rpc_reply(conn, xid, (xdrproc_t)xdr_feed_reply, &reply);
	return true;
}

/* Membership. */

static void free_peer(void *arg)
{
	struct peer *peer = arg;

	if (peer->calling)
		rpc_forget(peer->conn, &peer->call);
	if (peer->conn) {
		rpc_conn_close(peer->conn);
		rpc_conn_unref(peer->conn);
	}
	g_free(peer->ip);
	g_free(peer->zone);
	g_free(peer);
}

static void name_peer(struct feed_peers *peers, const char *ip,
		      const char *zone, int64_t now)
{
	struct peer *peer = g_hash_table_lookup(peers->peers, ip);
	g_autofree char *text = NULL;

	if (!peer) {
		peer = g_new0(struct peer, 1);
		peer->peers = peers;
		peer->ip = g_strdup(ip);
		peer->next_push = DEADLINE_NEVER;
		text = g_strdup_printf("%s:%u", ip,
				       peers->options.host->control.port);
		net_address_parse(&peer->address, text, NULL);
		g_hash_table_insert(peers->peers, peer->ip, peer);
	}
	g_free(peer->zone);
	peer->zone = g_strdup(zone);
	peer->named = true;
	peer->named_at = now;
}

static gboolean has_left(gpointer key, gpointer value, gpointer ctx)
{
	const struct peer *peer = value;
	const int64_t *now = ctx;

	(void)key;
	return !peer->named && *now - peer->named_at > LINGER_NS;
}

static void unname_all(struct feed_peers *peers)
{
	struct peer *peer;
	GHashTableIter iter;

	g_hash_table_iter_init(&iter, peers->peers);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&peer))
		peer->named = false;
}

static int rank_of(struct feed_peers *peers)
{
	uint64_t own = readers_hash(peers->options.host->ip);
	struct peer *peer;
	GHashTableIter iter;
	int rank = 0;

	g_hash_table_iter_init(&iter, peers->peers);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&peer))
		rank += peer->named && readers_hash(peer->ip) < own;
	return rank;
}

void feed_peers_set_view(struct feed_peers *peers, const struct mesh_view *view)
{
	const char *own = peers->options.host->ip;
	int64_t now = clock_monotonic_ns();

	unname_all(peers);
	peers->own_named = false;
	for (guint i = 0; i < view->targets->len; i++) {
		const struct mesh_target *target =
			g_ptr_array_index(view->targets, i);

		if (strcmp(target->ip, own) != 0)
			name_peer(peers, target->ip, target->zone, now);
		else
			peers->own_named = true;
	}
	g_hash_table_foreach_remove(peers->peers, has_left, &now);
	peers->state.rank = rank_of(peers);
	peers->state.covered = covered_at(peers);
	update(peers, now);
}

struct feed_peers *feed_peers_new(const struct feed_peers_options *options,
				  GError **error)
{
	struct feed_peers *peers = g_new0(struct feed_peers, 1);
	struct rpc_options rpc = {
		.loop = options->loop,
		.record_max = RECORD_MAX,
		.output_max = OUTPUT_MAX,
		.service = &peers->service,
	};

	peers->options = *options;
	peers->service.program = FEED_PROGRAM;
	peers->service.version = FEED_VERSION;
	peers->service.handle = handle;
	peers->service.closed = on_closed;
	peers->service.ctx = peers;
	peers->timer.fire = on_timer;
	peers->peers =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_peer);
	peers->listener = rpc_listen(&rpc, &options->host->control, error);
	if (peers->listener)
		return peers;
	g_hash_table_unref(peers->peers);
	g_free(peers);
	return NULL;
}

void feed_peers_start(struct feed_peers *peers)
{
	int64_t now = clock_monotonic_ns();

	peers->state.heard = now;
	update(peers, now);
}

json_t *feed_peers_dump(const struct feed_peers *peers)
{
	json_t *array = json_array();
	struct peer *peer;
	GHashTableIter iter;

	g_hash_table_iter_init(&iter, peers->peers);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&peer))
		json_array_append_new(array,
				      json_pack("{s:s, s:I}", "ip", peer->ip,
						"revision",
						(json_int_t)peer->acked));
	return array;
}

#include <inttypes.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "relay/feed_internal.h"

/*
 * A daemon whose backend server has left is told the news so long, since it
 * serves its callers until it is stopped.
 */
#define LINGER_NS (20 * NS_PER_SEC)

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

void feed_update(struct feed_peers *peers, int64_t now)
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
		feed_mark_own(peers, now);
	mesh_recent_note(&peers->recent, feed_revision(peers->options.feed),
			 now);
	feed_push_due(peers, now);
	next = next_update(peers, now, tells);
	if (next != DEADLINE_NEVER)
		timers_set(peers->options.timers, &peers->timer, next);
}

static void on_timer(struct timer *timer, int64_t now)
{
	feed_update(caa_container_of(timer, struct feed_peers, timer), now);
}

void feed_peers_confirmed(struct feed_peers *peers, int64_t confirmed)
{
	int64_t now = clock_monotonic_ns();

	peers->state.read = MAX(peers->state.read, confirmed);
	peers->next_tell = now;
	feed_update(peers, now);
}

void feed_peers_store_lost(struct feed_peers *peers)
{
	int64_t now = clock_monotonic_ns();

	peers->state.read = 0;
	peers->next_tell = now;
	feed_update(peers, now);
}

void feed_peers_tell_crashes(struct feed_peers *peers,
			     const struct quarantine_entry *entries, size_t nr)
{
	int64_t now = clock_monotonic_ns();
	struct peer *peer;
	GHashTableIter iter;

	g_hash_table_iter_init(&iter, peers->peers);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&peer))
		feed_push_to(peer, entries, nr, now);
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
	int place = feed_root_place(peers, told->ip);
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

		if (feed_is_own(peers, told->ip))
			continue;
		if (take_root(peers, told, now) || has_entries)
			feed_mark_root(peers, feed_root_place(peers, told->ip),
				       now);
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
		if (peer->acked == FEED_ACKED_UNKNOWN || peer->acked > push->to)
			peer->acked = push->to;
		feed_push_to(peer, NULL, 0, now);
	}
	feed_update(peers, now);
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
		feed_mark_root(peers, feed_root_place(peers, ip), now);
	peers->state.covered = covered_at(peers);
	feed_update(peers, now);
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
		peer->acked = FEED_ACKED_UNKNOWN;
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
	feed_update(peers, now);
}

struct feed_peers *feed_peers_new(const struct feed_peers_options *options,
				  GError **error)
{
	struct feed_peers *peers = g_new0(struct feed_peers, 1);
	struct rpc_options rpc = {
		.loop = options->loop,
		.record_max = FEED_RECORD_MAX,
		.output_max = FEED_OUTPUT_MAX,
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
	feed_update(peers, now);
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

#include <inttypes.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "mesh/position.h"
#include "relay/feed_internal.h"
#include "relay/relay.h"

/*
 * How long a daemon gets pushes after its backend server has left the view: it
 * serves its callers until it is stopped.
 */
#define UNLISTED_PUSH_NS (20 * NS_PER_SEC)

/* How often a daemon without a registered server introduces itself. */
#define INTRODUCTION_INTERVAL_NS (2 * NS_PER_SEC)

/*
 * To how many of the first ranks. The entry of a host that is lost stays for
 * some seconds, so the first of them may not be there.
 */
#define INTRODUCTION_RANKS (READERS_TARGET + 2)

/* Roles. */

static int64_t next_update(struct feed_peers *peers, int64_t now,
			   bool announces)
{
	int64_t next = readers_next_deadline(&peers->state, now);
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
	if (announces)
		next = MIN(next, peers->next_announce);
	return next;
}

void feed_update(struct feed_peers *peers, int64_t now)
{
	bool is_reader = readers_should_read(&peers->state, now);
	bool announces = readers_should_publish(&peers->state, now) &&
			 feed_revision(peers->options.feed);
	int64_t next;

	if (is_reader != peers->is_reader) {
		peers->is_reader = is_reader;
		log_event(LOG_INFO, "role", "reads_store=%d rank=%d", is_reader,
			  peers->state.rank);
		peers->options.ops->role(peers->options.ctx, is_reader);
	}
	if (announces && peers->next_announce <= now)
		feed_mark_own(peers, now);
	mesh_recent_note(&peers->recent, feed_revision(peers->options.feed),
			 now);
	feed_push_due(peers, now);
	next = next_update(peers, now, announces);
	if (next != DEADLINE_NEVER)
		timers_set(peers->options.timers, &peers->timer, next);
}

static void on_timer(struct timer *timer, int64_t now)
{
	feed_update(caa_container_of(timer, struct feed_peers, timer), now);
}

/* Finds the listed daemons that rank first. */
static void find_first_ranks(struct feed_peers *peers,
			     struct peer *first[INTRODUCTION_RANKS])
{
	struct peer *peer;
	GHashTableIter iter;

	for (int i = 0; i < INTRODUCTION_RANKS; i++)
		first[i] = NULL;
	g_hash_table_iter_init(&iter, peers->peers);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&peer)) {
		struct peer *next = peer->listed ? peer : NULL;

		for (int i = 0; next && i < INTRODUCTION_RANKS; i++) {
			struct peer *other = first[i];

			if (other &&
			    readers_hash(other->ip) < readers_hash(next->ip))
				continue;
			first[i] = next;
			next = other;
		}
	}
}

/*
 * A daemon is known to the others by its server's entry. Without one it sends a
 * push to the first ranks, of which the readers push to it from then on;
 * otherwise it would have to read the store all the time.
 */
static void introduce(struct feed_peers *peers, int64_t now)
{
	struct peer *first[INTRODUCTION_RANKS];

	if (peers->own_listed || now < peers->next_introduction)
		return;
	find_first_ranks(peers, first);
	if (first[0])
		peers->next_introduction = now + INTRODUCTION_INTERVAL_NS;
	for (int i = 0; i < INTRODUCTION_RANKS; i++)
		if (first[i])
			feed_push_to(first[i], now);
}

void feed_peers_confirmed(struct feed_peers *peers, int64_t confirmed)
{
	int64_t now = clock_monotonic_ns();

	introduce(peers, now);
	peers->state.read_at = MAX(peers->state.read_at, confirmed);
	peers->next_announce = now;
	feed_update(peers, now);
}

void feed_peers_end_era(struct feed_peers *peers, int64_t revision)
{
	int64_t *before = &peers->before[position_era(revision) % FEED_ERAS];

	*before = MAX(*before, revision);
}

/*
 * What the sender of a push knew of this daemon's era when it ended; 0: none.
 */
static int64_t known_before(const struct feed_peers *peers,
			    const struct feed_push *push)
{
	int64_t era = position_era(feed_revision(peers->options.feed));
	int64_t before = push->before[era % FEED_ERAS];

	return position_era(before) == era ? before : 0;
}

void feed_peers_store_lost(struct feed_peers *peers)
{
	int64_t now = clock_monotonic_ns();

	peers->state.read_at = 0;
	peers->next_announce = now;
	feed_update(peers, now);
}

void feed_peers_push_crashes(struct feed_peers *peers,
			     const struct quarantine_entry *entries, size_t nr)
{
	int64_t now = clock_monotonic_ns();
	struct peer *peer;
	GHashTableIter iter;

	for (size_t i = 0; i < nr; i++)
		quarantine_merge(peers->crashes, &entries[i], now);
	g_hash_table_iter_init(&iter, peers->peers);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&peer))
		if (!peer->failed)
			peer->next_push = now;
	feed_update(peers, now);
}

static struct peer *get_peer(struct feed_peers *peers, const char *ip)
{
	struct peer *peer = g_hash_table_lookup(peers->peers, ip);
	g_autofree char *text = NULL;

	if (peer)
		return peer;
	peer = g_new0(struct peer, 1);
	peer->peers = peers;
	peer->ip = g_strdup(ip);
	peer->next_push = DEADLINE_NEVER;
	peer->acked = FEED_ACKED_UNKNOWN;
	text = g_strdup_printf("%s:%u", ip, peers->options.host->control.port);
	net_address_parse(&peer->address, text, NULL);
	g_hash_table_insert(peers->peers, peer->ip, peer);
	return peer;
}

static void list_peer(struct feed_peers *peers, const char *ip,
		      const char *zone, int64_t now)
{
	struct peer *peer = get_peer(peers, ip);

	g_free(peer->zone);
	peer->zone = g_strdup(zone);
	peer->listed = true;
	peer->listed_at = now;
}

/* The sender of a push; one that is not listed gets pushes for some time. */
static struct peer *get_sender(struct feed_peers *peers, const char *ip,
			       int64_t now)
{
	struct peer *peer = get_peer(peers, ip);

	if (!peer->listed)
		peer->listed_at = now;
	return peer;
}

/* Pushes of other daemons. */

static void receive_crashes(struct feed_peers *peers,
			    const struct feed_push *push)
{
	struct quarantine_entry entries[PEER_CRASHES_MAX];
	int64_t now = clock_monotonic_ns();
	size_t nr = 0;

	for (u_int i = 0; i < push->crashes.crashes_len; i++) {
		const struct peer_crash *received =
			&push->crashes.crashes_val[i];
		struct quarantine_entry entry = {
			.fingerprint = received->fingerprint,
			.origin = received->origin,
			.count = received->count,
			.cleared = received->cleared,
			.left_ms = received->left_ms,
		};

		if (quarantine_merge(peers->crashes, &entry, now))
			entries[nr++] = entry;
	}
	if (nr)
		peers->options.ops->crashes(peers->options.ctx, entries, nr);
}

/*
 * The place of this daemon in the ranking. The others rank only listed daemons,
 * so one that is not listed comes after all of them.
 */
static uint64_t own_hash(const struct feed_peers *peers)
{
	return peers->own_listed ? readers_hash(peers->options.host->ip)
				 : UINT64_MAX;
}

/*
 * When READERS_TARGET daemons before this one in the ranking were last all
 * announced as reading the store, or when this daemon first read all of it.
 */
static int64_t covered_at(struct feed_peers *peers)
{
	uint64_t own = own_hash(peers);
	int64_t newest[READERS_TARGET] = { 0 };
	struct peer *peer;
	GHashTableIter iter;

	g_hash_table_iter_init(&iter, peers->peers);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&peer)) {
		int64_t at = peer->reader_seen_at;

		if (!peer->listed || readers_hash(peer->ip) > own)
			continue;
		for (int i = 0; i < READERS_TARGET; i++) {
			int64_t other = newest[i];

			newest[i] = MAX(other, at);
			at = MIN(other, at);
		}
	}
	return MAX(newest[READERS_TARGET - 1], peers->first_read_at);
}

void feed_peers_read_all(struct feed_peers *peers)
{
	if (!peers->state.covered_at)
		peers->first_read_at = clock_monotonic_ns();
	peers->state.covered_at = covered_at(peers);
}

/* Records the announcement of a root; returns whether to forward it. */
static bool record_root(struct feed_peers *peers,
			const struct feed_root *received, int64_t now)
{
	int slot = feed_get_root_slot(peers, received->ip);
	struct root *root = &peers->roots[slot];
	struct peer *peer = g_hash_table_lookup(peers->peers, received->ip);
	bool is_new;

	if (received->read_age_ms == FEED_ENDED) {
		is_new = !root->ended;
		root->ended = true;
		if (peer)
			peer->reader_seen_at = MIN(peer->reader_seen_at,
						   now - READERS_STALE_NS);
		return is_new;
	}
	/* Within a quarter of the interval, the same one is a duplicate. */
	is_new = root->ended ||
		 now - root->updated_at >= FEED_ANNOUNCE_INTERVAL_NS / 4 ||
		 !root->updated_at ||
		 (root->read_at && received->read_age_ms < 0);
	root->ended = false;
	root->updated_at = now;
	root->read_at = received->read_age_ms < 0
				? 0
				: now - received->read_age_ms * NS_PER_MS;
	peers->options.ops->store_state(peers->options.ctx, root->read_at);
	if (peer && received->read_age_ms < 0)
		peer->reader_seen_at =
			MIN(peer->reader_seen_at, now - READERS_STALE_NS);
	else if (peer && received->read_age_ms <= READERS_READ_AGE_MAX_MS)
		peer->reader_seen_at = now;
	return is_new;
}

static void receive_roots(struct feed_peers *peers,
			  const struct feed_push *push, bool has_entries,
			  int64_t now)
{
	for (u_int i = 0; i < push->roots.roots_len; i++) {
		const struct feed_root *received = &push->roots.roots_val[i];

		if (feed_is_own(peers, received->ip))
			continue;
		if (record_root(peers, received, now) || has_entries)
			feed_mark_root(peers,
				       feed_get_root_slot(peers, received->ip),
				       now);
	}
	peers->state.covered_at = covered_at(peers);
}

/* Whether the sender waits for what this daemon holds. */
static bool must_send_held(struct peer *peer, const struct feed_push *push,
			   int64_t now)
{
	/* One that holds items sends its own first, after the reply. */
	bool has_sent = !push->held_digest;

	for (u_int i = 0; i < push->entries.entries_len; i++)
		has_sent |= push->entries.entries_val[i].held != 0;
	return feed_note_digest(peer, push->held_digest, now) && has_sent;
}

static void receive_push(struct feed_peers *peers, const struct feed_push *push)
{
	struct feed *feed = peers->options.feed;
	int64_t now = clock_monotonic_ns();
	struct peer *peer = get_sender(peers, push->ip, now);
	bool is_new = push->to > feed_revision(feed);

	/* A push from a revision that is not reached yet would leave a gap. */
	if (push->from <= feed_revision(feed)) {
		for (u_int i = 0; i < push->entries.entries_len; i++)
			peers->options.ops->entry(
				peers->options.ctx,
				&push->entries.entries_val[i]);
		peers->options.ops->advanced(peers->options.ctx, push->to,
					     known_before(peers, push));
		for (int i = 0; i < FEED_ERAS; i++)
			if (push->before[i] > 0)
				feed_peers_end_era(peers, push->before[i]);
	}
	receive_crashes(peers, push);
	if (push->roots.roots_len)
		peers->state.received_at = now;
	receive_roots(peers, push, is_new, now);
	/* The sender restarted or missed pushes: it gets the items it lacks. */
	if (push->to < feed_revision(feed)) {
		if (peer->acked == FEED_ACKED_UNKNOWN || peer->acked > push->to)
			peer->acked = push->to;
		feed_push_to(peer, now);
	}
	if (must_send_held(peer, push, now))
		feed_push_to(peer, now);
	feed_update(peers, now);
}

/*
 * The connection of another daemon closed. If that daemon read the store, its
 * process is announced as ended, so that the daemons next in the ranking take
 * over at once.
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
	if (!peer || !peer->reader_seen_at)
		return;
	if (record_root(peers, &ended, now))
		feed_mark_root(peers, feed_get_root_slot(peers, ip), now);
	peers->state.covered_at = covered_at(peers);
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
	receive_push(peers, &push);
	xdr_free((xdrproc_t)xdr_feed_push, (char *)&push);
	reply.revision = feed_revision(peers->options.feed);
	reply.held_digest = feed_held_digest(peers->options.feed);
	rpc_reply(conn, xid, (xdrproc_t)xdr_feed_reply, &reply);
	return true;
}

/* Membership. */

static void free_peer(void *arg)
{
	struct peer *peer = arg;

	if (peer->calling)
		rpc_abandon(peer->conn, &peer->call);
	if (peer->conn) {
		rpc_conn_close(peer->conn);
		rpc_conn_unref(peer->conn);
	}
	g_free(peer->ip);
	g_free(peer->zone);
	g_free(peer);
}

static gboolean has_left(gpointer key, gpointer value, gpointer ctx)
{
	const struct peer *peer = value;
	const int64_t *now = ctx;

	(void)key;
	return !peer->listed && *now - peer->listed_at > UNLISTED_PUSH_NS;
}

/* The view before this one listed its daemons until now. */
static void unlist_all(struct feed_peers *peers, int64_t now)
{
	struct peer *peer;
	GHashTableIter iter;

	g_hash_table_iter_init(&iter, peers->peers);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&peer)) {
		if (peer->listed)
			peer->listed_at = now;
		peer->listed = false;
	}
}

static int get_rank(struct feed_peers *peers)
{
	uint64_t own = own_hash(peers);
	struct peer *peer;
	GHashTableIter iter;
	int rank = 0;

	g_hash_table_iter_init(&iter, peers->peers);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&peer))
		rank += peer->listed && readers_hash(peer->ip) < own;
	return rank;
}

void feed_peers_set_view(struct feed_peers *peers, const struct mesh_view *view)
{
	const char *own = peers->options.host->ip;
	int64_t now = clock_monotonic_ns();

	unlist_all(peers, now);
	peers->own_listed = false;
	for (guint i = 0; i < view->targets->len; i++) {
		const struct mesh_target *target =
			g_ptr_array_index(view->targets, i);

		if (strcmp(target->ip, own) != 0)
			list_peer(peers, target->ip, target->zone, now);
		else
			peers->own_listed = true;
	}
	g_hash_table_foreach_remove(peers->peers, has_left, &now);
	peers->state.rank = get_rank(peers);
	peers->state.covered_at = covered_at(peers);
	feed_update(peers, now);
}

struct feed_peers *feed_peers_new(const struct feed_peers_options *options,
				  GError **error)
{
	struct feed_peers *peers = g_new0(struct feed_peers, 1);
	/* The daemon's own crashes come with the origin of its process. */
	struct quarantine_options crashes = {
		.crashes = RELAY_QUARANTINE_CRASHES,
		.quarantine_ns = RELAY_QUARANTINE_NS,
	};
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
	if (peers->listener) {
		peers->crashes = quarantine_new(&crashes);
		return peers;
	}
	g_hash_table_unref(peers->peers);
	g_free(peers);
	return NULL;
}

void feed_peers_start(struct feed_peers *peers)
{
	int64_t now = clock_monotonic_ns();

	peers->state.received_at = now;
	feed_update(peers, now);
}

json_t *feed_peers_dump(const struct feed_peers *peers)
{
	json_t *array = json_array();
	struct peer *peer;
	GHashTableIter iter;

	g_hash_table_iter_init(&iter, peers->peers);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&peer)) {
		bool is_known = peer->acked != FEED_ACKED_UNKNOWN;
		int64_t acked = peer->acked;

		json_array_append_new(
			array,
			json_pack("{s:s, s:I, s:I}", "ip", peer->ip, "era",
				  is_known ? position_era(acked) : 0,
				  "revision",
				  is_known ? position_revision(acked) : acked));
	}
	return array;
}

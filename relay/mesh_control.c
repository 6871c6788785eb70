#include <inttypes.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "base/pack.h"
#include "base/timer.h"
#include "mesh/position.h"
#include "mesh/readers.h"
#include "net/rpc.h"
#include "platform/platform.h"
#include "relay/mesh_control_internal.h"

/* Minimum time between two views; limits the cost of bursts of changes. */
#define BUILD_INTERVAL_NS (50 * NS_PER_MS)

/*
 * The first start of a fleet ends after this time also for a daemon whose
 * server has not registered. It may have callers by then.
 */
#define BOOTSTRAP_MAX_NS (7 * NS_PER_SEC)

/* Views. */

static void add_target(const struct feed_item *item, const char *id,
		       struct mesh_control *control, struct mesh_view *view)
{
	struct mesh_target *target =
		g_hash_table_lookup(control->targets, item->key);

	(void)id;
	if (target)
		g_ptr_array_add(view->targets, mesh_target_ref(target));
}

struct build {
	struct mesh_control *control;
	struct mesh_view *view;
};

static void add_item(const struct feed_item *item, void *ctx)
{
	struct build *build = ctx;
	const char *name;

	if (!item->value)
		return;
	switch (platform_item_kind(item->key, &name)) {
	case PLATFORM_ITEM_TARGET:
		add_target(item, name, build->control, build->view);
		break;
	case PLATFORM_ITEM_EVACUATED_ZONE:
		g_hash_table_add(build->view->evacuated_zones, g_strdup(name));
		break;
	default:
		break;
	}
}

static void build_view(struct mesh_control *control, int64_t now)
{
	struct build build = { .control = control };
	guint nr_former;

	build.view = mesh_view_new(control->config);
	feed_each_after(control->feed, 0, add_item, &build);
	nr_former = boots_remove_former(entry_judge_boots(control->judge),
					build.view);
	control->built_at = now;
	log_event(LOG_INFO, "view",
		  "version=%" PRId64 " revision=%" PRId64
		  " targets=%u zones_out=%u former=%u era=%" PRId64,
		  control->config ? control->config->version : 0,
		  position_revision(feed_revision(control->feed)),
		  build.view->targets->len,
		  g_hash_table_size(build.view->evacuated_zones), nr_former,
		  position_era(feed_revision(control->feed)));
	feed_peers_set_view(control->peers, build.view);
	control->ops->apply(control->ctx, build.view);
}

static void on_build_timer(struct timer *timer, int64_t now)
{
	struct mesh_control *control =
		caa_container_of(timer, struct mesh_control, build_timer);

	/*
	 * Before the first full read ends, a configuration may be known but no
	 * server; with such a view the daemon would refuse every request.
	 */
	if (feed_revision(control->feed))
		build_view(control, now);
}

void mesh_schedule_build(struct mesh_control *control)
{
	if (!control->build_timer.position)
		timers_set(&control->timers, &control->build_timer,
			   control->built_at + BUILD_INTERVAL_NS);
}

static void on_expiry_timer(struct timer *timer, int64_t now)
{
	struct mesh_control *control =
		caa_container_of(timer, struct mesh_control, expiry_timer);

	if (feed_expire(control->feed, now))
		mesh_schedule_build(control);
	if (feed_next_expiry(control->feed) != DEADLINE_NEVER)
		timers_set(&control->timers, timer,
			   feed_next_expiry(control->feed));
}

/* When a deletion that is read now takes effect; 0: at once. */
static int64_t delete_deadline(const struct mesh_control *control,
			       const char *key)
{
	const char *name;

	if (platform_item_kind(key, &name) != PLATFORM_ITEM_TARGET)
		return 0;
	return MAX(control->outage.hold_deadline,
		   control->restore_hold_deadline);
}

/* The store. */

static void on_changes(void *ctx, const struct platform_page *page,
		       int64_t confirmed)
{
	struct mesh_control *control = ctx;

	for (guint i = 0; i < page->changes->len; i++) {
		struct platform_change *change =
			g_ptr_array_index(page->changes, i);

		if (change->value)
			mesh_apply_write(control, change->key, change->value,
					 change->revision, confirmed != 0);
		else
			mesh_apply_delete(control, change->key,
					  change->revision,
					  delete_deadline(control,
							  change->key));
	}
	/*
	 * During a full read deletions are still unknown, so the revision must
	 * not be passed on to other daemons as complete.
	 */
	if (!confirmed)
		return;
	mesh_advance(control, page->revision);
	feed_peers_confirmed(control->peers, confirmed);
}

static void on_complete(void *ctx, GHashTable *keys, int64_t revision,
			int64_t confirmed)
{
	struct mesh_control *control = ctx;
	bool any_deleted = mesh_keep_missing(control, keys, revision);

	mesh_list_held(control, keys);
	for (size_t i = 0; platform_prefixes[i]; i++)
		any_deleted |= feed_delete_missing(
			control->feed, platform_prefixes[i], keys, revision,
			delete_deadline(control, platform_prefixes[i]));
	if (any_deleted)
		mesh_set_expiry(control);
	mesh_advance(control, revision);
	mesh_schedule_build(control);
	/* Other daemons push changes to hosts with a registered server only. */
	if (control->own_registered)
		feed_peers_read_all(control->peers);
	if (confirmed)
		feed_peers_confirmed(control->peers, confirmed);
}

/* A daemon, this one or another, read the store. */
static void note_store_read(struct mesh_control *control, int64_t at)
{
	struct store_outage *outage = &control->outage;
	int64_t hold = outage->hold_deadline;

	store_outage_note_read(outage, at);
	if (outage->hold_deadline == hold)
		return;
	log_event(LOG_NOTICE, "expiry_hold",
		  "unread_ms=%" PRId64 " hold_ms=%" PRId64,
		  outage->left_at
			  ? (outage->returned_at - outage->left_at) / NS_PER_MS
			  : -1,
		  MAX(0, outage->hold_deadline - clock_monotonic_ns()) /
			  NS_PER_MS);
}

/* Each failure counts: another daemon may have read the store since the last.
 */
static void on_failed(void *ctx)
{
	struct mesh_control *control = ctx;

	store_outage_note_failure(&control->outage, clock_monotonic_ns());
}

static void on_lost(void *ctx)
{
	struct mesh_control *control = ctx;

	log_event(LOG_WARNING, "store_lost", "revision=%" PRId64,
		  position_revision(feed_revision(control->feed)));
	feed_peers_store_lost(control->peers);
}

static void on_answered(void *ctx)
{
	struct mesh_control *control = ctx;

	note_store_read(control, clock_monotonic_ns());
}

static void on_recovered(void *ctx)
{
	struct mesh_control *control = ctx;
	int64_t now = clock_monotonic_ns();

	log_event(LOG_NOTICE, "store_regained",
		  "away_ms=%" PRId64 " hold_ms=%" PRId64,
		  (now - store_reader_lost_since(control->reader)) / NS_PER_MS,
		  MAX(0, control->outage.hold_deadline - now) / NS_PER_MS);
}

static int64_t on_known_era(void *ctx)
{
	const struct mesh_control *control = ctx;

	return position_era(feed_revision(control->feed));
}

static bool on_is_bootstrapping(void *ctx)
{
	const struct mesh_control *control = ctx;

	return control->host->first_start && !control->own_registered &&
	       clock_monotonic_ns() < control->bootstrap_deadline;
}

static const struct store_reader_ops reader_ops = {
	.changes = on_changes,
	.complete = on_complete,
	.failed = on_failed,
	.lost = on_lost,
	.answered = on_answered,
	.recovered = on_recovered,
	.is_bootstrapping = on_is_bootstrapping,
	.known_era = on_known_era,
};

/* Other daemons. */

static GBytes *entry_value(const struct feed_entry *entry)
{
	const void *data = entry->value.value_val;
	gsize len = entry->value.value_len;

	if (!entry->plain_bytes)
		return g_bytes_new(data, len);
	if (entry->plain_bytes > PEER_VALUE_MAX)
		return NULL;
	return unpack_bytes(data, len, entry->plain_bytes);
}

static void on_entry(void *ctx, const struct feed_entry *entry)
{
	struct mesh_control *control = ctx;
	int64_t now = clock_monotonic_ns();

	g_autoptr(GBytes) value = NULL;

	/* An item of an era that has ended, from a daemon behind a fault. */
	if (position_era(entry->revision) <
	    position_era(feed_revision(control->feed)))
		return;
	if (entry->deleted && !entry->held) {
		mesh_apply_delete(control, entry->key, entry->revision,
				  now + entry->hold_ms * NS_PER_MS);
		return;
	}
	value = entry->deleted ? NULL : entry_value(entry);
	if (entry->held && (value || entry->deleted))
		mesh_apply_held(control, entry->key, value, entry->revision,
				entry->held,
				entry->hold_ms
					? now + entry->hold_ms * NS_PER_MS
					: DEADLINE_NEVER);
	else if (value)
		mesh_apply_write(control, entry->key, value, entry->revision,
				 false);
	else
		log_event(LOG_ERR, "entry_unpackable", "key=%s",
			  log_quote(entry->key));
}

static void on_advanced(void *ctx, int64_t revision, int64_t before)
{
	struct mesh_control *control = ctx;
	int64_t known = feed_revision(control->feed);

	/*
	 * What this daemon knows of the ended era and the sender did not know,
	 * is as good as missing from the copy.
	 */
	if (known && position_era(revision) > position_era(known) &&
	    mesh_keep_unknown(control, before, revision))
		mesh_schedule_build(control);
	mesh_advance(control, revision);
}

static void on_crashes(void *ctx, const struct quarantine_entry *entries,
		       size_t nr)
{
	struct mesh_control *control = ctx;

	control->ops->crashes(control->ctx, entries, nr);
}

static void on_role(void *ctx, bool reads)
{
	struct mesh_control *control = ctx;

	if (reads)
		store_reader_start(control->reader,
				   feed_revision(control->feed));
	else
		store_reader_stop(control->reader);
}

static void on_store_state(void *ctx, int64_t read_at)
{
	struct mesh_control *control = ctx;

	if (read_at)
		note_store_read(control, read_at);
	else
		store_outage_note_failure(&control->outage,
					  clock_monotonic_ns());
}

static const struct feed_peers_ops peers_ops = {
	.entry = on_entry,
	.advanced = on_advanced,
	.crashes = on_crashes,
	.role = on_role,
	.store_state = on_store_state,
};

/* The thread. */

static void write_dump(struct mesh_control *control)
{
	json_t *dump = json_pack(
		"{s:I, s:I, s:b, s:I, s:o}", "era",
		(json_int_t)position_era(feed_revision(control->feed)),
		"revision",
		(json_int_t)position_revision(feed_revision(control->feed)),
		"reads_store", store_reader_is_running(control->reader),
		"store_calls",
		(json_int_t)store_reader_nr_calls(control->reader), "peers",
		feed_peers_dump(control->peers));
	char *text = json_dumps(dump, JSON_COMPACT | JSON_SORT_KEYS);

	json_decref(dump);
	pthread_mutex_lock(&control->lock);
	free(control->dump);
	control->dump = text;
	pthread_mutex_unlock(&control->lock);
}

static void on_turn(void *ctx, int64_t now)
{
	struct mesh_control *control = ctx;

	timers_run(&control->timers, now);
}

static int64_t on_next_deadline(void *ctx)
{
	struct mesh_control *control = ctx;

	return timers_next(&control->timers);
}

static void report_crashes(void *arg)
{
	struct mesh_control *control = arg;
	g_autoptr(GArray) crashes = NULL;

	pthread_mutex_lock(&control->lock);
	crashes = control->crashes;
	control->crashes =
		g_array_new(FALSE, FALSE, sizeof(struct quarantine_entry));
	pthread_mutex_unlock(&control->lock);
	feed_peers_push_crashes(control->peers,
				(struct quarantine_entry *)crashes->data,
				crashes->len);
}

void mesh_control_report_crash(struct mesh_control *control,
			       const struct quarantine_entry *entry)
{
	pthread_mutex_lock(&control->lock);
	g_array_append_val(control->crashes, *entry);
	pthread_mutex_unlock(&control->lock);
	net_loop_defer(control->loop, report_crashes, control);
}

static void refresh_dump(void *arg)
{
	write_dump(arg);
}

char *mesh_control_dump_text(struct mesh_control *control)
{
	char *text;

	/* The control thread updates the text later, for the next request. */
	net_loop_defer(control->loop, refresh_dump, control);
	pthread_mutex_lock(&control->lock);
	text = g_strdup(control->dump ? control->dump : "{}");
	pthread_mutex_unlock(&control->lock);
	return text;
}

struct mesh_control *mesh_control_new(const struct mesh_host *host,
				      const struct mesh_control_ops *ops,
				      void *ctx, GError **error)
{
	struct mesh_control *control = g_new0(struct mesh_control, 1);
	struct net_loop_options loop = {
		.on_iteration = on_turn,
		.next_deadline = on_next_deadline,
		.ctx = control,
	};
	struct store_reader_options reader = {
		.timers = &control->timers,
		.address = host->store,
		.ops = &reader_ops,
		.ctx = control,
	};
	struct feed_peers_options peers = {
		.host = host,
		.timers = &control->timers,
		.ops = &peers_ops,
		.ctx = control,
	};

	control->host = host;
	control->ops = ops;
	control->ctx = ctx;
	control->loop = net_loop_new(&loop);
	timers_init(&control->timers);
	control->outage.started_at = clock_monotonic_ns();
	control->bootstrap_deadline = clock_monotonic_ns() + BOOTSTRAP_MAX_NS;
	control->feed = feed_new();
	control->targets =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
				      (GDestroyNotify)mesh_target_unref);
	control->judge = entry_judge_new();
	control->build_timer.fire = on_build_timer;
	control->expiry_timer.fire = on_expiry_timer;
	control->crashes =
		g_array_new(FALSE, FALSE, sizeof(struct quarantine_entry));
	pthread_mutex_init(&control->lock, NULL);
	reader.loop = control->loop;
	control->reader = store_reader_new(&reader);
	peers.loop = control->loop;
	peers.feed = control->feed;
	control->peers = feed_peers_new(&peers, error);
	return control->peers ? control : NULL;
}

static void *run_thread(void *arg)
{
	struct mesh_control *control = arg;

	pthread_setname_np(pthread_self(), "control");
	feed_peers_start(control->peers);
	net_loop_run(control->loop);
	return NULL;
}

void mesh_control_start(struct mesh_control *control)
{
	pthread_attr_t attr;
	pthread_t thread;

	pthread_attr_init(&attr);
	pthread_attr_setdetachstate(&attr, PTHREAD_CREATE_DETACHED);
	pthread_attr_setstacksize(&attr, 256 * 1024);
	if (pthread_create(&thread, &attr, run_thread, control))
		log_event(LOG_ERR, "thread_failed", "thread=control");
	pthread_attr_destroy(&attr);
}

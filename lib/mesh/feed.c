#include <string.h>

#include "base/clock.h"
#include "base/rng.h"
#include "mesh/feed.h"

/*
 * Number of deleted items that are kept so that a delayed older write does not
 * restore them. Beyond it, the item with the lowest revision is removed.
 */
#define DELETED_MAX 4096

struct feed {
	GHashTable *items; /* key -> struct feed_item */
	int64_t revision;
	guint nr_deleted;
	uint64_t held_digest; /* XOR of held_mark() of all items */
};

static void free_item(void *arg)
{
	struct feed_item *item = arg;

	g_free(item->key);
	g_clear_pointer(&item->value, g_bytes_unref);
	g_clear_pointer(&item->last, g_bytes_unref);
	g_free(item);
}

struct feed *feed_new(void)
{
	struct feed *feed = g_new0(struct feed, 1);

	feed->items =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_item);
	return feed;
}

void feed_free(struct feed *feed)
{
	g_hash_table_unref(feed->items);
	g_free(feed);
}

int64_t feed_revision(const struct feed *feed)
{
	return feed->revision;
}

void feed_advance(struct feed *feed, int64_t revision)
{
	feed->revision = MAX(feed->revision, revision);
}

static struct feed_item *get_item(struct feed *feed, const char *key)
{
	struct feed_item *item = g_hash_table_lookup(feed->items, key);

	if (item)
		return item;
	item = g_new0(struct feed_item, 1);
	item->key = g_strdup(key);
	item->delete_deadline = DEADLINE_NEVER;
	g_hash_table_insert(feed->items, item->key, item);
	return item;
}

static uint64_t held_mark(const struct feed_item *item)
{
	if (!item->held)
		return 0;
	return hash_mix(hash_string(item->key),
			hash_mix((uint64_t)item->revision,
				 (uint64_t)item->held));
}

static void set_order(struct feed *feed, struct feed_item *item,
		      int64_t revision, int64_t held)
{
	feed->held_digest ^= held_mark(item);
	item->revision = revision;
	item->held = held;
	feed->held_digest ^= held_mark(item);
}

static bool is_newer(const struct feed_item *item, int64_t revision,
		     int64_t held)
{
	return revision > item->revision ||
	       (revision == item->revision && held > item->held);
}

bool feed_is_newer_held(const struct feed *feed, const char *key,
			int64_t revision, int64_t rank)
{
	const struct feed_item *item = feed_find(feed, key);

	return !item || is_newer(item, revision, rank);
}

bool feed_is_newer(const struct feed *feed, const char *key, int64_t revision)
{
	return feed_is_newer_held(feed, key, revision, 0);
}

uint64_t feed_held_digest(const struct feed *feed)
{
	return feed->held_digest;
}

bool feed_has_value(const struct feed *feed, const char *key)
{
	const struct feed_item *item = feed_find(feed, key);

	return item && item->value && item->delete_deadline == DEADLINE_NEVER;
}

/* An empty value counts as a deletion, so the one before it is kept. */
static void set_value(struct feed *feed, struct feed_item *item, GBytes *value)
{
	g_autoptr(GBytes) former = g_steal_pointer(&item->value);

	if (!former && item->revision)
		feed->nr_deleted--;
	item->value = g_bytes_ref(value);
	if (g_bytes_get_size(value)) {
		g_clear_pointer(&item->last, g_bytes_unref);
	} else if (former && g_bytes_get_size(former)) {
		g_clear_pointer(&item->last, g_bytes_unref);
		item->last = g_steal_pointer(&former);
	}
}

bool feed_write(struct feed *feed, const char *key, GBytes *value,
		int64_t revision, bool is_change)
{
	struct feed_item *item = get_item(feed, key);

	if (!is_newer(item, revision, 0))
		return false;
	set_value(feed, item, value);
	set_order(feed, item, revision, 0);
	if (is_change)
		item->changed = revision;
	item->delete_deadline = DEADLINE_NEVER;
	return true;
}

static void drop_oldest_deleted(struct feed *feed)
{
	struct feed_item *oldest = NULL, *item;
	GHashTableIter iter;

	g_hash_table_iter_init(&iter, feed->items);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&item)) {
		if (!item->value &&
		    (!oldest || item->revision < oldest->revision))
			oldest = item;
	}
	if (oldest) {
		feed->held_digest ^= held_mark(oldest);
		g_hash_table_remove(feed->items, oldest->key);
	}
	feed->nr_deleted--;
}

static void drop_value(struct feed *feed, struct feed_item *item)
{
	if (item->value && g_bytes_get_size(item->value)) {
		g_clear_pointer(&item->last, g_bytes_unref);
		item->last = g_steal_pointer(&item->value);
	}
	g_clear_pointer(&item->value, g_bytes_unref);
	item->delete_deadline = DEADLINE_NEVER;
	if (++feed->nr_deleted > DELETED_MAX)
		drop_oldest_deleted(feed);
}

bool feed_delete(struct feed *feed, const char *key, int64_t revision,
		 int64_t deadline)
{
	struct feed_item *item = get_item(feed, key);
	bool is_new = !item->revision;

	if (!is_newer(item, revision, 0))
		return false;
	set_order(feed, item, revision, 0);
	item->changed = revision;
	item->deletion_deadline = MIN(item->delete_deadline, deadline);
	if (item->value)
		item->delete_deadline = item->deletion_deadline;
	else if (is_new)
		drop_value(feed, item);
	return true;
}

int64_t feed_hold_left(const struct feed_item *item, int64_t now)
{
	int64_t deadline =
		item->value ? item->delete_deadline : item->deletion_deadline;

	return deadline == DEADLINE_NEVER ? 0 : MAX(0, deadline - now);
}

bool feed_hold_value(struct feed *feed, const char *key, GBytes *value,
		     int64_t revision, int64_t rank, int64_t deadline)
{
	struct feed_item *item = get_item(feed, key);
	bool is_new = !item->revision;

	if (!is_newer(item, revision, rank))
		return false;
	if (value)
		set_value(feed, item, value);
	set_order(feed, item, revision, rank);
	item->changed = revision;
	if (item->value)
		item->delete_deadline = deadline;
	else if (is_new)
		drop_value(feed, item);
	return true;
}

bool feed_hold(struct feed *feed, const char *key, int64_t revision,
	       int64_t rank, int64_t deadline)
{
	return feed_hold_value(feed, key, NULL, revision, rank, deadline);
}

bool feed_delete_missing(struct feed *feed, const char *prefix,
			 GHashTable *keys, int64_t revision, int64_t deadline)
{
	struct feed_item *item;
	GHashTableIter iter;
	bool any_deleted = false;

	g_hash_table_iter_init(&iter, feed->items);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&item)) {
		if (!item->value || item->revision > revision ||
		    item->delete_deadline != DEADLINE_NEVER ||
		    !g_str_has_prefix(item->key, prefix) ||
		    g_hash_table_contains(keys, item->key))
			continue;
		set_order(feed, item, revision, 0);
		item->changed = revision;
		item->delete_deadline = deadline;
		item->deletion_deadline = deadline;
		any_deleted = true;
	}
	return any_deleted;
}

bool feed_expire(struct feed *feed, int64_t now)
{
	g_autoptr(GPtrArray) due = g_ptr_array_new();
	struct feed_item *item;
	GHashTableIter iter;

	g_hash_table_iter_init(&iter, feed->items);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&item)) {
		if (item->delete_deadline <= now)
			g_ptr_array_add(due, item);
	}
	for (guint i = 0; i < due->len; i++)
		drop_value(feed, g_ptr_array_index(due, i));
	return due->len > 0;
}

int64_t feed_next_expiry(const struct feed *feed)
{
	int64_t next = DEADLINE_NEVER;
	struct feed_item *item;
	GHashTableIter iter;

	g_hash_table_iter_init(&iter, feed->items);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&item))
		next = MIN(next, item->delete_deadline);
	return next;
}

void feed_each_after(const struct feed *feed, int64_t revision,
		     void (*each)(const struct feed_item *item, void *ctx),
		     void *ctx)
{
	struct feed_item *item;
	GHashTableIter iter;

	g_hash_table_iter_init(&iter, feed->items);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&item)) {
		if (item->changed > revision)
			each(item, ctx);
	}
}

const struct feed_item *feed_find(const struct feed *feed, const char *key)
{
	return g_hash_table_lookup(feed->items, key);
}

#include <inttypes.h>

#include "base/log.h"
#include "mesh/position.h"
#include "platform/platform.h"
#include "relay/mesh_control_internal.h"

/*
 * An evacuation that is missing from a restored copy is kept for this time.
 * Requests to an evacuated zone break a promise, and serving from fewer zones
 * for some seconds does not. Operators write it again within it.
 */
#define EVACUATION_HOLD_NS (10 * NS_PER_SEC)

/* The rank of a held evacuation; it has no versions. */
#define EVACUATION_RANK 1

struct missing {
	struct mesh_control *control;
	GHashTable *keys; /* NULL: none */
	int64_t revision; /* of what is kept for good */
	int64_t held_at;  /* of what is kept for a time */
	int64_t now;
	bool any;
};

static void keep_missing(const struct feed_item *item, void *ctx)
{
	struct missing *missing = ctx;
	struct mesh_control *control = missing->control;
	struct feed *feed = control->feed;
	int64_t end = item->delete_deadline;
	const char *name;

	/* What is held for a time is held until then in the next era, too. */
	if (!item->value ||
	    (item->delete_deadline != DEADLINE_NEVER && !item->held) ||
	    position_era(item->revision) >= position_era(missing->revision) ||
	    (missing->keys && g_hash_table_contains(missing->keys, item->key)))
		return;
	switch (platform_item_kind(item->key, &name)) {
	case PLATFORM_ITEM_CONFIG:
		if (!control->config)
			return;
		feed_hold_value(feed, item->key, control->config_value,
				missing->revision, control->config->version + 1,
				DEADLINE_NEVER);
		break;
	case PLATFORM_ITEM_EVACUATED_ZONE:
		feed_hold(feed, item->key, missing->held_at, EVACUATION_RANK,
			  MIN(end, missing->now + EVACUATION_HOLD_NS));
		break;
	case PLATFORM_ITEM_TARGET:
		feed_delete(feed, item->key, missing->held_at,
			    MIN(end, missing->now + STORE_OUTAGE_HOLD_NS));
		break;
	default:
		return;
	}
	missing->any = true;
}

static bool keep_all(struct missing *missing, int64_t after)
{
	struct mesh_control *control = missing->control;

	missing->now = clock_monotonic_ns();
	feed_each_after(control->feed, after, keep_missing, missing);
	if (missing->any)
		mesh_set_expiry(control);
	return missing->any;
}

bool mesh_keep_missing(struct mesh_control *control, GHashTable *keys,
		       int64_t revision)
{
	struct missing missing = {
		.control = control,
		.keys = keys,
		.revision = revision,
		.held_at = revision,
	};

	return keep_all(&missing, 0);
}

bool mesh_keep_unknown(struct mesh_control *control, int64_t after,
		       int64_t revision)
{
	/*
	 * The copy may have such an item in the state that the sender knew. At
	 * the start of the era, what is kept yields to anything that the store
	 * has.
	 */
	struct missing missing = {
		.control = control,
		.revision = revision,
		.held_at = position_pack(position_era(revision), 0),
	};

	return keep_all(&missing, after);
}

static void list_held(const struct feed_item *item, void *ctx)
{
	const char *name;

	if (item->held && item->value &&
	    platform_item_kind(item->key, &name) == PLATFORM_ITEM_CONFIG)
		g_hash_table_add(ctx, g_strdup(item->key));
}

void mesh_list_held(const struct mesh_control *control, GHashTable *keys)
{
	feed_each_after(control->feed, 0, list_held, keys);
}

void mesh_advance(struct mesh_control *control, int64_t revision)
{
	int64_t known = feed_revision(control->feed);

	feed_advance(control->feed, revision);
	if (!known || position_era(revision) <= position_era(known))
		return;
	feed_peers_end_era(control->peers, known);
	control->restore_hold_deadline =
		clock_monotonic_ns() + STORE_OUTAGE_HOLD_NS;
	log_event(LOG_NOTICE, "store_restored",
		  "era=%" PRId64 " revision=%" PRId64 " former_era=%" PRId64
		  " former_revision=%" PRId64,
		  position_era(revision), position_revision(revision),
		  position_era(known), position_revision(known));
}

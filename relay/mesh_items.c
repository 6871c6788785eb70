#include <inttypes.h>
#include <string.h>

#include "base/log.h"
#include "mesh/position.h"
#include "platform/platform.h"
#include "relay/mesh_control_internal.h"

bool mesh_apply_config(struct mesh_control *control, GBytes *value)
{
	g_autofree char *reason = NULL;
	struct mesh_config *config = platform_decode_config(value, &reason);

	if (!config) {
		log_event(LOG_ERR, "config_refused", "reason=%s",
			  log_quote(reason));
		return false;
	}
	if (control->config && config->version <= control->config->version) {
		if (config->version < control->config->version)
			log_event(LOG_ERR, "config_refused",
				  "reason=older version=%" PRId64
				  " in_force=%" PRId64,
				  config->version, control->config->version);
		mesh_config_unref(config);
		return false;
	}
	mesh_config_unref(control->config);
	control->config = config;
	g_clear_pointer(&control->config_value, g_bytes_unref);
	control->config_value = g_bytes_ref(value);
	mesh_schedule_build(control);
	return true;
}

static bool same_target(const struct mesh_target *a,
			const struct mesh_target *b)
{
	return a && b && !strcmp(a->service, b->service) &&
	       !strcmp(a->address, b->address) && !strcmp(a->zone, b->zone) &&
	       a->slots == b->slots && a->draining == b->draining &&
	       a->started_ms == b->started_ms;
}

/*
 * Applies a server's entry; returns whether more than a heartbeat came. A
 * server that still writes its entry is no former boot of its address.
 */
static bool apply_target(struct mesh_control *control, const char *key,
			 const char *id, GBytes *value, int64_t revision)
{
	struct mesh_target *old = g_hash_table_lookup(control->targets, key);
	struct mesh_target *target = platform_decode_target(id, value);

	if (!target) {
		/*
		 * Another program may have written the entry, so it counts as
		 * no server.
		 */
		if (old || !feed_has_value(control->feed, key))
			log_event(LOG_WARNING, "entry_unreadable", "key=%s",
				  log_quote(key));
		return g_hash_table_remove(control->targets, key);
	}
	if (!strcmp(target->address, control->host->backend_text))
		control->own_registered = true;
	target->revision = revision;
	if (same_target(old, target) && !boots_is_former(control->boots, old)) {
		mesh_target_unref(target);
		return false;
	}
	g_hash_table_insert(control->targets, g_strdup(key), target);
	return true;
}

/*
 * The newest configuration stays in force although the store has an older or
 * unreadable one. Other daemons that start shall get it too. Without eras, no
 * acknowledged version is lost, so the replica is as the store has it.
 */
static bool hold_config(struct mesh_control *control, const char *key,
			int64_t revision)
{
	if (!control->config || !position_era(revision))
		return false;
	feed_hold_value(control->feed, key, control->config_value, revision,
			control->config->version + 1, DEADLINE_NEVER);
	return true;
}

/*
 * Goes on with what is known of a server instead of its entry in the copy. If
 * both say the same, nothing needs to be sent to daemons that read the copy.
 */
static void hold_entry(struct mesh_control *control, const char *key,
		       const char *id, GBytes *value, int64_t revision)
{
	const struct feed_item *item = feed_find(control->feed, key);
	CLEANUP(mesh_target_unrefp)
	struct mesh_target *target = platform_decode_target(id, value);
	const struct mesh_target *known =
		g_hash_table_lookup(control->targets, key);
	int64_t end = item->delete_deadline;

	if (target && feed_has_value(control->feed, key) &&
	    same_target(known, target)) {
		g_autoptr(GBytes) same = g_bytes_ref(item->value);

		feed_write(control->feed, key, same, revision, false);
		return;
	}
	/* What was kept as unknown to others is in the copy after all. */
	if (!position_revision(item->revision))
		end = DEADLINE_NEVER;
	feed_hold(control->feed, key, revision, mesh_entry_rank(item), end);
}

/*
 * Whether the item fits into a push to another daemon. One that does not would
 * keep all other items of the push from that daemon.
 */
static bool fits_into_push(const char *key, GBytes *value)
{
	return strlen(key) <= FEED_KEY_MAX &&
	       g_bytes_get_size(value) <= PEER_VALUE_MAX;
}

void mesh_apply_write(struct mesh_control *control, const char *key,
		      GBytes *value, int64_t revision)
{
	g_autoptr(GBytes) empty = g_bytes_new(NULL, 0);
	bool changed = true;
	const char *name;

	if (!feed_is_newer(control->feed, key, revision))
		return;
	if (!fits_into_push(key, value)) {
		log_event(LOG_ERR, "item_too_long", "key=%.*s bytes=%zu",
			  FEED_KEY_MAX, log_quote(key),
			  g_bytes_get_size(value));
		if (strlen(key) > FEED_KEY_MAX)
			return;
		value = empty;
	}
	switch (platform_item_kind(key, &name)) {
	case PLATFORM_ITEM_TARGET:
		if (mesh_is_from_copy(control, key, value, revision)) {
			hold_entry(control, key, name, value, revision);
			return;
		}
		changed = apply_target(control, key, name, value, revision) ||
			  !feed_has_value(control->feed, key);
		/* What names no server is not passed on to the others. */
		if (!g_hash_table_contains(control->targets, key))
			value = empty;
		break;
	case PLATFORM_ITEM_CONFIG:
		if (!mesh_apply_config(control, value) &&
		    hold_config(control, key, revision))
			return;
		break;
	case PLATFORM_ITEM_EVACUATED_ZONE:
		break;
	default:
		return;
	}
	feed_write(control->feed, key, value, revision, changed);
	if (changed)
		mesh_schedule_build(control);
}

void mesh_apply_delete(struct mesh_control *control, const char *key,
		       int64_t revision, int64_t deadline)
{
	if (feed_delete(control->feed, key, revision, deadline))
		mesh_set_expiry(control);
}

void mesh_set_expiry(struct mesh_control *control)
{
	int64_t next = feed_next_expiry(control->feed);

	if (next != DEADLINE_NEVER)
		timers_set(&control->timers, &control->expiry_timer, next);
}

int64_t mesh_entry_rank(const struct feed_item *item)
{
	GBytes *known = item->value && g_bytes_get_size(item->value)
				? item->value
				: item->last;

	return 1 + (known ? platform_entry_sequence(known) : 0);
}

void mesh_apply_held(struct mesh_control *control, const char *key,
		     GBytes *value, int64_t revision, int64_t held,
		     int64_t deadline)
{
	const char *name;

	if (!feed_is_newer_held(control->feed, key, revision, held) ||
	    (value && !fits_into_push(key, value)))
		return;
	switch (platform_item_kind(key, &name)) {
	case PLATFORM_ITEM_TARGET:
		if (value)
			apply_target(control, key, name, value, revision);
		break;
	case PLATFORM_ITEM_CONFIG:
		if (value && !mesh_apply_config(control, value) &&
		    hold_config(control, key, revision))
			return;
		break;
	case PLATFORM_ITEM_EVACUATED_ZONE:
		break;
	default:
		return;
	}
	feed_hold_value(control->feed, key, value, revision, held,
			value ? deadline : MIN(deadline, clock_monotonic_ns()));
	mesh_set_expiry(control);
	mesh_schedule_build(control);
}

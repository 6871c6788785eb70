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
 * Applies a server's entry, NULL if it is unreadable; returns whether more than
 * a heartbeat came. A server that still writes its entry is no former boot of
 * its address.
 */
static bool apply_target(struct mesh_control *control, const char *key,
			 struct mesh_target *target)
{
	struct mesh_target *old = g_hash_table_lookup(control->targets, key);

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
	if (same_target(old, target) &&
	    !boots_is_former(entry_judge_boots(control->judge), old))
		return false;
	g_hash_table_insert(control->targets, g_strdup(key),
			    mesh_target_ref(target));
	return true;
}

/*
 * The newest configuration stays in force although the store has an older or
 * unreadable one, as it was restored or has carried out a write late. Other
 * daemons that start shall get the newest too.
 */
static bool hold_config(struct mesh_control *control, const char *key,
			int64_t revision)
{
	if (!control->config)
		return false;
	feed_hold_value(control->feed, key, control->config_value, revision,
			control->config->version + 1, DEADLINE_NEVER);
	return true;
}

/* What is known of a server, also when its entry is gone; NULL: nothing. */
static GBytes *known_entry(const struct feed_item *item)
{
	if (!item)
		return NULL;
	return item->value && g_bytes_get_size(item->value) ? item->value
							    : item->last;
}

/* The order of what is known of a server; false: nothing is. */
static bool known_order(const struct mesh_control *control, const char *key,
			struct entry_order *order)
{
	GBytes *known = known_entry(feed_find(control->feed, key));

	return known && platform_entry_order(known, order);
}

/* The rank of what is known, if it is held in place of the store's entry. */
static int64_t entry_rank(const struct mesh_control *control, const char *key,
			  const char *id)
{
	struct entry_order order;

	return known_order(control, key, &order)
		       ? entry_judge_rank(control->judge, id, &order)
		       : 1;
}

/*
 * Goes on with what is known of a server instead of its entry in the store. If
 * both say the same, it is a heartbeat to daemons with all changes before it.
 */
static void hold_entry(struct mesh_control *control, const char *key,
		       const struct mesh_target *target, int64_t rank,
		       bool after_all_changes)
{
	const struct feed_item *item = feed_find(control->feed, key);
	const struct mesh_target *known =
		g_hash_table_lookup(control->targets, key);
	int64_t end = item->delete_deadline;

	if (feed_has_value(control->feed, key) && same_target(known, target)) {
		g_autoptr(GBytes) same = g_bytes_ref(item->value);

		feed_write(control->feed, key, same, target->revision,
			   !after_all_changes);
		return;
	}
	/* What was kept as unknown to others is in the copy after all. */
	if (!position_revision(item->revision))
		end = DEADLINE_NEVER;
	feed_hold(control->feed, key, target->revision, rank, end);
}

/*
 * Holds the entry of a former boot as deleted, so that the other daemons do not
 * take it either.
 */
static void drop_entry(struct mesh_control *control, const char *key,
		       int64_t revision, int64_t rank)
{
	feed_hold(control->feed, key, revision, rank, clock_monotonic_ns());
	mesh_set_expiry(control);
	mesh_schedule_build(control);
}

/*
 * A start that is earlier by its time goes on writing, so it is the present
 * one. Others take the entry from here, in spite of its time.
 */
static void take_over(struct mesh_control *control, const char *key,
		      GBytes *value, struct mesh_target *target, int64_t rank)
{
	apply_target(control, key, target);
	feed_hold_value(control->feed, key, value, target->revision, rank,
			DEADLINE_NEVER);
	mesh_schedule_build(control);
}

static void log_verdict(enum entry_verdict verdict,
			const struct mesh_target *target,
			const struct entry_order *known)
{
	static const char *const names[] = {
		[ENTRY_TAKEN] = "taken",
		[ENTRY_RULED_OUT] = "older-than-known",
		[ENTRY_OF_FORMER_BOOT] = "former-boot",
		[ENTRY_TAKEN_OVER] = "goes-on-writing",
	};

	log_event(LOG_INFO, "entry_late",
		  "backend=%s verdict=%s draining=%d revision=%" PRId64
		  " started=%" PRId64 " sequence=%" PRId64
		  " known_started=%" PRId64 " known_sequence=%" PRId64,
		  log_quote(target->id), names[verdict], target->draining,
		  position_revision(target->revision), target->started_ms,
		  target->sequence, known ? known->started_ms : 0,
		  known ? known->sequence : 0);
}

/*
 * Keeps what is known of a server if the entry is no news: the store carries
 * out some writes late, and it may have been restored from an older copy.
 * Returns whether the entry needs no further handling.
 */
static bool handle_disorder(struct mesh_control *control, const char *key,
			    GBytes *value, struct mesh_target *target,
			    bool after_all_changes)
{
	struct entry_order order;
	const struct entry_order *known =
		known_order(control, key, &order) ? &order : NULL;
	enum entry_verdict verdict;
	int64_t rank = 0;

	verdict = entry_judge_write(control->judge, control->config, target,
				    known, &rank);
	if (verdict == ENTRY_TAKEN)
		return false;
	log_verdict(verdict, target, known);
	if (verdict == ENTRY_RULED_OUT)
		hold_entry(control, key, target, rank, after_all_changes);
	else if (verdict == ENTRY_OF_FORMER_BOOT)
		drop_entry(control, key, target->revision, rank);
	else
		take_over(control, key, value, target, rank);
	return true;
}

/* Decodes a server's entry; NULL if it is unreadable. */
static struct mesh_target *decode_target(const char *id, GBytes *value,
					 int64_t revision)
{
	struct mesh_target *target = platform_decode_target(id, value);

	if (target)
		target->revision = revision;
	return target;
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
		      GBytes *value, int64_t revision, bool after_all_changes)
{
	g_autoptr(GBytes) empty = g_bytes_new(NULL, 0);
	CLEANUP(mesh_target_unrefp) struct mesh_target *target = NULL;
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
		target = decode_target(name, value, revision);
		if (target && handle_disorder(control, key, value, target,
					      after_all_changes))
			return;
		changed = apply_target(control, key, target) ||
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
	feed_write(control->feed, key, value, revision,
		   changed || !after_all_changes);
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

/*
 * Applies what another daemon holds of a server; returns false if this one
 * knows more and holds that.
 */
static bool apply_held_entry(struct mesh_control *control, const char *key,
			     const char *id, GBytes *value, int64_t revision,
			     int64_t held)
{
	const struct feed_item *item = feed_find(control->feed, key);
	int64_t rank = entry_rank(control, key, id);
	CLEANUP(mesh_target_unrefp)
	struct mesh_target *target =
		value ? decode_target(id, value, revision) : NULL;

	if (known_entry(item) && rank > held) {
		feed_hold(control->feed, key, revision, rank,
			  item->delete_deadline);
		return false;
	}
	if (target)
		entry_judge_learn(control->judge, target, held);
	if (value)
		apply_target(control, key, target);
	return true;
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
		if (!apply_held_entry(control, key, name, value, revision,
				      held))
			return;
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

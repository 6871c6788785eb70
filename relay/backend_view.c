#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "relay/backend_side_internal.h"

/* Applies what is published about the local server and its service. */

/* Requests that may be queued for each slot of the backend server. */
#define QUEUE_PER_SLOT 3

/*
 * Part of the daemon's memory that the answers being read from the backend
 * server may fill, 1 / this. The server may send bytes without end.
 */
#define ANSWERS_MEMORY_PART 4

/* The entry of this host's server in the view, or NULL. */
static const struct mesh_target *own_target(const struct backend_side *side)
{
	return mesh_view_find_target(side->view,
				     side->context->host->backend_text,
				     side->context->host->service);
}

static void apply_target(struct backend_side *side,
			 const struct mesh_target *target, int64_t now)
{
	struct admit_options options = {
		.slots = target->slots,
		.cold_slots = target->slots,
		.queue_max = target->slots * QUEUE_PER_SLOT,
		.limit_policy = &admit_limit_fixed,
	};

	admit_set_policy(side->admit, &options, now);
	side->slots = target->slots;
	if (!local_server_register(&side->server, target))
		return;
	log_event(LOG_NOTICE, "backend_registered", "backend=%s slots=%d",
		  target->id, target->slots);
	backend_pool_close_idle(side->pool);
	backend_load_reset(&side->load);
	/* A newly registered server counts as cold until a probe reports. */
	probe_restart(side->probe, side->admit, now);
}

/*
 * Limits the length of an answer such that answers of that length in all slots
 * fit into the memory for them.
 */
static void apply_answer_limit(struct backend_side *side)
{
	int64_t memory = side->context->host->memory_bytes;
	int64_t limit = side->view->config->limits.body_max_bytes;

	if (memory)
		limit = MIN(limit,
			    memory / ANSWERS_MEMORY_PART / MAX(side->slots, 1));
	backend_pool_set_body_max(side->pool, (size_t)limit);
}

static void apply_service(struct backend_side *side)
{
	const struct mesh_host *host = side->context->host;
	const struct mesh_service *service =
		g_hash_table_lookup(side->view->config->services,
				    host->service);
	struct admit_cold_rate rate;

	if (!service)
		return;
	rate = admit_cold_rate_within(service->cold_per_s, host->cold_overage,
				      host->cold_slack);
	probe_set_service(side->probe, service->health_path, &rate);
}

void backend_side_apply(struct backend_side *side, struct mesh_view *view)
{
	int64_t now = clock_monotonic_ns();
	const struct mesh_target *target;

	/* It may be the view in force, after a change of the settings. */
	mesh_view_ref(view);
	mesh_view_unref(side->view);
	side->view = view;
	if (view->config)
		apply_service(side);
	target = own_target(side);
	if (target)
		apply_target(side, target, now);
	else
		local_server_forget(&side->server);
	if (view->config)
		apply_answer_limit(side);
	if (target && !side->in_service && mesh_view_in_service(view, target))
		/* It may have become cold while it got no requests. */
		probe_restart(side->probe, side->admit, now);
	side->in_service = target && mesh_view_in_service(view, target);
	backend_side_start_next(side);
}

void backend_side_reapply(struct backend_side *side)
{
	backend_side_apply(side, side->view);
}

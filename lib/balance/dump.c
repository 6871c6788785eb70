#include "balance/state.h"

static const char *const tier_names[NR_TIERS] = { "zone", "region", "other" };

static json_t *dump_target(const struct balance *balance,
			   const struct target *target, int64_t now)
{
	return json_pack(
		"{s:s, s:s, s:s, s:s, s:b, s:b, s:b, s:b, s:b, s:b, s:i, s:I, "
		"s:I, s:I, s:I, s:I, s:f, s:I}",
		"host", target->host, "zone", target->zone, "traffic",
		target->traffic, "tier", tier_names[target->tier], "in_subset",
		target->in_subset, "in_service", target->in_service, "leaving",
		target->leaving, "draining", target->draining, "ejected",
		target->ejected, "probation", target->probation, "failures",
		(int)target->failures, "trial_in_ms",
		(json_int_t)(target_is_trial_only(target)
				     ? (target->trial_at - now) / NS_PER_MS
				     : 0),
		"in_flight", (json_int_t)target->in_flight, "load",
		(json_int_t)target_load(balance, target, now), "limit",
		(json_int_t)target->limit, "latency_us",
		(json_int_t)(target_latency(target, now) / NS_PER_US), "factor",
		cost_server_factor(&target->cost, now), "wait_us",
		(json_int_t)(cost_server_wait_ns(&target->cost,
						 (int)target->limit,
						 target->service->backlog_ns,
						 now) /
			     NS_PER_US));
}

json_t *balance_dump(const struct balance *balance, int64_t now)
{
	json_t *services = json_object();

	for (guint i = 0; i < balance->services->len; i++) {
		const struct service *service =
			g_ptr_array_index(balance->services, i);
		json_t *targets = json_array();

		for (size_t j = 0; j < service->nr_targets; j++)
			json_array_append_new(targets,
					      dump_target(balance,
							  service->targets[j],
							  now));
		json_object_set_new(services, service->key,
				    json_pack("{s:i, s:I, s:I, s:o}", "index",
					      service->index, "in_use",
					      (json_int_t)service->nr_subset,
					      "ejected",
					      (json_int_t)service->nr_ejected,
					      "targets", targets));
	}
	return json_pack("{s:s, s:o}", "policy", balance->options.policy->name,
			 "services", services);
}

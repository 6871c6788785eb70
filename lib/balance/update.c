#include <stdlib.h>
#include <string.h>

#include "balance/state.h"

static int compare_targets(const void *a, const void *b)
{
	const struct target *left = *(struct target *const *)a;
	const struct target *right = *(struct target *const *)b;
	int zones;

	if (left->tier != right->tier)
		return left->tier < right->tier ? -1 : 1;
	zones = strcmp(left->zone, right->zone);
	if (zones)
		return zones;
	if (left->weight != right->weight)
		return left->weight > right->weight ? -1 : 1;
	return strcmp(left->host, right->host);
}

void balance_remove_target(struct balance *balance, struct target *target)
{
	target->service = NULL;
	target->in_subset = false;
	if (!target->in_flight) {
		g_hash_table_remove(balance->by_handle, &target->handle);
		target_free(target);
	}
}

static struct target *add_target(struct balance *balance,
				 struct service *service,
				 const struct balance_target *settings)
{
	struct target *target = g_new0(struct target, 1);

	target->handle = ++balance->last_handle;
	target->service = service;
	target->host = g_strdup(settings->host);
	target->traffic = g_strdup(settings->traffic);
	target->weight =
		hash_mix(balance->host_hash, hash_string(settings->host));
	target->leaving =
		g_hash_table_contains(balance->leaving, settings->host);
	g_hash_table_insert(balance->by_handle, &target->handle, target);
	g_hash_table_replace(service->by_host, target->host, target);
	return target;
}

static struct service *get_service(struct balance *balance, const char *key)
{
	struct service *service = g_hash_table_lookup(balance->by_key, key);

	if (service)
		return service;
	service = g_new0(struct service, 1);
	service->key = g_strdup(key);
	service->index = (int)balance->services->len;
	service->by_host = g_hash_table_new(g_str_hash, g_str_equal);
	g_ptr_array_add(balance->services, service);
	g_hash_table_insert(balance->by_key, service->key, service);
	return service;
}

/* Applies the settings of a target from a configuration version. */
static void configure(const struct balance *balance, struct target *target,
		      const struct balance_target *settings)
{
	if (g_strcmp0(target->zone, settings->zone) != 0) {
		g_free(target->zone);
		target->zone = g_strdup(settings->zone);
	}
	if (g_strcmp0(target->region, settings->region) != 0) {
		g_free(target->region);
		target->region = g_strdup(settings->region);
	}
	if (!strcmp(settings->zone, balance->zone))
		target->tier = TIER_ZONE;
	else if (!strcmp(settings->region, balance->region))
		target->tier = TIER_REGION;
	else
		target->tier = TIER_OTHER;
	target->slots = settings->slots ? settings->slots : 1;
	target->cold_slots =
		settings->cold_slots ? settings->cold_slots : target->slots;
	target->cold_slots = MIN(target->cold_slots, target->slots);
	target->limit = target->has_report ? MIN(target->limit, target->slots)
					   : target->cold_slots;
	target->in_service = settings->in_service;
}

/* Removes the targets that are not listed in the update in progress. */
static void remove_unlisted(struct balance *balance, struct service *service)
{
	for (size_t i = 0; i < service->nr_targets; i++) {
		struct target *target = service->targets[i];

		if (target->in_update)
			continue;
		/* by_host may already hold a new target of the same host. */
		if (g_hash_table_lookup(service->by_host, target->host) ==
		    target)
			g_hash_table_remove(service->by_host, target->host);
		balance_remove_target(balance, target);
	}
}

static void set_targets(struct balance *balance, struct service *service,
			const struct balance_target *targets, size_t nr_targets,
			int64_t now)
{
	struct target **list = g_new(struct target *, nr_targets + 1);
	size_t n = 0;

	for (size_t i = 0; i < service->nr_targets; i++)
		service->targets[i]->in_update = false;
	for (size_t i = 0; i < nr_targets; i++) {
		struct target *target =
			g_hash_table_lookup(service->by_host, targets[i].host);

		if (target && target->in_update)
			continue;
		if (!target || strcmp(target->traffic, targets[i].traffic) != 0)
			target = add_target(balance, service, &targets[i]);
		target->in_update = true;
		configure(balance, target, &targets[i]);
		list[n++] = target;
	}
	remove_unlisted(balance, service);
	g_free(service->targets);
	service->targets = list;
	service->nr_targets = n;
	if (n)
		qsort(list, n, sizeof(struct target *), compare_targets);
	service->subset = g_renew(struct target *, service->subset, n + 1);
	service_refresh_subset(balance, service, now);
}

static void reserve_candidates(struct balance *balance, size_t n)
{
	if (n <= balance->nr_candidates)
		return;
	balance->candidates =
		g_renew(struct balance_candidate, balance->candidates, n);
	balance->candidate_targets =
		g_renew(struct target *, balance->candidate_targets, n);
	balance->nr_candidates = n;
}

void balance_update_begin(struct balance *balance)
{
	balance->update++;
}

int balance_update(struct balance *balance,
		   const struct balance_service *settings,
		   const struct balance_target *targets, size_t nr_targets,
		   int64_t now)
{
	struct service *service = get_service(balance, settings->key);

	service->update = balance->update;
	service->eject_percent_max = CLAMP(settings->eject_percent_max, 0, 100);
	service->zone_overflow_percent =
		CLAMP(settings->zone_overflow_percent, 0, 100);
	set_targets(balance, service, targets, nr_targets, now);
	reserve_candidates(balance, nr_targets);
	return service->index;
}

void balance_update_end(struct balance *balance, int64_t now)
{
	for (guint i = 0; i < balance->services->len; i++) {
		struct service *service =
			g_ptr_array_index(balance->services, i);

		if (service->update != balance->update)
			set_targets(balance, service, NULL, 0, now);
	}
}

int balance_service_index(const struct balance *balance, const char *key)
{
	const struct service *service =
		g_hash_table_lookup(balance->by_key, key);

	return service ? service->index : -1;
}

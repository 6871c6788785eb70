#include <string.h>

#include "tree/model.h"

/* Small enough that the last chunk of a small tree wastes little. */
#define STRING_CHUNK_BYTES 16384

struct string_store *string_store_new(void)
{
	struct string_store *store = g_atomic_rc_box_new0(struct string_store);

	store->chunk = g_string_chunk_new(STRING_CHUNK_BYTES);
	return store;
}

struct string_store *string_store_ref(struct string_store *store)
{
	return g_atomic_rc_box_acquire(store);
}

static void release_store(gpointer data)
{
	struct string_store *store = data;

	g_string_chunk_free(store->chunk);
}

void string_store_unref(struct string_store *store)
{
	g_atomic_rc_box_release_full(store, release_store);
}

char *string_store_add(struct string_store *store, const char *text)
{
	store->bytes += strlen(text) + 1;
	return g_string_chunk_insert(store->chunk, text);
}

void tree_free(struct tree *tree)
{
	if (!tree)
		return;
	for (size_t i = 0; i < tree->nr_services; i++) {
		struct tree_service *service = &tree->services[i];

		for (size_t j = 0; j < service->nr_routes; j++)
			g_free(service->routes[j].override);
		g_free(service->routes);
		g_free(service->targets);
	}
	g_free(tree->services);
	g_free(tree->zones);
	g_free(tree->deployments);
	string_store_unref(tree->strings);
	g_free(tree);
}

int64_t tree_version(const struct tree *tree)
{
	return tree->version;
}

int compare_by_name(const void *a, const void *b)
{
	return strcmp(*(char *const *)a, *(char *const *)b);
}

void *find_by_name(const void *base, size_t nr, size_t size, const char *name)
{
	/* bsearch() may not be called with a NULL base. */
	if (!nr)
		return NULL;
	return bsearch(&name, base, nr, size, compare_by_name);
}

struct tree_zone *tree_find_zone(const struct tree *tree, const char *name)
{
	return find_by_name(tree->zones, tree->nr_zones, sizeof(*tree->zones),
			    name);
}

static void add_level(struct level levels[LEVELS_MAX], size_t *nr,
		      const char *kind, const char *name,
		      const struct override *override, unsigned keys)
{
	levels[*nr].kind = kind;
	levels[*nr].name = name;
	levels[*nr].override = override;
	levels[*nr].keys = keys;
	(*nr)++;
}

size_t tree_levels(const struct tree *tree, const struct tree_service *service,
		   const struct tree_route *route,
		   const struct tree_zone *ingress_zone,
		   const struct tree_zone *target_zone,
		   struct level levels[LEVELS_MAX])
{
	size_t nr = 0;

	add_level(levels, &nr, "defaults", NULL, &tree->defaults,
		  POLICY_ALL_KEYS);
	if (service->deployment)
		add_level(levels, &nr, "deployment", service->deployment->name,
			  &service->deployment->override, POLICY_ALL_KEYS);
	if (ingress_zone)
		add_level(levels, &nr, "zone", ingress_zone->name,
			  &ingress_zone->override,
			  policy_side_keys(POLICY_CALLER_SIDE));
	if (target_zone)
		add_level(levels, &nr, "zone", target_zone->name,
			  &target_zone->override,
			  policy_side_keys(POLICY_TARGET_SIDE));
	add_level(levels, &nr, "service", service->name, &service->override,
		  POLICY_ALL_KEYS);
	if (route && route->override)
		add_level(levels, &nr, "route", route->name, route->override,
			  POLICY_ALL_KEYS);
	return nr;
}

void tree_policy(const struct tree *tree, const struct tree_service *service,
		 const struct tree_route *route,
		 const struct tree_zone *ingress_zone,
		 const struct tree_zone *target_zone, struct policy *policy)
{
	struct level levels[LEVELS_MAX];
	size_t nr = tree_levels(tree, service, route, ingress_zone, target_zone,
				levels);

	policy_init(policy);
	for (size_t i = 0; i < nr; i++)
		policy_apply(policy, levels[i].override, levels[i].keys);
}

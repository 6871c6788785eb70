#include <string.h>

#include "tree/model.h"

/*
 * Routes are found in a hash table with open addressing. A look-up extends
 * one hash over the path and probes at each end of a segment, so its time
 * depends on the path and not on the number of routes.
 */
struct slot {
	uint32_t hash;
	uint32_t route; /* index into the routes, plus 1; 0 is free */
};

struct table_index {
	struct table_route *routes; /* of all services, one array */
	struct table_target *targets;
	size_t nr_routes;
	size_t nr_targets;
	struct slot *slots;
	uint32_t mask; /* number of slots less 1 */
	size_t prefix_len_max;
};

#define FNV_OFFSET UINT64_C(0xcbf29ce484222325)
#define FNV_PRIME UINT64_C(0x100000001b3)

static uint64_t hash_byte(uint64_t hash, char byte)
{
	return (hash ^ (unsigned char)byte) * FNV_PRIME;
}

/* The low bits of FNV-1a depend on few bits of the last bytes. */
static uint32_t hash_finish(uint64_t hash)
{
	return (uint32_t)(hash ^ hash >> 32);
}

static uint32_t hash_prefix(const char *prefix)
{
	uint64_t hash = FNV_OFFSET;

	for (const char *p = prefix; *p; p++)
		hash = hash_byte(hash, *p);
	return hash_finish(hash);
}

static void add_to_index(struct table_index *index, uint32_t route)
{
	const char *prefix = index->routes[route].prefix;
	uint32_t hash = hash_prefix(prefix);
	uint32_t i = hash & index->mask;

	while (index->slots[i].route)
		i = (i + 1) & index->mask;
	index->slots[i].hash = hash;
	index->slots[i].route = route + 1;
	index->prefix_len_max = MAX(index->prefix_len_max, strlen(prefix));
}

void table_finish(struct table *table)
{
	struct table_index *index = table->index;
	size_t nr_slots = 2;

	/* At most half full, so that probe sequences stay short. */
	while (nr_slots < 2 * index->nr_routes)
		nr_slots *= 2;
	index->slots = g_new0(struct slot, nr_slots);
	index->mask = (uint32_t)(nr_slots - 1);
	for (size_t i = 0; i < index->nr_routes; i++)
		add_to_index(index, (uint32_t)i);
}

static void build_targets(struct table_service *service,
			  const struct tree *tree,
			  const struct tree_service *from)
{
	service->nr_targets = from->nr_targets;
	for (size_t i = 0; i < from->nr_targets; i++) {
		struct table_target *target = &service->targets[i];
		const struct tree_target *t = &from->targets[i];

		target->host = t->host;
		target->zone = t->zone->name;
		target->region = t->zone->region;
		target->traffic = t->traffic;
		target->in_service = t->in_service && t->zone->in_service;
		target->service = service;
		tree_policy(tree, from, NULL, t->zone, t->zone,
			    &target->policy);
	}
	if (service->nr_targets)
		qsort(service->targets, service->nr_targets,
		      sizeof(*service->targets), compare_by_name);
}

static void build_routes(struct table_service *service,
			 const struct tree_service *from)
{
	service->nr_routes = from->nr_routes;
	for (size_t i = 0; i < from->nr_routes; i++) {
		struct table_route *route = &service->routes[i];
		const struct tree_route *r = &from->routes[i];

		route->name = r->name;
		route->prefix = r->prefix;
		route->methods = r->methods;
		route->at_most_once = r->at_most_once;
		route->service = service;
		/* The route is the highest level above the service. */
		route->policy = service->policy;
		if (r->override)
			policy_apply(&route->policy, r->override,
				     POLICY_ALL_KEYS);
	}
	if (service->nr_routes)
		qsort(service->routes, service->nr_routes,
		      sizeof(*service->routes), compare_by_name);
}

struct table *table_alloc(const struct table_size *size,
			  struct string_store *strings,
			  struct table_route **routes,
			  struct table_target **targets)
{
	struct table *table = g_new0(struct table, 1);
	struct table_index *index = g_new0(struct table_index, 1);

	index->nr_routes = size->routes;
	index->nr_targets = size->targets;
	/* One extra element: for a count of 0 g_new0() returns NULL, and
	 * adding any offset to NULL, even 0, is undefined. */
	index->routes = g_new0(struct table_route, index->nr_routes + 1);
	index->targets = g_new0(struct table_target, index->nr_targets + 1);
	table->index = index;
	table->strings = string_store_ref(strings);
	table->nr_services = size->services;
	table->services = g_new0(struct table_service, size->services);
	*routes = index->routes;
	*targets = index->targets;
	return table;
}

static struct table_size size_of(const struct tree *tree)
{
	struct table_size size = { .services = tree->nr_services };

	for (size_t i = 0; i < tree->nr_services; i++) {
		size.routes += tree->services[i].nr_routes;
		size.targets += tree->services[i].nr_targets;
	}
	return size;
}

struct table *table_new(const struct tree *tree, const struct version_id *id,
			const char *ingress_zone)
{
	struct table_size size = size_of(tree);
	struct table_route *routes;
	struct table_target *targets;
	struct table *table =
		table_alloc(&size, tree->strings, &routes, &targets);
	const struct tree_zone *zone =
		ingress_zone ? tree_find_zone(tree, ingress_zone) : NULL;

	table->id = *id;
	for (size_t i = 0; i < tree->nr_services; i++) {
		struct table_service *service = &table->services[i];
		const struct tree_service *from = &tree->services[i];

		service->name = from->name;
		if (from->deployment)
			service->deployment = from->deployment->name;
		tree_policy(tree, from, NULL, zone, NULL, &service->policy);
		service->targets = targets;
		service->routes = routes;
		build_targets(service, tree, from);
		build_routes(service, from);
		targets += from->nr_targets;
		routes += from->nr_routes;
	}
	table_finish(table);
	return table;
}

void table_free(struct table *table)
{
	if (!table)
		return;
	g_free(table->index->slots);
	g_free(table->index->routes);
	g_free(table->index->targets);
	g_free(table->index);
	g_free(table->services);
	string_store_unref(table->strings);
	g_free(table);
}

size_t table_memory(const struct table *table)
{
	const struct table_index *index = table->index;

	return sizeof(*table) + sizeof(*index) +
	       table->nr_services * sizeof(*table->services) +
	       index->nr_routes * sizeof(*index->routes) +
	       index->nr_targets * sizeof(*index->targets) +
	       ((size_t)index->mask + 1) * sizeof(*index->slots) +
	       table->strings->bytes;
}

/*
 * Looks for routes whose prefix is the first len bytes of path. Sets *route
 * to the one with the method, or NULL; false when no route has the prefix.
 */
static bool probe(const struct table_index *index, uint32_t hash,
		  enum http_method method, const char *path, size_t len,
		  const struct table_route **route)
{
	bool found = false;

	for (uint32_t i = hash & index->mask; index->slots[i].route;
	     i = (i + 1) & index->mask) {
		const struct table_route *candidate;

		if (index->slots[i].hash != hash)
			continue;
		candidate = &index->routes[index->slots[i].route - 1];
		if (strncmp(candidate->prefix, path, len) != 0 ||
		    candidate->prefix[len])
			continue;
		if (!found)
			*route = NULL;
		found = true;
		if (candidate->methods & HTTP_METHOD_BIT(method))
			*route = candidate;
	}
	return found;
}

const struct table_route *table_match(const struct table *table,
				      enum http_method method, const char *path)
{
	const struct table_index *index = table->index;
	const struct table_route *route = NULL;
	uint64_t hash = FNV_OFFSET;
	size_t len = 0;

	if (path[0] != '/')
		return NULL;
	/* The prefix "/" ends at no segment; it matches every path. */
	probe(index, hash_finish(hash_byte(hash, '/')), method, path, 1,
	      &route);
	do {
		hash = hash_byte(hash, path[len++]);
		if (path[len] == '/' || !path[len])
			probe(index, hash_finish(hash), method, path, len,
			      &route);
	} while (len < index->prefix_len_max && path[len]);
	return route;
}

const struct table_service *table_find_service(const struct table *table,
					       const char *name)
{
	return find_by_name(table->services, table->nr_services,
			    sizeof(*table->services), name);
}

const struct table_route *table_find_route(const struct table_service *service,
					   const char *name)
{
	return find_by_name(service->routes, service->nr_routes,
			    sizeof(*service->routes), name);
}

const struct table_target *
table_find_target(const struct table_service *service, const char *host)
{
	return find_by_name(service->targets, service->nr_targets,
			    sizeof(*service->targets), host);
}

#include <string.h>

#include "mesh/view.h"

#define KEY_MAX 1024

static void free_route(void *arg)
{
	struct mesh_route *route = arg;

	g_free(route->name);
	g_free(route->host);
	g_free(route->prefix);
	g_strfreev(route->regions);
	for (size_t i = 0; i < route->nr_services; i++)
		g_free(route->services[i].service);
	g_free(route->services);
	g_free(route);
}

static void free_service(void *arg)
{
	struct mesh_service *service = arg;

	g_free(service->name);
	g_free(service->health_path);
	g_free(service);
}

struct mesh_config *mesh_config_new(void)
{
	struct mesh_config *config = g_new0(struct mesh_config, 1);

	config->refs = 1;
	config->routes = g_ptr_array_new_with_free_func(free_route);
	config->services = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
						 free_service);
	config->by_prefix =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return config;
}

struct mesh_config *mesh_config_ref(struct mesh_config *config)
{
	g_atomic_int_inc(&config->refs);
	return config;
}

void mesh_config_unref(struct mesh_config *config)
{
	if (!config || !g_atomic_int_dec_and_test(&config->refs))
		return;
	mesh_organisations_free(config->organisations);
	g_hash_table_unref(config->by_prefix);
	g_hash_table_unref(config->services);
	g_ptr_array_unref(config->routes);
	g_free(config);
}

struct mesh_route *mesh_config_add_route(struct mesh_config *config)
{
	struct mesh_route *route = g_new0(struct mesh_route, 1);

	g_ptr_array_add(config->routes, route);
	return route;
}

void mesh_route_add_service(struct mesh_route *route, const char *service,
			    int weight)
{
	route->services = g_renew(struct mesh_route_service, route->services,
				  route->nr_services + 1);
	route->services[route->nr_services].service = g_strdup(service);
	route->services[route->nr_services].weight = weight;
	route->nr_services++;
}

struct mesh_service *mesh_config_add_service(struct mesh_config *config,
					     const char *name)
{
	struct mesh_service *service = g_new0(struct mesh_service, 1);

	service->name = g_strdup(name);
	g_hash_table_replace(config->services, service->name, service);
	return service;
}

static char *check_route(const struct mesh_config *config,
			 const struct mesh_route *route)
{
	int64_t sum = 0;

	if (!route->nr_services)
		return g_strdup_printf("route %s: no service", route->name);
	for (size_t i = 0; i < route->nr_services; i++) {
		const struct mesh_route_service *share = &route->services[i];

		if (!g_hash_table_contains(config->services, share->service))
			return g_strdup_printf("route %s: unknown service %s",
					       route->name, share->service);
		sum += share->weight;
	}
	if (sum <= 0)
		return g_strdup_printf(
			"route %s: sum of weights is not above 0", route->name);
	return NULL;
}

char *mesh_config_finish(struct mesh_config *config)
{
	for (guint i = 0; i < config->routes->len; i++) {
		struct mesh_route *route = g_ptr_array_index(config->routes, i);
		char *reason = check_route(config, route);
		char *key;

		if (reason)
			return reason;
		key = g_strconcat(route->host, route->prefix, NULL);
		if (!g_hash_table_insert(config->by_prefix, key, route))
			return g_strdup_printf("route %s: duplicate prefix",
					       route->name);
	}
	return NULL;
}

const struct mesh_route *
mesh_config_find_route(const struct mesh_config *config, const char *host,
		       const char *path)
{
	char key[KEY_MAX];
	size_t host_len = strcspn(host, ":");
	size_t path_len = strcspn(path, "?");

	if (host_len + path_len + 1 > sizeof(key))
		return NULL;
	for (size_t i = 0; i < host_len; i++)
		key[i] = g_ascii_tolower(host[i]);
	memcpy(key + host_len, path, path_len);
	/* Prefixes end with a slash, so the path is cut at slashes only. */
	for (size_t len = path_len; len; len--) {
		const struct mesh_route *route;

		if (path[len - 1] != '/')
			continue;
		key[host_len + len] = '\0';
		route = g_hash_table_lookup(config->by_prefix, key);
		if (route)
			return route;
	}
	return NULL;
}

bool mesh_config_has_service(const struct mesh_config *config,
			     const struct mesh_target *target)
{
	return config &&
	       g_hash_table_contains(config->services, target->service);
}

struct mesh_target *mesh_target_ref(struct mesh_target *target)
{
	g_atomic_int_inc(&target->refs);
	return target;
}

void mesh_target_unref(struct mesh_target *target)
{
	if (!target || !g_atomic_int_dec_and_test(&target->refs))
		return;
	g_free(target->id);
	g_free(target->service);
	g_free(target->address);
	g_free(target->ip);
	g_free(target->zone);
	g_free(target);
}

static void unref_target(void *arg)
{
	mesh_target_unref(arg);
}

struct mesh_view *mesh_view_new(struct mesh_config *config)
{
	struct mesh_view *view = g_new0(struct mesh_view, 1);

	view->refs = 1;
	view->config = config ? mesh_config_ref(config) : NULL;
	view->targets = g_ptr_array_new_with_free_func(unref_target);
	view->evacuated_zones =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return view;
}

struct mesh_view *mesh_view_ref(struct mesh_view *view)
{
	g_atomic_int_inc(&view->refs);
	return view;
}

void mesh_view_unref(struct mesh_view *view)
{
	if (!view || !g_atomic_int_dec_and_test(&view->refs))
		return;
	mesh_config_unref(view->config);
	g_ptr_array_unref(view->targets);
	g_hash_table_unref(view->evacuated_zones);
	g_free(view);
}

bool mesh_view_in_service(const struct mesh_view *view,
			  const struct mesh_target *target)
{
	return !target->draining &&
	       !g_hash_table_contains(view->evacuated_zones, target->zone);
}

struct entry_order mesh_target_order(const struct mesh_target *target)
{
	return (struct entry_order){ target->started_ms, target->revision };
}

static bool is_later(const struct mesh_target *target,
		     const struct mesh_target *known)
{
	const struct entry_order known_order = mesh_target_order(known);
	const struct entry_order order = mesh_target_order(target);

	return entry_order_compare(&known_order, &order) == ENTRY_LATER;
}

const struct mesh_target *mesh_view_find_target(const struct mesh_view *view,
						const char *address,
						const char *service)
{
	const struct mesh_target *newest = NULL;

	for (guint i = 0; i < view->targets->len; i++) {
		const struct mesh_target *target =
			g_ptr_array_index(view->targets, i);

		if (strcmp(target->address, address) != 0 ||
		    strcmp(target->service, service) != 0)
			continue;
		if (!newest || is_later(target, newest))
			newest = target;
	}
	return newest;
}

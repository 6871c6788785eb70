#include "mesh/explain.h"

#include <stdlib.h>
#include <string.h>

#define FROM_DEFAULT "default"
#define FROM_LIMITS "limits"

static void add_value(json_t *values, const char *key, json_t *value,
		      const char *from)
{
	json_array_append_new(values, json_pack("{s:s, s:o, s:s}", "key", key,
						"value", value, "from", from));
}

static const char *from_route(const struct mesh_route *route,
			      enum mesh_default flag, const char *source)
{
	return route->defaults & flag ? FROM_DEFAULT : source;
}

static json_t *route_values(const struct mesh_config *config,
			    const struct mesh_route *route)
{
	const struct mesh_limits *limits = &config->limits;
	g_autofree char *source = g_strdup_printf("route %s", route->name);
	json_t *values = json_array();

	add_value(values, "at_most_once", json_boolean(route->at_most_once),
		  source);
	add_value(values, "long_answers", json_boolean(route->long_answers),
		  source);
	add_value(values, "deadline_ms", json_integer(route->deadline_ms),
		  source);
	add_value(values, "objective_ms", json_integer(route->objective_ms),
		  from_route(route, MESH_DEFAULT_OBJECTIVE, source));
	add_value(values, "priority", json_integer(route->priority),
		  from_route(route, MESH_DEFAULT_PRIORITY, source));
	add_value(values, "attempts", json_integer(route->attempts),
		  from_route(route, MESH_DEFAULT_ATTEMPTS, source));
	if (config->organisations) {
		add_value(values, "anonymous", json_boolean(route->anonymous),
			  source);
		add_value(values, "organisations",
			  json_integer(config->organisations->all->len),
			  "organisations");
	}
	for (char **region = route->regions; region && *region; region++)
		add_value(values, "region", json_string(*region), source);
	add_value(values, "head_max_bytes",
		  json_integer(limits->head_max_bytes), FROM_LIMITS);
	add_value(values, "body_max_bytes",
		  json_integer(limits->body_max_bytes), FROM_LIMITS);
	add_value(values, "head_wait_ms", json_integer(limits->head_wait_ms),
		  FROM_LIMITS);
	add_value(values, "idle_wait_ms", json_integer(limits->idle_wait_ms),
		  FROM_LIMITS);
	return values;
}

static json_t *explain_service(const struct mesh_view *view,
			       const struct mesh_route_service *share)
{
	const struct mesh_service *service =
		g_hash_table_lookup(view->config->services, share->service);
	int registered = 0, in_service = 0;

	for (guint i = 0; i < view->targets->len; i++) {
		const struct mesh_target *target =
			g_ptr_array_index(view->targets, i);

		if (strcmp(target->service, share->service) != 0)
			continue;
		registered++;
		in_service += mesh_view_in_service(view, target);
	}
	return json_pack("{s:s, s:i, s:s, s:f, s:i, s:i}", "service",
			 share->service, "weight", share->weight, "health_path",
			 service->health_path, "cold_per_s",
			 service->cold_per_s, "registered", registered,
			 "in_service", in_service);
}

json_t *mesh_explain(const struct mesh_view *view,
		     const struct mesh_explain_query *query)
{
	const struct mesh_route *route;
	json_t *services;

	if (!view->config)
		return NULL;
	route = mesh_config_find_route(view->config, query->host, query->path);
	if (!route)
		return NULL;
	services = json_array();
	for (size_t i = 0; i < route->nr_services; i++)
		json_array_append_new(services,
				      explain_service(view,
						      &route->services[i]));
	return json_pack("{s:I, s:{s:s, s:s, s:s}, s:o, s:o}", "version",
			 (json_int_t)view->config->version, "route", "name",
			 route->name, "host", route->host, "prefix",
			 route->prefix, "values",
			 route_values(view->config, route), "services",
			 services);
}

static const char *text_of(const json_t *object, const char *key)
{
	const char *text = json_string_value(json_object_get(object, key));

	return text ? text : "";
}

static json_int_t count_of(const json_t *object, const char *key)
{
	return json_integer_value(json_object_get(object, key));
}

static void print_value(const json_t *row, GString *text)
{
	g_autofree char *value = NULL;
	char *dumped = json_dumps(json_object_get(row, "value"),
				  JSON_COMPACT | JSON_ENCODE_ANY);

	value = g_strdup(dumped ? dumped : "");
	free(dumped);
	g_string_append_printf(text, "%-16s %-10s %s\n", text_of(row, "key"),
			       value, text_of(row, "from"));
}

void mesh_explain_print(const json_t *explanation, GString *text)
{
	const json_t *route = json_object_get(explanation, "route");
	const json_t *row;
	size_t i;

	g_string_append_printf(
		text,
		"route %s (host %s, prefix %s) in version %" JSON_INTEGER_FORMAT
		"\n",
		text_of(route, "name"), text_of(route, "host"),
		text_of(route, "prefix"), count_of(explanation, "version"));
	json_array_foreach (json_object_get(explanation, "values"), i, row)
		print_value(row, text);
	json_array_foreach (json_object_get(explanation, "services"), i, row)
		g_string_append_printf(
			text,
			"service %s: weight %" JSON_INTEGER_FORMAT
			", %" JSON_INTEGER_FORMAT
			" servers registered, %" JSON_INTEGER_FORMAT
			" in service\n",
			text_of(row, "service"), count_of(row, "weight"),
			count_of(row, "registered"),
			count_of(row, "in_service"));
}

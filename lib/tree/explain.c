#include <string.h>

#include "tree/model.h"

/* The objects that a query selects; those not given are NULL. */
struct selection {
	const struct tree_service *service;
	const struct tree_route *route;
	const struct tree_zone *ingress_zone;
	const struct tree_target *target;
};

GQuark tree_error_quark(void)
{
	return g_quark_from_static_string("tree-error");
}

static const struct tree_service *find_service(const struct tree *tree,
					       const char *name)
{
	return find_by_name(tree->services, tree->nr_services,
			    sizeof(*tree->services), name);
}

static const struct tree_route *find_route(const struct tree_service *service,
					   const char *name)
{
	for (size_t i = 0; i < service->nr_routes; i++)
		if (strcmp(service->routes[i].name, name) == 0)
			return &service->routes[i];
	return NULL;
}

static const struct tree_target *find_target(const struct tree_service *service,
					     const char *host)
{
	for (size_t i = 0; i < service->nr_targets; i++)
		if (strcmp(service->targets[i].host, host) == 0)
			return &service->targets[i];
	return NULL;
}

/* Matches a URL path with table_match(), as the daemon does. */
static bool select_by_url(const struct tree *tree,
			  const struct explain_query *query,
			  struct selection *selection, GError **error)
{
	struct version_id none = { 0 };
	CLEANUP(table_freep) struct table *table = table_new(tree, &none, NULL);
	const struct table_route *route = NULL;
	enum http_method method;

	if (query->method) {
		if (http_method_parse(query->method, &method))
			route = table_match(table, method, query->path);
	} else {
		for (int i = 0; i < HTTP_METHOD_COUNT && !route; i++)
			route = table_match(table, (enum http_method)i,
					    query->path);
	}
	if (!route) {
		g_set_error(error, TREE_ERROR, TREE_ERROR_NOT_FOUND,
			    "no route for %s %s",
			    query->method ? query->method : "any method of",
			    query->path);
		return false;
	}
	selection->service = find_service(tree, route->service->name);
	selection->route = find_route(selection->service, route->name);
	return true;
}

static bool select_by_name(const struct tree *tree, const char *path,
			   struct selection *selection, GError **error)
{
	const char *slash = strchr(path, '/');
	g_autofree char *name =
		slash ? g_strndup(path, (gsize)(slash - path)) : g_strdup(path);

	selection->service = find_service(tree, name);
	if (!selection->service) {
		g_set_error(error, TREE_ERROR, TREE_ERROR_NOT_FOUND,
			    "no service \"%s\"", name);
		return false;
	}
	if (!slash)
		return true;
	selection->route = find_route(selection->service, slash + 1);
	if (!selection->route)
		g_set_error(error, TREE_ERROR, TREE_ERROR_NOT_FOUND,
			    "no route \"%s\" in service \"%s\"", slash + 1,
			    name);
	return selection->route != NULL;
}

static bool select_zone_and_target(const struct tree *tree,
				   const struct explain_query *query,
				   struct selection *selection, GError **error)
{
	if (query->ingress_zone) {
		selection->ingress_zone =
			tree_find_zone(tree, query->ingress_zone);
		if (!selection->ingress_zone) {
			g_set_error(error, TREE_ERROR, TREE_ERROR_NOT_FOUND,
				    "no zone \"%s\"", query->ingress_zone);
			return false;
		}
	}
	if (!query->target_host)
		return true;
	selection->target = find_target(selection->service, query->target_host);
	if (!selection->target)
		g_set_error(error, TREE_ERROR, TREE_ERROR_NOT_FOUND,
			    "no target \"%s\" in service \"%s\"",
			    query->target_host, selection->service->name);
	return selection->target != NULL;
}

static void add_value(struct explained_key *explained,
		      const struct policy_key *key, char *level,
		      const struct policy *policy)
{
	struct explained_value *value =
		&explained->values[explained->nr_values++];
	GString *text = g_string_new(NULL);

	policy_format(policy, key, text);
	value->level = level;
	value->value = g_string_free(text, FALSE);
}

static void explain_key(struct explained_key *explained, unsigned key,
			const struct level *levels, size_t nr_levels)
{
	const struct policy_key *policy_key = &policy_keys[key];
	struct policy builtin;

	explained->key = policy_key->name;
	explained->target_side = policy_key->side == POLICY_TARGET_SIDE;
	explained->values = g_new0(struct explained_value, nr_levels + 1);
	policy_init(&builtin);
	add_value(explained, policy_key, g_strdup("built-in"), &builtin);
	for (size_t i = 0; i < nr_levels; i++) {
		const struct level *level = &levels[i];

		if (!(level->override->set & level->keys & 1u << key))
			continue;
		add_value(explained, policy_key,
			  g_strjoin(level->name ? " " : "", level->kind,
				    level->name, NULL),
			  &level->override->values);
	}
}

struct explanation *tree_explain(const struct tree *tree,
				 const struct explain_query *query,
				 GError **error)
{
	struct selection selection = { 0 };
	struct level levels[LEVELS_MAX];
	struct explanation *explanation;
	bool by_url = query->path[0] == '/';
	size_t nr_levels;

	if (by_url ? !select_by_url(tree, query, &selection, error)
		   : !select_by_name(tree, query->path, &selection, error))
		return NULL;
	if (!select_zone_and_target(tree, query, &selection, error))
		return NULL;
	nr_levels =
		tree_levels(tree, selection.service, selection.route,
			    selection.ingress_zone,
			    selection.target ? selection.target->zone : NULL,
			    levels);
	explanation = g_new0(struct explanation, 1);
	explanation->service = g_strdup(selection.service->name);
	if (selection.route)
		explanation->route = g_strdup(selection.route->name);
	explanation->ingress_zone = g_strdup(query->ingress_zone);
	explanation->target_host = g_strdup(query->target_host);
	if (selection.target) {
		explanation->target_zone =
			g_strdup(selection.target->zone->name);
		explanation->target_in_service = selection.target->in_service;
		explanation->zone_in_service =
			selection.target->zone->in_service;
	}
	explanation->nr_keys = POLICY_KEYS;
	explanation->keys = g_new0(struct explained_key, POLICY_KEYS);
	for (unsigned i = 0; i < POLICY_KEYS; i++)
		explain_key(&explanation->keys[i], i, levels, nr_levels);
	return explanation;
}

void explanation_free(struct explanation *explanation)
{
	if (!explanation)
		return;
	for (size_t i = 0; i < explanation->nr_keys; i++) {
		struct explained_key *key = &explanation->keys[i];

		for (size_t j = 0; j < key->nr_values; j++) {
			g_free(key->values[j].level);
			g_free(key->values[j].value);
		}
		g_free(key->values);
	}
	g_free(explanation->keys);
	g_free(explanation->service);
	g_free(explanation->route);
	g_free(explanation->ingress_zone);
	g_free(explanation->target_host);
	g_free(explanation->target_zone);
	g_free(explanation);
}

static const char *in_service_text(bool in_service)
{
	return in_service ? "in service" : "out of service";
}

void explanation_print(const struct explanation *explanation, GString *out)
{
	g_string_append_printf(out, "service %s", explanation->service);
	if (explanation->route)
		g_string_append_printf(out, ", route %s", explanation->route);
	if (explanation->ingress_zone)
		g_string_append_printf(out, ", ingress zone %s",
				       explanation->ingress_zone);
	g_string_append_c(out, '\n');
	if (explanation->target_host)
		g_string_append_printf(
			out, "target %s %s, its zone %s %s\n",
			explanation->target_host,
			in_service_text(explanation->target_in_service),
			explanation->target_zone,
			in_service_text(explanation->zone_in_service));
	for (size_t i = 0; i < explanation->nr_keys; i++) {
		const struct explained_key *key = &explanation->keys[i];
		const struct explained_value *value =
			&key->values[key->nr_values - 1];

		g_string_append_printf(out, "%s = %s from %s", key->key,
				       value->value, value->level);
		for (size_t j = key->nr_values - 1; j-- > 0;)
			g_string_append_printf(out, "%s %s from %s",
					       j + 2 == key->nr_values
						       ? "; overrides"
						       : ",",
					       key->values[j].value,
					       key->values[j].level);
		g_string_append_c(out, '\n');
	}
}

static json_t *key_to_json(const struct explained_key *key)
{
	json_t *values = json_array();

	for (size_t i = 0; i < key->nr_values; i++)
		json_array_append_new(values,
				      json_pack("{s:s, s:s}", "level",
						key->values[i].level, "value",
						key->values[i].value));
	return json_pack("{s:s, s:s, s:s, s:s, s:o}", "key", key->key, "side",
			 key->target_side ? "target" : "caller", "value",
			 key->values[key->nr_values - 1].value, "level",
			 key->values[key->nr_values - 1].level, "values",
			 values);
}

json_t *explanation_to_json(const struct explanation *explanation)
{
	json_t *keys = json_array();
	json_t *json;

	for (size_t i = 0; i < explanation->nr_keys; i++)
		json_array_append_new(keys, key_to_json(&explanation->keys[i]));
	json = json_pack("{s:s, s:s?, s:s?, s:s?, s:o}", "service",
			 explanation->service, "route", explanation->route,
			 "ingress_zone", explanation->ingress_zone,
			 "target_host", explanation->target_host, "keys", keys);
	if (explanation->target_host) {
		json_object_set_new(json, "target_zone",
				    json_string(explanation->target_zone));
		json_object_set_new(json, "target_in_service",
				    json_boolean(
					    explanation->target_in_service));
		json_object_set_new(json, "zone_in_service",
				    json_boolean(explanation->zone_in_service));
	}
	return json;
}

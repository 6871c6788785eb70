#include <string.h>

#include "tree/parse_internal.h"
#include "tree/parts.h"

/* Levels of the document above the value of one service. */
#define SERVICE_DEPTH 2

static void parse_init(struct parse *parse, const char *file,
		       struct findings *findings)
{
	memset(parse, 0, sizeof(*parse));
	checker_init(&parse->checker, file, findings);
	parse->tree = g_new0(struct tree, 1);
	parse->tree->strings = string_store_new();
	parse->hosts = g_hash_table_new(g_str_hash, g_str_equal);
	parse->addresses =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	parse->routes = g_hash_table_new(g_str_hash, g_str_equal);
	parse->prefixes = g_hash_table_new(g_str_hash, g_str_equal);
}

/* Returns the tree, or NULL when there was any error. */
static struct tree *parse_finish(struct parse *parse)
{
	struct tree *tree = parse->tree;

	g_hash_table_destroy(parse->hosts);
	g_hash_table_destroy(parse->addresses);
	g_hash_table_destroy(parse->routes);
	g_hash_table_destroy(parse->prefixes);
	checker_finish(&parse->checker);
	if (!parse->checker.nr_errors)
		return tree;
	tree_free(tree);
	return NULL;
}

char *parse_keep(struct parse *parse, const char *text)
{
	return text ? string_store_add(parse->tree->strings, text) : NULL;
}

/* Reports the first value on each path that is nested too deeply. */
static void check_depth(struct checker *checker, json_t *value, int depth)
{
	g_autofree const char **keys = NULL;
	size_t nr = 0;
	size_t len;

	if (!json_is_object(value) && !json_is_array(value))
		return;
	if (depth > TREE_DEPTH_MAX) {
		check_error(checker, NULL, "nested deeper than %d levels",
			    TREE_DEPTH_MAX);
		return;
	}
	for (size_t i = 0; i < json_array_size(value); i++) {
		len = checker_push_index(checker, i);
		check_depth(checker, json_array_get(value, i), depth + 1);
		checker_pop(checker, len);
	}
	if (!json_object_size(value))
		return;
	keys = check_sorted_keys(value, &nr);
	for (size_t i = 0; i < nr; i++) {
		len = checker_push(checker, keys[i]);
		check_depth(checker, json_object_get(value, keys[i]),
			    depth + 1);
		checker_pop(checker, len);
	}
}

/* Whether any value is nested deeper than the limit; builds no path. */
static bool is_too_deep(json_t *value, int depth)
{
	const char *key;
	json_t *child;
	size_t i;

	if (!json_is_object(value) && !json_is_array(value))
		return false;
	if (depth > TREE_DEPTH_MAX)
		return true;
	json_array_foreach (value, i, child)
		if (is_too_deep(child, depth + 1))
			return true;
	json_object_foreach (value, key, child)
		if (is_too_deep(child, depth + 1))
			return true;
	return false;
}

/* Checks the depth of a value that stands below depth - 1 other levels. */
static void check_nesting(struct checker *checker, json_t *value, int depth)
{
	if (is_too_deep(value, depth))
		check_depth(checker, value, depth);
}

static bool parse_policy_value(struct checker *checker,
			       const struct policy_key *key, json_t *value,
			       struct policy *values)
{
	const char *text;

	if (key->type != POLICY_PRIORITY) {
		if (!check_range(checker, key->name, value, key->min, key->max))
			return false;
		policy_set(values, key, json_integer_value(value));
		return true;
	}
	if (!check_type(checker, key->name, value, JSON_STRING))
		return false;
	text = json_string_value(value);
	for (int i = 0; i < PRIORITY_COUNT; i++) {
		if (strcmp(text, priority_name((enum priority)i)) != 0)
			continue;
		policy_set(values, key, i);
		return true;
	}
	check_error(checker, key->name,
		    "\"%s\" is not one of order, lookup, background",
		    check_printable(checker, text));
	return false;
}

/* Parses the POLICY object that is the member key of parent, if any. */
void parse_override(struct checker *checker, json_t *parent, const char *key,
		    unsigned allowed, struct override *override)
{
	const char *known[POLICY_KEYS + 1] = { NULL };
	json_t *object = check_member(checker, parent, key, JSON_OBJECT, false);
	size_t len;

	if (!object)
		return;
	len = checker_push(checker, key);
	for (unsigned i = 0; i < POLICY_KEYS; i++) {
		const struct policy_key *policy_key = &policy_keys[i];
		json_t *value = json_object_get(object, policy_key->name);

		known[i] = policy_key->name;
		if (!value)
			continue;
		if (!(allowed & 1u << i))
			check_error(checker, policy_key->name,
				    "target-side key is not allowed in a "
				    "route");
		if (parse_policy_value(checker, policy_key, value,
				       &override->values))
			override->set |= 1u << i;
	}
	check_keys(checker, object, known);
	checker_pop(checker, len);
}

static void parse_deployment(struct parse *parse, json_t *json,
			     struct tree_deployment *deployment)
{
	static const char *const known[] = { "override", NULL };
	struct checker *checker = &parse->checker;

	if (!check_type(checker, NULL, json, JSON_OBJECT))
		return;
	check_keys(checker, json, known);
	parse_override(checker, json, "override", POLICY_ALL_KEYS,
		       &deployment->override);
}

/* The deployment that the member "deployment" names, if any. */
static const struct tree_deployment *parse_deployment_name(struct parse *parse,
							   json_t *object)
{
	struct checker *checker = &parse->checker;
	const struct tree_deployment *deployment;
	const char *name =
		check_name_member(checker, object, "deployment", false);

	if (!name)
		return NULL;
	deployment = find_by_name(parse->tree->deployments,
				  parse->tree->nr_deployments,
				  sizeof(*deployment), name);
	if (!deployment)
		check_error(checker, "deployment", "unknown deployment \"%s\"",
			    name);
	return deployment;
}

static void parse_zone(struct parse *parse, json_t *json,
		       struct tree_zone *zone)
{
	static const char *const known[] = { "region", "deployment",
					     "in_service", "override", NULL };
	struct checker *checker = &parse->checker;

	if (!check_type(checker, NULL, json, JSON_OBJECT))
		return;
	check_keys(checker, json, known);
	zone->region = parse_keep(parse, check_name_member(checker, json,
							   "region", true));
	zone->deployment = parse_deployment_name(parse, json);
	zone->in_service = check_bool(checker, json, "in_service", true);
	parse_override(checker, json, "override", POLICY_ALL_KEYS,
		       &zone->override);
}

/*
 * Parses all values of an object whose keys are names. The array gets one
 * element for each key, sorted; its first member is set to the name.
 */
static void *parse_named(struct parse *parse, json_t *object, size_t size,
			 size_t *nr_elements)
{
	g_autofree const char **keys = check_sorted_keys(object, nr_elements);
	char *elements = g_malloc0_n(*nr_elements, size);

	for (size_t i = 0; i < *nr_elements; i++) {
		check_name(&parse->checker, keys[i], keys[i]);
		*(char **)(void *)(elements + i * size) =
			parse_keep(parse, keys[i]);
	}
	return elements;
}

static void parse_deployments(struct parse *parse, json_t *root)
{
	struct checker *checker = &parse->checker;
	struct tree *tree = parse->tree;
	json_t *object =
		check_member(checker, root, "deployments", JSON_OBJECT, false);
	size_t outer, len;

	if (!object)
		return;
	outer = checker_push(checker, "deployments");
	tree->deployments =
		parse_named(parse, object, sizeof(*tree->deployments),
			    &tree->nr_deployments);
	for (size_t i = 0; i < tree->nr_deployments; i++) {
		struct tree_deployment *deployment = &tree->deployments[i];

		len = checker_push(checker, deployment->name);
		parse_deployment(parse,
				 json_object_get(object, deployment->name),
				 deployment);
		checker_pop(checker, len);
	}
	checker_pop(checker, outer);
}

static void parse_zones(struct parse *parse, json_t *root)
{
	struct checker *checker = &parse->checker;
	struct tree *tree = parse->tree;
	json_t *object =
		check_member(checker, root, "zones", JSON_OBJECT, false);
	size_t outer, len;

	if (!object)
		return;
	outer = checker_push(checker, "zones");
	tree->zones = parse_named(parse, object, sizeof(*tree->zones),
				  &tree->nr_zones);
	for (size_t i = 0; i < tree->nr_zones; i++) {
		struct tree_zone *zone = &tree->zones[i];

		len = checker_push(checker, zone->name);
		parse_zone(parse, json_object_get(object, zone->name), zone);
		checker_pop(checker, len);
	}
	checker_pop(checker, outer);
}

/* Parses the part root; deployments come first, since zones refer to them. */
static void parse_root(struct parse *parse, json_t *root)
{
	parse_override(&parse->checker, root, "defaults", POLICY_ALL_KEYS,
		       &parse->tree->defaults);
	parse_deployments(parse, root);
	parse_zones(parse, root);
}

/* Checks that cold_slots is at most slots in the zone of each target. */
static void check_cold_slots(struct parse *parse,
			     const struct tree_service *service)
{
	for (size_t i = 0; i < service->nr_targets; i++) {
		struct tree_zone *zone = service->targets[i].zone;
		struct policy policy;

		if (!zone || zone->checked == service)
			continue;
		zone->checked = service;
		tree_policy(parse->tree, service, NULL, NULL, zone, &policy);
		if (policy.cold_slots > policy.slots)
			check_error(&parse->checker, NULL,
				    "cold_slots %d is above slots %d for "
				    "targets in zone \"%s\"",
				    policy.cold_slots, policy.slots,
				    check_printable(&parse->checker,
						    zone->name));
	}
}

static void parse_service(struct parse *parse, json_t *json,
			  struct tree_service *service)
{
	static const char *const known[] = { "deployment", "override",
					     "targets", "routes", NULL };
	struct checker *checker = &parse->checker;

	if (!check_type(checker, NULL, json, JSON_OBJECT))
		return;
	check_keys(checker, json, known);
	service->deployment = parse_deployment_name(parse, json);
	parse_override(checker, json, "override", POLICY_ALL_KEYS,
		       &service->override);
	parse_targets(parse, json, service);
	parse_routes(parse, json, service);
	check_cold_slots(parse, service);
}

/* Checks that concern all services together. */
static void check_totals(struct parse *parse)
{
	struct checker *checker = &parse->checker;

	if (!parse->tree->nr_services)
		check_error(checker, NULL, "no services");
	if (parse->tree->nr_services > TREE_SERVICES_MAX)
		check_error(checker, NULL, "%zu services, more than %d",
			    parse->tree->nr_services, TREE_SERVICES_MAX);
	if (parse->nr_targets > TREE_TARGETS_MAX)
		check_error(checker, NULL, "%zu targets, more than %d",
			    parse->nr_targets, TREE_TARGETS_MAX);
}

/* Checks the size that a value will have as a part. */
static void check_part_size(struct checker *checker, const json_t *value)
{
	size_t len = json_dumpb(value, NULL, 0, JSON_COMPACT);

	if (len > TREE_PART_BYTES_MAX)
		check_error(checker, NULL, "part of %zu bytes, more than %d",
			    len, TREE_PART_BYTES_MAX);
}

static void check_root_size(struct checker *checker, json_t *root)
{
	json_t *part = json_copy(root);

	json_object_del(part, "version");
	json_object_del(part, "services");
	check_part_size(checker, part);
	json_decref(part);
}

static void parse_services(struct parse *parse, json_t *root, bool may_be_large)
{
	struct checker *checker = &parse->checker;
	struct tree *tree = parse->tree;
	json_t *object =
		check_member(checker, root, "services", JSON_OBJECT, false);
	size_t outer, len;

	if (!object)
		return;
	outer = checker_push(checker, "services");
	tree->services = parse_named(parse, object, sizeof(*tree->services),
				     &tree->nr_services);
	for (size_t i = 0; i < tree->nr_services; i++) {
		struct tree_service *service = &tree->services[i];
		json_t *value = json_object_get(object, service->name);

		len = checker_push(checker, service->name);
		parse_service(parse, value, service);
		if (may_be_large)
			check_part_size(checker, value);
		checker_pop(checker, len);
	}
	checker_pop(checker, outer);
}

static void parse_document(struct parse *parse, json_t *root, size_t len)
{
	static const char *const known[] = { "version",	    "defaults",
					     "deployments", "zones",
					     "services",    NULL };
	struct checker *checker = &parse->checker;
	/* The compact form is never longer than the text it is made from. */
	bool may_be_large = len > TREE_PART_BYTES_MAX;

	if (!check_type(checker, NULL, root, JSON_OBJECT))
		return;
	check_nesting(checker, root, 1);
	check_keys(checker, root, known);
	check_integer(checker, root, "version", 1, TREE_VERSION_MAX,
		      &parse->tree->version);
	parse_root(parse, root);
	if (may_be_large)
		check_root_size(checker, root);
	parse_services(parse, root, may_be_large);
	check_totals(parse);
}

struct tree *tree_parse(const char *text, size_t len, const char *file,
			struct findings *findings)
{
	struct parse parse;
	json_t *root;

	parse_init(&parse, file, findings);
	if (len > TREE_BYTES_MAX) {
		check_error(&parse.checker, NULL,
			    "tree of %zu bytes, more than %d", len,
			    TREE_BYTES_MAX);
		return parse_finish(&parse);
	}
	root = check_load(&parse.checker, text, len);
	if (root)
		parse_document(&parse, root, len);
	json_decref(root);
	return parse_finish(&parse);
}

/*
 * Parses one part. A syntax error has no path, so it is reported with the
 * name of the part as its file. The paths of all other findings begin with the
 * name of the part.
 */
static void assemble_part(struct parse *parse,
			  const struct manifest_entry *entry, const char *data,
			  struct tree_service *service)
{
	static const char *const known[] = { "defaults", "deployments", "zones",
					     NULL };
	struct checker *checker = &parse->checker;
	json_t *json;

	g_string_append_printf(checker->path, "/%s", entry->name);
	checker->file = entry->name;
	json = check_load(checker, data, entry->bytes);
	checker->file = NULL;
	if (json)
		check_nesting(checker, json, service ? SERVICE_DEPTH + 1 : 1);
	if (json && service)
		parse_service(parse, json, service);
	if (json && !service && check_type(checker, NULL, json, JSON_OBJECT)) {
		check_keys(checker, json, known);
		parse_root(parse, json);
	}
	json_decref(json);
	checker_pop(checker, 0);
}

/*
 * Sets the names of the services from the manifest, since a part doesn't hold
 * its own name. All names are checked before any service, as in a whole tree.
 */
static void assemble_names(struct parse *parse, const struct manifest *manifest)
{
	struct tree *tree = parse->tree;

	tree->services = g_new0(struct tree_service, manifest->nr_entries);
	for (size_t i = 0; i < manifest->nr_entries; i++) {
		const char *entry = manifest->entries[i].name;
		const char *name = part_service(entry);

		if (!name)
			continue;
		g_string_append_printf(parse->checker.path, "/%s", entry);
		check_name(&parse->checker, NULL, name);
		checker_pop(&parse->checker, 0);
		tree->services[tree->nr_services++].name =
			parse_keep(parse, name);
	}
}

struct tree *tree_assemble(const struct manifest *manifest,
			   const char *const *part_data,
			   struct findings *findings)
{
	struct tree_service *service;
	struct parse parse;

	parse_init(&parse, NULL, findings);
	parse.tree->version = manifest->id.number;
	assemble_names(&parse, manifest);
	service = parse.tree->services;
	for (size_t i = 0; i < manifest->nr_entries; i++) {
		const struct manifest_entry *entry = &manifest->entries[i];
		bool is_service = part_service(entry->name) != NULL;

		assemble_part(&parse, entry, part_data[i],
			      is_service ? service++ : NULL);
	}
	check_totals(&parse);
	return parse_finish(&parse);
}

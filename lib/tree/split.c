#include <string.h>

#include "tree/check.h"
#include "tree/model.h"
#include "tree/parts.h"

#define MANIFEST_FORMAT 1
#define MANIFEST_FILE "manifest"

#define PART_DUMP_FLAGS (JSON_COMPACT | JSON_SORT_KEYS)

const char *part_service(const char *name)
{
	if (!g_str_has_prefix(name, PART_SERVICE_PREFIX))
		return NULL;
	return name + strlen(PART_SERVICE_PREFIX);
}

static json_t *policy_value(const struct policy *policy,
			    const struct policy_key *key)
{
	int64_t value = policy_get(policy, key);

	if (key->type == POLICY_PRIORITY)
		return json_string(priority_name((enum priority)value));
	return json_integer(value);
}

/* Adds the override as a member unless it is empty. */
static void add_override(json_t *object, const char *member,
			 const struct override *override)
{
	json_t *json;

	if (!override || !override->set)
		return;
	json = json_object();
	for (unsigned i = 0; i < POLICY_KEYS; i++)
		if (override->set & 1u << i)
			json_object_set_new(json, policy_keys[i].name,
					    policy_value(&override->values,
							 &policy_keys[i]));
	json_object_set_new(object, member, json);
}

static void add_string(json_t *object, const char *key, const char *value)
{
	json_object_set_new(object, key, json_string(value));
}

/*
 * Adds a container unless it is empty, and takes its reference. Parts leave
 * out whatever equals its default, so they are never longer than the text of
 * the tree.
 */
static void add_container(json_t *object, const char *key, json_t *value)
{
	if (json_object_size(value) || json_array_size(value))
		json_object_set_new(object, key, value);
	else
		json_decref(value);
}

static void add_in_service(json_t *object, bool in_service)
{
	if (!in_service)
		json_object_set_new(object, "in_service", json_false());
}

static json_t *zone_to_json(const struct tree_zone *zone)
{
	json_t *json = json_object();

	add_string(json, "region", zone->region);
	if (zone->deployment)
		add_string(json, "deployment", zone->deployment->name);
	add_in_service(json, zone->in_service);
	add_override(json, "override", &zone->override);
	return json;
}

static json_t *root_to_json(const struct tree *tree)
{
	json_t *json = json_object();
	json_t *deployments = json_object();
	json_t *zones = json_object();

	add_override(json, "defaults", &tree->defaults);
	for (size_t i = 0; i < tree->nr_deployments; i++) {
		json_t *deployment = json_object();

		add_override(deployment, "override",
			     &tree->deployments[i].override);
		json_object_set_new(deployments, tree->deployments[i].name,
				    deployment);
	}
	for (size_t i = 0; i < tree->nr_zones; i++)
		json_object_set_new(zones, tree->zones[i].name,
				    zone_to_json(&tree->zones[i]));
	add_container(json, "deployments", deployments);
	add_container(json, "zones", zones);
	return json;
}

static json_t *target_to_json(const struct tree_target *target)
{
	json_t *json = json_object();

	add_string(json, "host", target->host);
	add_string(json, "zone", target->zone->name);
	add_string(json, "traffic", target->traffic);
	add_in_service(json, target->in_service);
	return json;
}

static json_t *route_to_json(const struct tree_route *route)
{
	json_t *json = json_object();
	json_t *methods = json_array();

	for (int i = 0; i < HTTP_METHOD_COUNT; i++)
		if (route->methods & HTTP_METHOD_BIT(i))
			json_array_append_new(methods,
					      json_string(http_method_name(
						      (enum http_method)i)));
	add_string(json, "name", route->name);
	add_string(json, "prefix", route->prefix);
	json_object_set_new(json, "methods", methods);
	if (route->at_most_once)
		json_object_set_new(json, "at_most_once", json_true());
	add_override(json, "override", route->override);
	return json;
}

static json_t *service_to_json(const struct tree_service *service)
{
	json_t *json = json_object();
	json_t *targets = json_array();
	json_t *routes = json_array();

	if (service->deployment)
		add_string(json, "deployment", service->deployment->name);
	add_override(json, "override", &service->override);
	for (size_t i = 0; i < service->nr_targets; i++)
		json_array_append_new(targets,
				      target_to_json(&service->targets[i]));
	for (size_t i = 0; i < service->nr_routes; i++)
		json_array_append_new(routes,
				      route_to_json(&service->routes[i]));
	add_container(json, "targets", targets);
	add_container(json, "routes", routes);
	return json;
}

/* Takes the reference of json. */
static void add_part(struct bundle *bundle, char *name, json_t *json)
{
	struct part *part = &bundle->parts[bundle->nr_parts++];

	part->name = name;
	part->data = json_dumps(json, PART_DUMP_FLAGS);
	part->len = strlen(part->data);
	digest_compute(&part->digest, part->data, part->len);
	json_decref(json);
}

/* Jansson keeps the order of insertion, which is that of the format. */
static void write_manifest(struct bundle *bundle)
{
	json_t *json = json_object();
	json_t *parts = json_array();

	for (size_t i = 0; i < bundle->nr_parts; i++) {
		const struct part *part = &bundle->parts[i];
		char hex[DIGEST_HEX_CHARS + 1];
		json_t *entry = json_object();

		digest_to_hex(&part->digest, hex);
		add_string(entry, "name", part->name);
		add_string(entry, "digest", hex);
		json_object_set_new(entry, "bytes",
				    json_integer((json_int_t)part->len));
		json_array_append_new(parts, entry);
	}
	json_object_set_new(json, "format", json_integer(MANIFEST_FORMAT));
	json_object_set_new(json, "version", json_integer(bundle->id.number));
	json_object_set_new(json, "parts", parts);
	bundle->manifest = json_dumps(json, JSON_COMPACT);
	bundle->manifest_len = strlen(bundle->manifest);
	digest_compute(&bundle->id.digest, bundle->manifest,
		       bundle->manifest_len);
	json_decref(json);
}

static void check_value_size(struct checker *checker, const char *name,
			     size_t len)
{
	if (len > TREE_PART_BYTES_MAX)
		check_error(checker, NULL, "%s of %zu bytes, more than %d",
			    name, len, TREE_PART_BYTES_MAX);
}

/* Whether each part and the manifest fit into one value at the source. */
static bool check_sizes(const struct bundle *bundle, struct findings *findings)
{
	struct checker checker;

	checker_init(&checker, NULL, findings);
	check_value_size(&checker, MANIFEST_FILE, bundle->manifest_len);
	for (size_t i = 0; i < bundle->nr_parts; i++)
		check_value_size(&checker, bundle->parts[i].name,
				 bundle->parts[i].len);
	checker_finish(&checker);
	return !checker.nr_errors;
}

struct bundle *tree_split(const struct tree *tree, struct findings *findings)
{
	struct bundle *bundle = g_new0(struct bundle, 1);

	bundle->id.number = tree->version;
	bundle->parts = g_new0(struct part, tree->nr_services + 1);
	add_part(bundle, g_strdup(PART_ROOT), root_to_json(tree));
	for (size_t i = 0; i < tree->nr_services; i++) {
		const struct tree_service *service = &tree->services[i];

		add_part(bundle,
			 g_strconcat(PART_SERVICE_PREFIX, service->name, NULL),
			 service_to_json(service));
	}
	write_manifest(bundle);
	if (check_sizes(bundle, findings))
		return bundle;
	bundle_free(bundle);
	return NULL;
}

void bundle_free(struct bundle *bundle)
{
	if (!bundle)
		return;
	for (size_t i = 0; i < bundle->nr_parts; i++) {
		g_free(bundle->parts[i].name);
		free(bundle->parts[i].data);
	}
	g_free(bundle->parts);
	free(bundle->manifest);
	g_free(bundle);
}

static void check_part_name(struct checker *checker, const char *name)
{
	const char *service = part_service(name);

	if (service)
		check_name(checker, "name", service);
	else if (strcmp(name, PART_ROOT) != 0)
		check_error(checker, "name",
			    "\"%s\" is neither root nor service/NAME",
			    check_printable(checker, name));
}

static void parse_entry(struct checker *checker, json_t *json,
			struct manifest_entry *entry)
{
	static const char *const known[] = { "name", "digest", "bytes", NULL };
	const char *name, *digest;
	int64_t bytes = 0;

	if (!check_type(checker, NULL, json, JSON_OBJECT))
		return;
	check_keys(checker, json, known);
	name = check_string(checker, json, "name", true);
	if (name)
		check_part_name(checker, name);
	entry->name = g_strdup(name);
	digest = check_string(checker, json, "digest", true);
	if (digest && !digest_from_hex(&entry->digest, digest))
		check_error(checker, "digest",
			    "\"%s\" is not 64 lower-case hex digits",
			    check_printable(checker, digest));
	check_integer(checker, json, "bytes", 1, TREE_PART_BYTES_MAX, &bytes);
	entry->bytes = (size_t)bytes;
}

/* Checks that concern all entries together. */
static void check_entries(struct checker *checker,
			  const struct manifest *manifest)
{
	const char *last = NULL;
	size_t bytes = 0;
	bool has_root = false;

	for (size_t i = 0; i < manifest->nr_entries; i++) {
		const struct manifest_entry *entry = &manifest->entries[i];

		bytes += entry->bytes;
		if (!entry->name)
			continue;
		has_root |= strcmp(entry->name, PART_ROOT) == 0;
		if (last && strcmp(last, entry->name) >= 0)
			check_error(checker, "parts",
				    "\"%s\" does not come after \"%s\"",
				    check_printable(checker, entry->name),
				    check_printable(checker, last));
		last = entry->name;
	}
	if (!has_root)
		check_error(checker, "parts", "no part root");
	if (bytes > TREE_BYTES_MAX)
		check_error(checker, "parts",
			    "parts of %zu bytes, more than %d", bytes,
			    TREE_BYTES_MAX);
}

static void parse_entries(struct checker *checker, json_t *root,
			  struct manifest *manifest)
{
	json_t *array = check_member(checker, root, "parts", JSON_ARRAY, true);
	size_t outer, len;

	if (!array)
		return;
	if (json_array_size(array) > TREE_PARTS_MAX) {
		check_error(checker, "parts", "%zu parts, more than %d",
			    json_array_size(array), TREE_PARTS_MAX);
		return;
	}
	manifest->nr_entries = json_array_size(array);
	manifest->entries = g_new0(struct manifest_entry, manifest->nr_entries);
	outer = checker_push(checker, "parts");
	for (size_t i = 0; i < manifest->nr_entries; i++) {
		len = checker_push_index(checker, i);
		parse_entry(checker, json_array_get(array, i),
			    &manifest->entries[i]);
		checker_pop(checker, len);
	}
	checker_pop(checker, outer);
	check_entries(checker, manifest);
}

static void parse_manifest(struct checker *checker, json_t *root,
			   struct manifest *manifest)
{
	static const char *const known[] = { "format", "version", "parts",
					     NULL };
	int64_t format;

	if (!check_type(checker, NULL, root, JSON_OBJECT))
		return;
	check_keys(checker, root, known);
	check_integer(checker, root, "format", MANIFEST_FORMAT, MANIFEST_FORMAT,
		      &format);
	check_integer(checker, root, "version", 1, TREE_VERSION_MAX,
		      &manifest->id.number);
	parse_entries(checker, root, manifest);
}

struct manifest *manifest_parse(const char *data, size_t len,
				struct findings *findings)
{
	struct manifest *manifest = g_new0(struct manifest, 1);
	struct checker checker;
	json_t *root = NULL;

	checker_init(&checker, MANIFEST_FILE, findings);
	if (len > TREE_PART_BYTES_MAX)
		check_value_size(&checker, MANIFEST_FILE, len);
	else
		root = check_load(&checker, data, len);
	if (root)
		parse_manifest(&checker, root, manifest);
	json_decref(root);
	digest_compute(&manifest->id.digest, data, len);
	checker_finish(&checker);
	if (!checker.nr_errors)
		return manifest;
	manifest_free(manifest);
	return NULL;
}

void manifest_free(struct manifest *manifest)
{
	if (!manifest)
		return;
	for (size_t i = 0; i < manifest->nr_entries; i++)
		g_free(manifest->entries[i].name);
	g_free(manifest->entries);
	g_free(manifest);
}

#include <string.h>

#include "tree/model.h"
#include "tree/parts.h"

/*
 * Parses only the changed parts of a version, since parsing all parts again
 * took nearly all of the time of accepting a change of one service in a large
 * tree. The unchanged parts were validated with the same part root when the
 * base was accepted. What remains to be checked are the limits of the whole
 * tree and that no host, address, route name, or prefix and method is used by
 * both a changed and an unchanged service.
 */

struct update {
	const struct table *base;
	const struct manifest *base_manifest;
	const struct manifest *manifest;
	const char *const *part_data;
	const char *ingress_zone;
	bool *is_kept;	       /* for each entry of the manifest */
	struct table *changed; /* the changed services only */
	struct string_store *strings;
	GHashTable *names; /* zone, region and deployment names copied */
};

static const struct manifest_entry *find_entry(const struct manifest *manifest,
					       const char *name)
{
	return find_by_name(manifest->entries, manifest->nr_entries,
			    sizeof(*manifest->entries), name);
}

static bool is_same_part(const struct update *update,
			 const struct manifest_entry *entry)
{
	const struct manifest_entry *old =
		find_entry(update->base_manifest, entry->name);

	return old && old->bytes == entry->bytes &&
	       !digest_compare(&old->digest, &entry->digest);
}

/* Marks the kept services. False when there is none or the root differs. */
static bool mark_kept(struct update *update)
{
	bool is_any = false;

	for (size_t i = 0; i < update->manifest->nr_entries; i++) {
		const struct manifest_entry *entry =
			&update->manifest->entries[i];

		update->is_kept[i] = is_same_part(update, entry);
		if (part_service(entry->name))
			is_any |= update->is_kept[i];
		else if (!update->is_kept[i])
			return false;
	}
	return is_any;
}

/* Builds a table of the changed services; NULL when there is any finding. */
static struct table *parse_changed(struct update *update)
{
	const struct manifest *manifest = update->manifest;
	g_autofree struct manifest_entry *entries =
		g_new0(struct manifest_entry, manifest->nr_entries);
	g_autofree const char **data =
		g_new0(const char *, manifest->nr_entries);
	struct manifest some = { .id = manifest->id, .entries = entries };
	CLEANUP(tree_freep) struct tree *tree = NULL;
	struct findings findings;
	bool is_clean;

	for (size_t i = 0; i < manifest->nr_entries; i++) {
		if (update->is_kept[i] &&
		    part_service(manifest->entries[i].name))
			continue;
		data[some.nr_entries] = update->part_data[i];
		entries[some.nr_entries++] = manifest->entries[i];
	}
	findings_init(&findings);
	tree = tree_assemble(&some, data, &findings);
	is_clean = !findings.nr_errors && !findings.nr_warnings;
	findings_release(&findings);
	return tree && is_clean
		       ? table_new(tree, &manifest->id, update->ingress_zone)
		       : NULL;
}

/* Values that must be unique in the whole tree. */
struct uses {
	GHashTable *hosts;
	GHashTable *addresses; /* canonical */
	GHashTable *routes;
	GHashTable *prefixes; /* prefix to its set of methods */
};

static void uses_init(struct uses *uses)
{
	uses->hosts = g_hash_table_new(g_str_hash, g_str_equal);
	uses->addresses =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	uses->routes = g_hash_table_new(g_str_hash, g_str_equal);
	uses->prefixes = g_hash_table_new(g_str_hash, g_str_equal);
}

static void uses_release(struct uses *uses)
{
	g_hash_table_destroy(uses->hosts);
	g_hash_table_destroy(uses->addresses);
	g_hash_table_destroy(uses->routes);
	g_hash_table_destroy(uses->prefixes);
}

static void uses_add(struct uses *uses, const struct table_service *service)
{
	for (size_t i = 0; i < service->nr_targets; i++) {
		const struct table_target *target = &service->targets[i];

		g_hash_table_add(uses->hosts, target->host);
		g_hash_table_add(uses->addresses,
				 tree_canonical_address(target->traffic));
	}
	for (size_t i = 0; i < service->nr_routes; i++) {
		const struct table_route *route = &service->routes[i];
		unsigned methods = GPOINTER_TO_UINT(
			g_hash_table_lookup(uses->prefixes, route->prefix));

		g_hash_table_add(uses->routes, route->name);
		g_hash_table_insert(uses->prefixes, route->prefix,
				    GUINT_TO_POINTER(methods | route->methods));
	}
}

static bool is_used(const struct uses *uses,
		    const struct table_service *service)
{
	for (size_t i = 0; i < service->nr_targets; i++) {
		const struct table_target *target = &service->targets[i];
		g_autofree char *address =
			tree_canonical_address(target->traffic);

		if (g_hash_table_contains(uses->hosts, target->host) ||
		    g_hash_table_contains(uses->addresses, address))
			return true;
	}
	for (size_t i = 0; i < service->nr_routes; i++) {
		const struct table_route *route = &service->routes[i];
		unsigned methods = GPOINTER_TO_UINT(
			g_hash_table_lookup(uses->prefixes, route->prefix));

		if (g_hash_table_contains(uses->routes, route->name) ||
		    (methods & route->methods))
			return true;
	}
	return false;
}

/* Finds the service of an entry in base or in the table of changed services. */
static const struct table_service *service_of(const struct update *update,
					      size_t entry)
{
	const char *name = part_service(update->manifest->entries[entry].name);

	if (!name)
		return NULL;
	return table_find_service(update->is_kept[entry] ? update->base
							 : update->changed,
				  name);
}

/* Whether a changed and a kept service use the same unique value. */
static bool has_conflict(const struct update *update)
{
	struct uses uses;
	bool found = false;

	uses_init(&uses);
	for (size_t i = 0; i < update->changed->nr_services; i++)
		uses_add(&uses, &update->changed->services[i]);
	for (size_t i = 0; i < update->manifest->nr_entries && !found; i++) {
		const struct table_service *service = service_of(update, i);

		if (service && update->is_kept[i])
			found = is_used(&uses, service);
	}
	uses_release(&uses);
	return found;
}

static char *copy_text(struct update *update, const char *text)
{
	return string_store_add(update->strings, text);
}

/* Copies a name that many objects share; each name is stored once. */
static char *copy_name(struct update *update, const char *name)
{
	char *copy;

	if (!name)
		return NULL;
	copy = g_hash_table_lookup(update->names, name);
	if (!copy) {
		copy = copy_text(update, name);
		g_hash_table_insert(update->names, copy, copy);
	}
	return copy;
}

/* Copies a service. Its routes and targets keep their sorted order. */
static void copy_service(struct update *update, struct table_service *to,
			 const struct table_service *from)
{
	struct table_route *routes = to->routes;
	struct table_target *targets = to->targets;

	*to = *from;
	to->routes = routes;
	to->targets = targets;
	to->name = copy_text(update, from->name);
	to->deployment = copy_name(update, from->deployment);
	for (size_t i = 0; i < from->nr_targets; i++) {
		targets[i] = from->targets[i];
		targets[i].host = copy_text(update, from->targets[i].host);
		targets[i].zone = copy_name(update, from->targets[i].zone);
		targets[i].region = copy_name(update, from->targets[i].region);
		targets[i].traffic =
			copy_text(update, from->targets[i].traffic);
		targets[i].service = to;
	}
	for (size_t i = 0; i < from->nr_routes; i++) {
		routes[i] = from->routes[i];
		routes[i].name = copy_text(update, from->routes[i].name);
		routes[i].prefix = copy_text(update, from->routes[i].prefix);
		routes[i].service = to;
	}
}

static struct table_size count(const struct update *update)
{
	struct table_size size = { 0 };

	for (size_t i = 0; i < update->manifest->nr_entries; i++) {
		const struct table_service *service = service_of(update, i);

		if (!service)
			continue;
		size.services++;
		size.routes += service->nr_routes;
		size.targets += service->nr_targets;
	}
	return size;
}

static struct table *merge(struct update *update, const struct table_size *size)
{
	struct table_route *routes;
	struct table_target *targets;
	struct table *table =
		table_alloc(size, update->strings, &routes, &targets);
	struct table_service *to = table->services;

	table->id = update->manifest->id;
	for (size_t i = 0; i < update->manifest->nr_entries; i++) {
		const struct table_service *service = service_of(update, i);

		if (!service)
			continue;
		to->routes = routes;
		to->targets = targets;
		copy_service(update, to++, service);
		routes += service->nr_routes;
		targets += service->nr_targets;
	}
	table_finish(table);
	return table;
}

static struct table *update_table(struct update *update)
{
	struct table_size size;

	if (!mark_kept(update))
		return NULL;
	update->changed = parse_changed(update);
	if (!update->changed)
		return NULL;
	size = count(update);
	if (size.services > TREE_SERVICES_MAX ||
	    size.targets > TREE_TARGETS_MAX || has_conflict(update))
		return NULL;
	return merge(update, &size);
}

struct table *table_update(const struct table *base,
			   const struct manifest *base_manifest,
			   const struct manifest *manifest,
			   const char *const *part_data,
			   const char *ingress_zone)
{
	struct update update = {
		.base = base,
		.base_manifest = base_manifest,
		.manifest = manifest,
		.part_data = part_data,
		.ingress_zone = ingress_zone,
		.is_kept = g_new0(bool, manifest->nr_entries),
		.strings = string_store_new(),
		.names = g_hash_table_new(g_str_hash, g_str_equal),
	};
	struct table *table = update_table(&update);

	table_free(update.changed);
	g_hash_table_destroy(update.names);
	string_store_unref(update.strings);
	g_free(update.is_kept);
	return table;
}

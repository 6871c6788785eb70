#include <string.h>

#include "tree/model.h"

/* One change and the routes or targets of a service that it applies to. */
struct group {
	char *text;
	GPtrArray *names;
};

struct diff {
	const struct tree *old_tree;
	const struct tree *new_tree;
	GString *out;
	size_t nr_changes;
	GPtrArray *zones; /* names of the zones that both trees have */
	/* The service under comparison; both trees have it. */
	const struct tree_service *new_service;
	GPtrArray *groups; /* struct group */
};

/* Callbacks for comparing the objects of one kind in two trees. */
struct diff_ops {
	size_t size; /* of an object, whose first member is its name */
	void (*added)(struct diff *diff, const void *new_item);
	void (*removed)(struct diff *diff, const void *old_item);
	void (*kept)(struct diff *diff, const void *old_item,
		     const void *new_item);
};

static void group_free(gpointer data)
{
	struct group *group = data;

	g_free(group->text);
	g_ptr_array_unref(group->names);
	g_free(group);
}

static void print_change(struct diff *diff, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

static void print_change(struct diff *diff, const char *fmt, ...)
{
	va_list args;

	va_start(args, fmt);
	g_string_append_vprintf(diff->out, fmt, args);
	va_end(args);
	g_string_append_c(diff->out, '\n');
	diff->nr_changes++;
}

/* Adds an object to the group of a change; takes ownership of text. */
static void add_to_group(struct diff *diff, char *text, char *name)
{
	struct group *group = NULL;

	for (guint i = 0; i < diff->groups->len && !group; i++) {
		struct group *other = diff->groups->pdata[i];

		if (strcmp(other->text, text) == 0)
			group = other;
	}
	if (group) {
		g_free(text);
	} else {
		group = g_new0(struct group, 1);
		group->text = text;
		group->names = g_ptr_array_new();
		g_ptr_array_add(diff->groups, group);
	}
	g_ptr_array_add(group->names, name);
}

/* Prints one line for each group and empties the list of groups. */
static void print_groups(struct diff *diff, const char *kind, size_t nr_objects)
{
	const char *service = diff->new_service->name;

	for (guint i = 0; i < diff->groups->len; i++) {
		struct group *group = diff->groups->pdata[i];
		g_autofree char *names = NULL;

		if (group->names->len == 1) {
			print_change(diff, "%s %s/%s: %s", kind, service,
				     (char *)group->names->pdata[0],
				     group->text);
			continue;
		}
		if (group->names->len == nr_objects) {
			print_change(diff, "service %s: %s for every %s",
				     service, group->text, kind);
			continue;
		}
		g_ptr_array_add(group->names, NULL);
		names = g_strjoinv(", ", (char **)group->names->pdata);
		print_change(diff, "service %s: %s for %ss %s", service,
			     group->text, kind, names);
	}
	g_ptr_array_set_size(diff->groups, 0);
}

static int compare_pointers(const void *a, const void *b)
{
	return compare_by_name(*(const void *const *)a,
			       *(const void *const *)b);
}

/* Pointers to the elements, sorted by name; free with g_free(). */
static const void **sorted_pointers(const void *base, size_t nr, size_t size)
{
	const void **pointers = g_new(const void *, nr + 1);

	for (size_t i = 0; i < nr; i++)
		pointers[i] = (const char *)base + i * size;
	if (nr)
		qsort(pointers, nr, sizeof(*pointers), compare_pointers);
	return pointers;
}

/* Compares two arrays by name. */
static void diff_arrays(struct diff *diff, const struct diff_ops *ops,
			const void *old_base, size_t nr_old,
			const void *new_base, size_t nr_new)
{
	const void **old_items = sorted_pointers(old_base, nr_old, ops->size);
	const void **new_items = sorted_pointers(new_base, nr_new, ops->size);
	size_t i = 0, j = 0;

	while (i < nr_old && j < nr_new) {
		int order = compare_by_name(old_items[i], new_items[j]);

		if (order < 0)
			ops->removed(diff, old_items[i++]);
		else if (order > 0)
			ops->added(diff, new_items[j++]);
		else
			ops->kept(diff, old_items[i++], new_items[j++]);
	}
	while (i < nr_old)
		ops->removed(diff, old_items[i++]);
	while (j < nr_new)
		ops->added(diff, new_items[j++]);
	g_free(old_items);
	g_free(new_items);
}

static char *change_text(const struct policy_key *key,
			 const struct policy *old_policy,
			 const struct policy *new_policy)
{
	GString *text = g_string_new(key->name);

	g_string_append_c(text, ' ');
	policy_format(old_policy, key, text);
	g_string_append(text, " -> ");
	policy_format(new_policy, key, text);
	return g_string_free(text, FALSE);
}

static void diff_string(struct diff *diff, char *name, const char *what,
			const char *old_value, const char *new_value)
{
	if (g_strcmp0(old_value, new_value) != 0)
		add_to_group(diff,
			     g_strdup_printf("%s %s -> %s", what,
					     old_value ? old_value : "none",
					     new_value ? new_value : "none"),
			     name);
}

static const char *bool_name(bool value)
{
	return value ? "true" : "false";
}

static void diff_bool(struct diff *diff, char *name, const char *what,
		      bool old_value, bool new_value)
{
	diff_string(diff, name, what, bool_name(old_value),
		    bool_name(new_value));
}

static bool target_in_service(const struct tree_target *target)
{
	return target->in_service && target->zone->in_service;
}

static void diff_target_policy(struct diff *diff,
			       const struct tree_target *old_target,
			       const struct tree_target *new_target)
{
	struct policy old_policy, new_policy;

	tree_policy(diff->old_tree, old_target->service, NULL, NULL,
		    old_target->zone, &old_policy);
	tree_policy(diff->new_tree, new_target->service, NULL, NULL,
		    new_target->zone, &new_policy);
	for (int i = 0; i < POLICY_KEYS; i++) {
		const struct policy_key *key = &policy_keys[i];

		if (key->side == POLICY_TARGET_SIDE &&
		    policy_get(&old_policy, key) !=
			    policy_get(&new_policy, key))
			add_to_group(diff,
				     change_text(key, &old_policy, &new_policy),
				     new_target->host);
	}
}

static void target_added(struct diff *diff, const void *new_item)
{
	const struct tree_target *target = new_item;

	print_change(diff, "target %s/%s: added in zone %s at %s, %s service",
		     diff->new_service->name, target->host, target->zone->name,
		     target->traffic,
		     target_in_service(target) ? "in" : "out of");
}

static void target_removed(struct diff *diff, const void *old_item)
{
	const struct tree_target *target = old_item;

	print_change(diff, "target %s/%s: removed", diff->new_service->name,
		     target->host);
}

static void target_kept(struct diff *diff, const void *old_item,
			const void *new_item)
{
	const struct tree_target *o = old_item;
	const struct tree_target *n = new_item;

	diff_string(diff, n->host, "zone", o->zone->name, n->zone->name);
	diff_string(diff, n->host, "region", o->zone->region, n->zone->region);
	diff_string(diff, n->host, "traffic", o->traffic, n->traffic);
	diff_bool(diff, n->host, "in_service", target_in_service(o),
		  target_in_service(n));
	diff_target_policy(diff, o, n);
}

static const struct diff_ops target_ops = {
	.size = sizeof(struct tree_target),
	.added = target_added,
	.removed = target_removed,
	.kept = target_kept,
};

/* The effective policies of a route for ingresses of each common zone. */
static struct policy *route_policies(const struct diff *diff,
				     const struct tree *tree,
				     const struct tree_route *route)
{
	struct policy *policies = g_new(struct policy, diff->zones->len);

	for (guint i = 0; i < diff->zones->len; i++) {
		const char *name = diff->zones->pdata[i];

		tree_policy(tree, route->service, route,
			    name ? tree_find_zone(tree, name) : NULL, NULL,
			    &policies[i]);
	}
	return policies;
}

static bool is_change(const struct policy_key *key,
		      const struct policy *old_policies,
		      const struct policy *new_policies, guint i)
{
	return policy_get(&old_policies[i], key) !=
	       policy_get(&new_policies[i], key);
}

/* Whether zones i and j have the same old and the same new value. */
static bool is_same_change(const struct policy_key *key,
			   const struct policy *old_policies,
			   const struct policy *new_policies, guint i, guint j)
{
	return policy_get(&old_policies[i], key) ==
		       policy_get(&old_policies[j], key) &&
	       policy_get(&new_policies[i], key) ==
		       policy_get(&new_policies[j], key);
}

/* Adds the change for zone i, unless an earlier zone has the same change. */
static void diff_route_zone(struct diff *diff, const struct policy_key *key,
			    const struct policy *old_policies,
			    const struct policy *new_policies, guint i,
			    char *name)
{
	g_autoptr(GString) zones = g_string_new(NULL);
	g_autofree char *change = NULL;
	guint nr = 0;

	for (guint j = 0; j < diff->zones->len; j++) {
		if (!is_same_change(key, old_policies, new_policies, i, j))
			continue;
		if (j < i)
			return;
		g_string_append_printf(zones, "%s%s", nr++ ? ", " : "",
				       (const char *)diff->zones->pdata[j]);
	}
	change = change_text(key, &old_policies[i], &new_policies[i]);
	if (nr == diff->zones->len)
		add_to_group(diff, g_steal_pointer(&change), name);
	else
		add_to_group(diff,
			     g_strdup_printf("%s from ingress zone%s %s",
					     change, nr > 1 ? "s" : "",
					     zones->str),
			     name);
}

static void diff_route_policy(struct diff *diff,
			      const struct tree_route *old_route,
			      const struct tree_route *new_route)
{
	g_autofree struct policy *old_policies =
		route_policies(diff, diff->old_tree, old_route);
	g_autofree struct policy *new_policies =
		route_policies(diff, diff->new_tree, new_route);

	for (int k = 0; k < POLICY_KEYS; k++) {
		const struct policy_key *key = &policy_keys[k];

		if (key->side != POLICY_CALLER_SIDE)
			continue;
		for (guint i = 0; i < diff->zones->len; i++)
			if (is_change(key, old_policies, new_policies, i))
				diff_route_zone(diff, key, old_policies,
						new_policies, i,
						new_route->name);
	}
}

/* The methods of a set, separated by commas; the caller frees it. */
static char *methods_text(unsigned methods)
{
	GString *text = g_string_new(NULL);

	for (int i = 0; i < HTTP_METHOD_COUNT; i++)
		if (methods & HTTP_METHOD_BIT(i))
			g_string_append_printf(text, "%s%s",
					       text->len ? "," : "",
					       http_method_name(
						       (enum http_method)i));
	return g_string_free(text, FALSE);
}

static void route_added(struct diff *diff, const void *new_item)
{
	const struct tree_route *route = new_item;
	g_autofree char *methods = methods_text(route->methods);

	print_change(diff, "route %s/%s: added for %s %s%s",
		     diff->new_service->name, route->name, methods,
		     route->prefix,
		     route->at_most_once ? ", at most once" : "");
}

static void route_removed(struct diff *diff, const void *old_item)
{
	const struct tree_route *route = old_item;

	print_change(diff, "route %s/%s: removed", diff->new_service->name,
		     route->name);
}

static void route_kept(struct diff *diff, const void *old_item,
		       const void *new_item)
{
	const struct tree_route *o = old_item;
	const struct tree_route *n = new_item;
	g_autofree char *old_methods = methods_text(o->methods);
	g_autofree char *new_methods = methods_text(n->methods);

	diff_string(diff, n->name, "prefix", o->prefix, n->prefix);
	diff_string(diff, n->name, "methods", old_methods, new_methods);
	diff_bool(diff, n->name, "at_most_once", o->at_most_once,
		  n->at_most_once);
	diff_route_policy(diff, o, n);
}

static const struct diff_ops route_ops = {
	.size = sizeof(struct tree_route),
	.added = route_added,
	.removed = route_removed,
	.kept = route_kept,
};

static const char *deployment_name(const struct tree_deployment *deployment)
{
	return deployment ? deployment->name : "none";
}

static void service_added(struct diff *diff, const void *new_item)
{
	const struct tree_service *service = new_item;

	print_change(diff, "service %s: added, targets %zu, routes %zu",
		     service->name, service->nr_targets, service->nr_routes);
}

static void service_removed(struct diff *diff, const void *old_item)
{
	const struct tree_service *service = old_item;

	print_change(diff, "service %s: removed", service->name);
}

static void service_kept(struct diff *diff, const void *old_item,
			 const void *new_item)
{
	const struct tree_service *o = old_item;
	const struct tree_service *n = new_item;

	if (strcmp(deployment_name(o->deployment),
		   deployment_name(n->deployment)) != 0)
		print_change(diff, "service %s: deployment %s -> %s", n->name,
			     deployment_name(o->deployment),
			     deployment_name(n->deployment));
	diff->new_service = n;
	diff_arrays(diff, &target_ops, o->targets, o->nr_targets, n->targets,
		    n->nr_targets);
	print_groups(diff, "target", n->nr_targets);
	diff_arrays(diff, &route_ops, o->routes, o->nr_routes, n->routes,
		    n->nr_routes);
	print_groups(diff, "route", n->nr_routes);
}

static const struct diff_ops service_ops = {
	.size = sizeof(struct tree_service),
	.added = service_added,
	.removed = service_removed,
	.kept = service_kept,
};

static void zone_added(struct diff *diff, const void *new_item)
{
	const struct tree_zone *zone = new_item;

	print_change(diff, "zone %s: added", zone->name);
}

static void zone_removed(struct diff *diff, const void *old_item)
{
	const struct tree_zone *zone = old_item;

	print_change(diff, "zone %s: removed", zone->name);
}

static void zone_kept(struct diff *diff, const void *old_item,
		      const void *new_item)
{
	const struct tree_zone *o = old_item;
	const struct tree_zone *n = new_item;

	g_ptr_array_add(diff->zones, n->name);
	if (o->in_service != n->in_service)
		print_change(diff, "zone %s: in_service %s -> %s", n->name,
			     bool_name(o->in_service),
			     bool_name(n->in_service));
}

static const struct diff_ops zone_ops = {
	.size = sizeof(struct tree_zone),
	.added = zone_added,
	.removed = zone_removed,
	.kept = zone_kept,
};

size_t tree_diff(const struct tree *old_tree, const struct tree *new_tree,
		 GString *out)
{
	struct diff diff = { .old_tree = old_tree,
			     .new_tree = new_tree,
			     .out = out,
			     .zones = g_ptr_array_new(),
			     .groups = g_ptr_array_new_with_free_func(
				     group_free) };

	diff_arrays(&diff, &zone_ops, old_tree->zones, old_tree->nr_zones,
		    new_tree->zones, new_tree->nr_zones);
	/* Without a common zone, compare without zone overrides. */
	if (!diff.zones->len)
		g_ptr_array_add(diff.zones, NULL);
	diff_arrays(&diff, &service_ops, old_tree->services,
		    old_tree->nr_services, new_tree->services,
		    new_tree->nr_services);
	g_ptr_array_unref(diff.zones);
	g_ptr_array_unref(diff.groups);
	return diff.nr_changes;
}

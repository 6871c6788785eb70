#ifndef TREE_MODEL_H
#define TREE_MODEL_H

#include "tree/policy.h"
#include "tree/tree.h"

/*
 * A validated tree in memory, private to the library. It holds the values of
 * the JSON document without the JSON objects, so that a daemon can keep it
 * beside its table.
 */

/* A reference-counted arena of strings, shared by a tree and its tables. */
struct string_store {
	GStringChunk *chunk;
	size_t bytes; /* of all strings, including their NULs */
};

struct string_store *string_store_new(void);
struct string_store *string_store_ref(struct string_store *store);
void string_store_unref(struct string_store *store);
char *string_store_add(struct string_store *store, const char *text);

struct tree_deployment {
	char *name;
	struct override override;
};

struct tree_zone {
	char *name;
	char *region;
	const struct tree_deployment *deployment; /* NULL for none */
	bool in_service;
	struct override override;
	/* Last service with cold_slots checked in this zone; for parsing. */
	const struct tree_service *checked;
};

struct tree_target {
	char *host;
	struct tree_zone *zone;
	char *traffic;
	bool in_service;
	const struct tree_service *service;
};

struct tree_route {
	char *name;
	char *prefix;
	unsigned methods;
	bool at_most_once;
	struct override *override; /* NULL for none */
	const struct tree_service *service;
	struct tree_route *same_prefix; /* next in the list; for parsing */
};

struct tree_service {
	char *name;
	const struct tree_deployment *deployment; /* NULL for none */
	struct override override;
	struct tree_target *targets; /* in the order of the document */
	size_t nr_targets;
	struct tree_route *routes; /* in the order of the document */
	size_t nr_routes;
};

struct tree {
	int64_t version;
	struct string_store *strings;
	struct override defaults;
	struct tree_deployment *deployments; /* sorted by name, as all below */
	size_t nr_deployments;
	struct tree_zone *zones;
	size_t nr_zones;
	struct tree_service *services;
	size_t nr_services;
};

/* Numbers of objects of a table, for table_alloc(). */
struct table_size {
	size_t services;
	size_t routes;
	size_t targets;
};

/*
 * Makes a table with empty services. All routes stand in one array and all
 * targets in another, which the calling code divides among the services and
 * fills; table_finish() then builds the index. Takes its own reference of the
 * strings.
 */
struct table *table_alloc(const struct table_size *size,
			  struct string_store *strings,
			  struct table_route **routes,
			  struct table_target **targets);
void table_finish(struct table *table);

/*
 * The canonical form of IPv4:port or [IPv6]:port, for finding duplicates; NULL
 * when the text is neither. The caller frees it.
 */
char *tree_canonical_address(const char *text);

/*
 * Finds an element by name by binary search in an array sorted by the name,
 * which is a char * in the first member of its elements.
 */
void *find_by_name(const void *base, size_t nr, size_t size, const char *name);

/* Compares two such elements by name, for qsort(). */
int compare_by_name(const void *a, const void *b);

struct tree_zone *tree_find_zone(const struct tree *tree, const char *name);

/* One level that supplies settings to a service, route or target. */
struct level {
	const char *kind; /* such as "zone" */
	const char *name; /* NULL for the defaults */
	const struct override *override;
	unsigned keys; /* keys that this level supplies */
};

#define LEVELS_MAX 6

/*
 * Lists the levels above the built-in values from lowest to highest. The
 * precedence is defined only here. The zones and the route may be
 * NULL. Returns the number of levels.
 */
size_t tree_levels(const struct tree *tree, const struct tree_service *service,
		   const struct tree_route *route,
		   const struct tree_zone *ingress_zone,
		   const struct tree_zone *target_zone,
		   struct level levels[LEVELS_MAX]);

/* Computes the effective policy from the levels of tree_levels(). */
void tree_policy(const struct tree *tree, const struct tree_service *service,
		 const struct tree_route *route,
		 const struct tree_zone *ingress_zone,
		 const struct tree_zone *target_zone, struct policy *policy);

#endif

#ifndef TREE_TREE_H
#define TREE_TREE_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/cleanup.h"
#include "base/digest.h"
#include "base/findings.h"

/*
 * The tree of settings: parsing, validation, inheritance, explanation,
 * comparison, division into parts and the immutable routing table.
 *
 * The library is pure. Every object is immutable once it has been returned,
 * so it may be read from any number of threads.
 */

/* The largest value at the source, and so of a part and of a manifest. */
#define TREE_PART_BYTES_MAX 1048576
/* The largest tree, as text or as the sum of its parts. */
#define TREE_BYTES_MAX 16777216
#define TREE_DEPTH_MAX 16
#define TREE_SERVICES_MAX 4096
#define TREE_TARGETS_MAX 16384
/* Parts of a manifest; the same number as DIST_PARTS_MAX of dist. */
#define TREE_PARTS_MAX 8192
/* The largest version number that every JSON reader keeps exactly. */
#define TREE_VERSION_MAX ((INT64_C(1) << 53) - 1)

enum priority {
	PRIORITY_ORDER,
	PRIORITY_LOOKUP,
	PRIORITY_BACKGROUND,
	PRIORITY_COUNT
};

/* "order", "lookup" or "background". */
const char *priority_name(enum priority priority);

enum http_method {
	HTTP_METHOD_GET,
	HTTP_METHOD_HEAD,
	HTTP_METHOD_POST,
	HTTP_METHOD_PUT,
	HTTP_METHOD_DELETE,
	HTTP_METHOD_OPTIONS,
	HTTP_METHOD_PATCH,
	HTTP_METHOD_COUNT
};

/* The bit of a method in a set of methods. */
#define HTTP_METHOD_BIT(method) (1u << (method))

/* Parses an upper-case method name; false when it is none of the above. */
bool http_method_parse(const char *name, enum http_method *method);
const char *http_method_name(enum http_method method);

/* Effective settings; units are in the names. */
struct policy {
	int64_t deadline_ms;
	int64_t ramp_ms;
	int64_t ticket_life_ms;
	int64_t body_max_bytes;
	int64_t quarantine_ms;
	enum priority priority;
	int retry_ratio_percent;
	int retry_max;
	int slots;
	int queue_max;
	int cold_slots;
	int eject_percent_max;
	int quarantine_crashes;
	int zone_overflow_percent;
};

/* A tree that passed validation. */
struct tree;

/*
 * Parses and validates a tree of len bytes. Adds all findings with file as
 * their file name (may be NULL). Returns NULL when there is any error.
 */
struct tree *tree_parse(const char *text, size_t len, const char *file,
			struct findings *findings);
void tree_free(struct tree *tree);
DEFINE_CLEANUP(struct tree, tree_free)

/* The version number, 1 to TREE_VERSION_MAX. */
int64_t tree_version(const struct tree *tree);

/* The routing table for the ingresses of one zone. */

struct table_service;

struct table_target {
	char *host;
	char *zone;
	char *region;
	char *traffic;	      /* IPv4:port or [IPv6]:port */
	bool in_service;      /* of both the target and its zone */
	struct policy policy; /* effective in the target's zone */
	struct table_service *service;
};

struct table_route {
	char *name;
	char *prefix;
	unsigned methods; /* set of HTTP_METHOD_BIT() */
	bool at_most_once;
	struct policy policy; /* effective for the ingress's zone */
	struct table_service *service;
};

struct table_service {
	char *name;
	char *deployment;	      /* NULL when it belongs to none */
	struct policy policy;	      /* effective for the ingress's zone */
	struct table_target *targets; /* sorted by host */
	size_t nr_targets;
	struct table_route *routes; /* sorted by name */
	size_t nr_routes;
};

struct table_index;
struct string_store;

struct table {
	struct version_id id;
	struct table_service *services; /* sorted by name */
	size_t nr_services;
	struct table_index *index;    /* private */
	struct string_store *strings; /* private; owns all strings */
};

/*
 * Builds the table for an ingress in the given zone. Without a zone (NULL or
 * one that the tree lacks) no zone override applies to caller-side keys. The
 * table does not need the tree afterwards.
 */
struct table *table_new(const struct tree *tree, const struct version_id *id,
			const char *ingress_zone);
void table_free(struct table *table);
DEFINE_CLEANUP(struct table, table_free)

/* Bytes of memory that the table holds, its strings included. */
size_t table_memory(const struct table *table);

/*
 * Finds the route of a path without query string: the longest prefix that ends
 * at the end of a path segment, then the method. NULL when no prefix matches or
 * no route with the longest one has the method; a shorter prefix is not
 * tried then, so that a method missing from an at_most_once route cannot
 * reach a less strict route. Takes time in the length of the longest prefix,
 * not in the number of routes.
 */
const struct table_route *table_match(const struct table *table,
				      enum http_method method,
				      const char *path);

/* Look-ups by name; NULL when there is none. */
const struct table_service *table_find_service(const struct table *table,
					       const char *name);
const struct table_route *table_find_route(const struct table_service *service,
					   const char *name);
const struct table_target *
table_find_target(const struct table_service *service, const char *host);

/* Parts and manifest of a published version. */

struct part {
	char *name; /* "root" or "service/NAME" */
	struct digest digest;
	char *data;
	size_t len;
};

struct bundle {
	struct version_id id;
	char *manifest;
	size_t manifest_len;
	struct part *parts; /* in the order of the manifest */
	size_t nr_parts;
};

/*
 * Divides a tree into parts and their manifest. Returns NULL and adds an
 * error when a part or the manifest is above TREE_PART_BYTES_MAX.
 */
struct bundle *tree_split(const struct tree *tree, struct findings *findings);
void bundle_free(struct bundle *bundle);
DEFINE_CLEANUP(struct bundle, bundle_free)

struct manifest_entry {
	char *name;
	struct digest digest;
	size_t bytes;
};

struct manifest {
	struct version_id id;
	struct manifest_entry *entries; /* sorted by name */
	size_t nr_entries;
};

/* Parses a manifest; NULL when there is any error finding. */
struct manifest *manifest_parse(const char *data, size_t len,
				struct findings *findings);
void manifest_free(struct manifest *manifest);
DEFINE_CLEANUP(struct manifest, manifest_free)

/*
 * Builds a tree from the parts of a manifest. part_data[i] holds
 * entries[i].bytes bytes, whose digest the caller has verified. The result
 * depends on the manifest and the parts only, and validation is that of
 * tree_parse(); paths of findings start with the name of the part
 * (/root/zones/z1, /service/portal/routes/0). Returns NULL when there is any
 * error finding.
 */
struct tree *tree_assemble(const struct manifest *manifest,
			   const char *const *part_data,
			   struct findings *findings);

/*
 * Builds the table of a version from its parts, as tree_assemble() and
 * table_new() do: the same table, and NULL when tree_assemble() gives NULL.
 * The services whose parts are those of base_manifest are copied from base,
 * the table of that version for the same ingress zone, and only the others
 * are parsed; warnings about the copied ones are not repeated. Returns NULL
 * also when an incremental update is not possible: the part root differs, no
 * service is unchanged, there is any finding in the changed parts, a limit is
 * exceeded, or a changed and an unchanged service use the same host, address,
 * route name, or prefix and method. The calling code then builds the table from
 * all parts, which reports the findings.
 */
struct table *table_update(const struct table *base,
			   const struct manifest *base_manifest,
			   const struct manifest *manifest,
			   const char *const *part_data,
			   const char *ingress_zone);

/* Explanation of effective values. */

enum tree_error {
	TREE_ERROR_NOT_FOUND /* no such service, route, zone or target */
};

#define TREE_ERROR tree_error_quark()
GQuark tree_error_quark(void);

struct explain_query {
	/* SERVICE, SERVICE/ROUTE, or a URL path that starts with "/". */
	const char *path;
	/* Method for a URL path; NULL takes the first that has a route. */
	const char *method;
	/* Zone for caller-side keys; NULL for no zone override. */
	const char *ingress_zone;
	/* Target for target-side keys; NULL for no zone override. */
	const char *target_host;
};

struct explained_value {
	char *level; /* such as "built-in", "defaults" or "zone z1" */
	char *value;
};

struct explained_key {
	const char *key;
	bool target_side;
	/* From the lowest level to the highest; the last is in force. */
	struct explained_value *values;
	size_t nr_values;
};

struct explanation {
	char *service;
	char *route;	    /* NULL for a service alone */
	char *ingress_zone; /* NULL when none was given */
	char *target_host;  /* NULL when none was given */
	/* Of the target: */
	char *target_zone;
	bool target_in_service; /* of the target alone */
	bool zone_in_service;	/* of its zone */
	struct explained_key *keys;
	size_t nr_keys;
};

/* Explains each key; NULL with an error when an object is not found. */
struct explanation *tree_explain(const struct tree *tree,
				 const struct explain_query *query,
				 GError **error);
void explanation_free(struct explanation *explanation);
DEFINE_CLEANUP(struct explanation, explanation_free)

/* Appends one line for each key. */
void explanation_print(const struct explanation *explanation, GString *out);

/* The explanation as a JSON object; the caller owns the reference. */
json_t *explanation_to_json(const struct explanation *explanation);

/*
 * Appends one line for each effective change between two trees, by service,
 * route and target. Returns the number of changes; a new version number
 * alone is none.
 */
size_t tree_diff(const struct tree *old_tree, const struct tree *new_tree,
		 GString *out);

#endif

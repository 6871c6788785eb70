#ifndef MESH_EXPLAIN_H
#define MESH_EXPLAIN_H

#include "mesh/view.h"

/*
 * Explains how a view serves requests for a host and path: the selected route,
 * each effective value and the level that set it, and how many backend servers
 * of each service are registered and in service. Pure: no I/O, no clock.
 */

struct mesh_explain_query {
	const char *host;
	const char *path;
};

/*
 * Returns NULL when the view has no configuration or no route for the query.
 * The object has "version", "route", "values" (each with "key", "value" and
 * "from") and "services".
 */
json_t *mesh_explain(const struct mesh_view *view,
		     const struct mesh_explain_query *query);

/* Appends the explanation to text, one line for each entry. */
void mesh_explain_print(const json_t *explanation, GString *text);

#endif

#ifndef MESH_EXPLAIN_H
#define MESH_EXPLAIN_H

#include "mesh/view.h"

/*
 * What a view says of the requests for a host and path: the route that is
 * selected, each value by which it is served and what gave it, and how many of
 * the services' backend servers may get work. Pure.
 */

struct mesh_explain_query {
	const char *host;
	const char *path;
};

/*
 * NULL when the view has no configuration or no route for it. The object has
 * "version", "route", "values" (of "key", "value" and "from") and "services".
 */
json_t *mesh_explain(const struct mesh_view *view,
		     const struct mesh_explain_query *query);

/* The same as lines of text. */
void mesh_explain_print(const json_t *explanation, GString *text);

#endif

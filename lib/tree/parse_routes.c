#include <string.h>

#include "tree/parse_internal.h"

/* The routes of a service: names, prefixes and methods. */

/* Paths below this one are answered by the daemon itself. */
#define RESERVED_PREFIX "/.godwitspur"

/* The safe methods of HTTP (RFC 9110), whose requests need no ticket. */
#define SAFE_METHODS                         \
	(HTTP_METHOD_BIT(HTTP_METHOD_GET) |  \
	 HTTP_METHOD_BIT(HTTP_METHOD_HEAD) | \
	 HTTP_METHOD_BIT(HTTP_METHOD_OPTIONS))

/* Describes the fault of a prefix; NULL when the prefix is valid. */
static const char *prefix_fault(const char *prefix)
{
	size_t len = strlen(prefix);

	if (prefix[0] != '/')
		return "does not start with \"/\"";
	for (const char *p = prefix; *p; p++)
		if ((unsigned char)*p <= 0x20 || *p == 0x7f || *p == '?' ||
		    *p == '#')
			return "holds a character not allowed in a path";
	if (strstr(prefix, "//"))
		return "holds an empty path segment";
	if (len > 1 && prefix[len - 1] == '/')
		return "ends with \"/\"";
	if (g_str_has_prefix(prefix, RESERVED_PREFIX) &&
	    strchr("/", prefix[strlen(RESERVED_PREFIX)]))
		return "is reserved for the daemon";
	return NULL;
}

static void parse_prefix(struct parse *parse, json_t *json,
			 struct tree_route *route)
{
	struct checker *checker = &parse->checker;
	const char *prefix = check_string(checker, json, "prefix", true);
	const char *fault;

	if (!prefix)
		return;
	fault = prefix_fault(prefix);
	if (fault)
		check_error(checker, "prefix", "\"%s\" %s",
			    check_printable(checker, prefix), fault);
	else
		route->prefix = parse_keep(parse, prefix);
}

static void parse_methods(struct parse *parse, json_t *json,
			  struct tree_route *route)
{
	struct checker *checker = &parse->checker;
	json_t *array =
		check_member(checker, json, "methods", JSON_ARRAY, true);
	enum http_method method;
	const char *name;
	json_t *value;
	size_t i, len;

	if (!array)
		return;
	if (!json_array_size(array))
		check_error(checker, "methods", "no methods");
	len = checker_push(checker, "methods");
	json_array_foreach (array, i, value) {
		size_t inner = checker_push_index(checker, i);

		if (check_type(checker, NULL, value, JSON_STRING)) {
			name = json_string_value(value);
			if (!http_method_parse(name, &method))
				check_error(checker, NULL,
					    "unknown method \"%s\"",
					    check_printable(checker, name));
			else if (route->methods & HTTP_METHOD_BIT(method))
				check_error(checker, NULL,
					    "duplicate method %s", name);
			else
				route->methods |= HTTP_METHOD_BIT(method);
		}
		checker_pop(checker, inner);
	}
	checker_pop(checker, len);
}

static void check_route_name(struct parse *parse, struct tree_route *route)
{
	const struct tree_route *other =
		g_hash_table_lookup(parse->routes, route->name);

	if (!other)
		g_hash_table_insert(parse->routes, route->name, route);
	else
		check_error(&parse->checker, "name",
			    "duplicate route name \"%s\", also in service "
			    "\"%s\"",
			    route->name,
			    check_printable(&parse->checker,
					    other->service->name));
}

/* Reports methods that another route with the same prefix also has. */
static void check_route_key(struct parse *parse, struct tree_route *route)
{
	struct tree_route *first =
		g_hash_table_lookup(parse->prefixes, route->prefix);
	struct checker *checker = &parse->checker;
	bool overlaps = false;

	for (struct tree_route *other = first; other;
	     other = other->same_prefix) {
		unsigned both = other->methods & route->methods;

		for (int i = 0; i < HTTP_METHOD_COUNT; i++) {
			if (!(both & HTTP_METHOD_BIT(i)))
				continue;
			overlaps = true;
			check_error(checker, "prefix",
				    "duplicate prefix and method: %s \"%s\" "
				    "is also a route of service \"%s\"",
				    http_method_name((enum http_method)i),
				    check_printable(checker, route->prefix),
				    check_printable(checker,
						    other->service->name));
		}
	}
	/* Only disjoint routes are kept, so a list has at most one for each
	 * method, however many duplicates a document holds. */
	if (overlaps || !route->methods)
		return;
	route->same_prefix = first;
	g_hash_table_insert(parse->prefixes, route->prefix, route);
}

static void parse_route(struct parse *parse, json_t *json,
			struct tree_route *route)
{
	static const char *const known[] = { "name",	 "prefix",
					     "methods",	 "at_most_once",
					     "override", NULL };
	struct checker *checker = &parse->checker;
	struct override override = { 0 };

	if (!check_type(checker, NULL, json, JSON_OBJECT))
		return;
	check_keys(checker, json, known);
	route->name = parse_keep(parse, check_name_member(checker, json, "name",
							  true));
	if (route->name)
		check_route_name(parse, route);
	parse_prefix(parse, json, route);
	parse_methods(parse, json, route);
	if (route->prefix)
		check_route_key(parse, route);
	route->at_most_once = check_bool(checker, json, "at_most_once", false);
	if (route->at_most_once && (route->methods & SAFE_METHODS))
		check_error(checker, "methods",
			    "GET, HEAD and OPTIONS are not allowed in a route "
			    "with at_most_once");
	parse_override(checker, json, "override",
		       policy_side_keys(POLICY_CALLER_SIDE), &override);
	if (override.set)
		route->override = g_memdup2(&override, sizeof(override));
}

void parse_routes(struct parse *parse, json_t *json,
		  struct tree_service *service)
{
	struct checker *checker = &parse->checker;
	json_t *array =
		check_member(checker, json, "routes", JSON_ARRAY, false);
	size_t outer, len;

	if (!json_array_size(array))
		return;
	service->nr_routes = json_array_size(array);
	service->routes = g_new0(struct tree_route, service->nr_routes);
	outer = checker_push(checker, "routes");
	for (size_t i = 0; i < service->nr_routes; i++) {
		service->routes[i].service = service;
		len = checker_push_index(checker, i);
		parse_route(parse, json_array_get(array, i),
			    &service->routes[i]);
		checker_pop(checker, len);
	}
	checker_pop(checker, outer);
}

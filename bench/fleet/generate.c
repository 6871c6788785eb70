#include <inttypes.h>

#include "fleet/generate.h"

#define ROUTE_BYTES 198	 /* about, in compact JSON */
#define TARGET_BYTES 68	 /* about, in compact JSON */
#define SERVICE_BYTES 80 /* about, without targets and routes */
#define DEADLINE_RANGE 10000

/* Returns the number that changes in this route from version to version. */
static int change_of(const struct generate *generate, int service, int route)
{
	if (service == 0 && route == 0)
		return generate->all + generate->route;
	if (service == 1)
		return generate->all + generate->service;
	return generate->all;
}

static void add_route(GString *text, const struct generate *generate,
		      int service, int route)
{
	int deadline =
		1 + (route * 7 + change_of(generate, service, route) * 13) %
			    DEADLINE_RANGE;

	g_string_append_printf(
		text,
		"%s{\"name\":\"service-%d-route-%d\",\"prefix\":"
		"\"/service-%d/resource-%d/items\",\"methods\":[\"GET\","
		"\"POST\"],\"override\":{\"deadline_ms\":%d,\"priority\":"
		"\"order\",\"retry_max\":1,\"retry_ratio_percent\":20}}",
		route ? "," : "", service, route, service, route, deadline);
}

static void add_service(GString *text, const struct generate *generate,
			int service, int nr_routes)
{
	g_string_append_printf(text,
			       "%s\"service-%d\":{\"deployment\":\"d\","
			       "\"override\":{\"slots\":10},\"targets\":[",
			       service ? "," : "", service);
	for (int j = service; j < GENERATE_TARGETS; j += GENERATE_SERVICES)
		g_string_append_printf(
			text,
			"%s{\"host\":\"h%d\",\"zone\":\"z%d\",\"traffic\":"
			"\"127.0.%d.%d:7002\"}",
			j > service ? "," : "", j, j % GENERATE_ZONES,
			1 + j / 250, 1 + j % 250);
	g_string_append(text, "],\"routes\":[");
	for (int j = 0; j < nr_routes; j++)
		add_route(text, generate, service, j);
	g_string_append(text, "]}");
}

GString *generate_tree(const struct generate *generate)
{
	size_t fixed = GENERATE_SERVICES * SERVICE_BYTES +
		       GENERATE_TARGETS * TARGET_BYTES;
	size_t room = generate->bytes > fixed ? generate->bytes - fixed : 0;
	int nr_routes =
		MAX(1, (int)(room / ((size_t)GENERATE_SERVICES * ROUTE_BYTES)));
	GString *text = g_string_new(NULL);

	g_string_append_printf(text,
			       "{\"version\":%" PRId64 ",\"defaults\":{},"
			       "\"deployments\":{\"d\":{}},\"zones\":{",
			       generate->version);
	for (int i = 0; i < GENERATE_ZONES; i++)
		g_string_append_printf(text,
				       "%s\"z%d\":{\"region\":\"r%d\","
				       "\"override\":{\"deadline_ms\":900}}",
				       i ? "," : "", i, i / 3);
	g_string_append(text, "},\"services\":{");
	for (int i = 0; i < GENERATE_SERVICES; i++)
		add_service(text, generate, i, nr_routes);
	return g_string_append(text, "}}");
}

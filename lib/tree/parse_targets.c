#include <arpa/inet.h>
#include <string.h>

#include "tree/parse_internal.h"

/* The targets of a service: hosts, zones and addresses. */

/* A decimal port 1 to 65535 without leading zeros; 0 for anything else. */
static unsigned parse_port(const char *text)
{
	unsigned port = 0;

	if (*text < '1' || *text > '9')
		return 0;
	for (; *text; text++) {
		if (!g_ascii_isdigit(*text))
			return 0;
		port = port * 10 + (unsigned)(*text - '0');
		if (port > 65535)
			return 0;
	}
	return port;
}

char *tree_canonical_address(const char *text)
{
	const char *colon = strrchr(text, ':');
	bool bracketed = text[0] == '[';
	int family = bracketed ? AF_INET6 : AF_INET;
	char host[INET6_ADDRSTRLEN];
	unsigned char address[sizeof(struct in6_addr)];
	unsigned port;
	size_t len;

	if (!colon)
		return NULL;
	len = (size_t)(colon - text);
	if (bracketed) {
		if (len < 2 || text[len - 1] != ']')
			return NULL;
		text++;
		len -= 2;
	}
	if (len >= sizeof(host))
		return NULL;
	memcpy(host, text, len);
	host[len] = '\0';
	port = parse_port(colon + 1);
	if (!port || inet_pton(family, host, address) != 1)
		return NULL;
	inet_ntop(family, address, host, sizeof(host));
	return g_strdup_printf("%s %u", host, port);
}

static void check_address(struct parse *parse, const char *text,
			  struct tree_target *target)
{
	struct checker *checker = &parse->checker;
	char *address = tree_canonical_address(text);
	const struct tree_target *other;

	if (!address) {
		check_error(checker, "traffic",
			    "\"%s\" is not IPv4:port or [IPv6]:port",
			    check_printable(checker, text));
		return;
	}
	other = g_hash_table_lookup(parse->addresses, address);
	if (!other) {
		g_hash_table_insert(parse->addresses, address, target);
		return;
	}
	check_error(checker, "traffic",
		    "duplicate address %s, also used in service \"%s\"",
		    check_printable(checker, text),
		    check_printable(checker, other->service->name));
	g_free(address);
}

static void check_host(struct parse *parse, struct tree_target *target)
{
	const struct tree_target *other =
		g_hash_table_lookup(parse->hosts, target->host);

	if (!other)
		g_hash_table_insert(parse->hosts, target->host, target);
	else
		check_error(&parse->checker, "host",
			    "duplicate host \"%s\", also in service \"%s\"",
			    target->host,
			    check_printable(&parse->checker,
					    other->service->name));
}

static void parse_target_zone(struct parse *parse, json_t *json,
			      struct tree_target *target)
{
	const struct tree_deployment *wanted = target->service->deployment;
	struct checker *checker = &parse->checker;
	const char *name = check_name_member(checker, json, "zone", true);

	if (!name)
		return;
	target->zone = tree_find_zone(parse->tree, name);
	if (!target->zone)
		check_error(checker, "zone", "unknown zone \"%s\"", name);
	else if (wanted && target->zone->deployment &&
		 wanted != target->zone->deployment)
		check_error(checker, "zone",
			    "zone \"%s\" belongs to deployment \"%s\", the "
			    "service to \"%s\"",
			    name,
			    check_printable(checker,
					    target->zone->deployment->name),
			    check_printable(checker, wanted->name));
}

static void parse_target(struct parse *parse, json_t *json,
			 struct tree_target *target)
{
	static const char *const known[] = { "host", "zone", "traffic",
					     "in_service", NULL };
	struct checker *checker = &parse->checker;
	const char *traffic;

	if (!check_type(checker, NULL, json, JSON_OBJECT))
		return;
	check_keys(checker, json, known);
	target->host = parse_keep(parse, check_name_member(checker, json,
							   "host", true));
	if (target->host)
		check_host(parse, target);
	parse_target_zone(parse, json, target);
	traffic = check_string(checker, json, "traffic", true);
	target->traffic = parse_keep(parse, traffic);
	if (traffic)
		check_address(parse, traffic, target);
	target->in_service = check_bool(checker, json, "in_service", true);
}

void parse_targets(struct parse *parse, json_t *json,
		   struct tree_service *service)
{
	struct checker *checker = &parse->checker;
	json_t *array =
		check_member(checker, json, "targets", JSON_ARRAY, false);
	size_t outer, len;

	if (!json_array_size(array)) {
		if (array || !json_object_get(json, "targets"))
			check_warning(checker, NULL, "service without target");
		return;
	}
	service->nr_targets = json_array_size(array);
	parse->nr_targets += service->nr_targets;
	service->targets = g_new0(struct tree_target, service->nr_targets);
	outer = checker_push(checker, "targets");
	for (size_t i = 0; i < service->nr_targets; i++) {
		service->targets[i].service = service;
		len = checker_push_index(checker, i);
		parse_target(parse, json_array_get(array, i),
			     &service->targets[i]);
		checker_pop(checker, len);
	}
	checker_pop(checker, outer);
}

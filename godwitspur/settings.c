#include <jansson.h>
#include <string.h>

#include "settings.h"

#define SOURCE_INTERVAL_MS_DEFAULT 1000
#define SOURCE_INTERVAL_MS_MAX 60000
#define NAME_MAX_BYTES 63

/* The file that is being read, and the list that receives findings. */
struct reader {
	const char *file;
	json_t *root;
	struct findings *findings;
};

static void add_error(struct reader *reader, const char *key,
		      const char *message)
{
	g_autofree char *path = g_strdup_printf("/%s", key);

	findings_add(reader->findings, FINDING_ERROR, reader->file, path, "%s",
		     message);
}

static const char *read_text(struct reader *reader, const char *key,
			     bool required)
{
	json_t *value = json_object_get(reader->root, key);

	if (!value && required)
		add_error(reader, key, "missing");
	else if (value && !json_is_string(value))
		add_error(reader, key, "must be a string");
	return json_string_value(value);
}

static bool is_name(const char *text)
{
	static const char allowed[] = "abcdefghijklmnopqrstuvwxyz0123456789-";
	size_t len = strlen(text);

	return len && len <= NAME_MAX_BYTES && *text != '-' &&
	       strspn(text, allowed) == len;
}

static char *read_name(struct reader *reader, const char *key)
{
	const char *text = read_text(reader, key, true);

	if (text && !is_name(text))
		add_error(reader, key, "must match [a-z0-9][a-z0-9-]{0,62}");
	return g_strdup(text);
}

static bool read_address(struct reader *reader, const char *key, bool required,
			 struct net_address *address)
{
	const char *text = read_text(reader, key, required);
	g_autoptr(GError) error = NULL;

	if (!text)
		return false;
	if (net_address_parse(address, text, &error))
		return true;
	add_error(reader, key, error->message);
	return false;
}

static char **read_seeds(struct reader *reader)
{
	json_t *array = json_object_get(reader->root, "seeds");
	GPtrArray *seeds = g_ptr_array_new();
	json_t *value;
	size_t i;

	if (array && !json_is_array(array))
		add_error(reader, "seeds", "must be an array of addresses");
	json_array_foreach (array, i, value) {
		g_autofree char *key = g_strdup_printf("seeds/%zu", i);
		g_autoptr(GError) error = NULL;
		struct net_address address;

		if (!json_is_string(value))
			add_error(reader, key, "must be a string");
		else if (!net_address_parse(&address, json_string_value(value),
					    &error))
			add_error(reader, key, error->message);
		else
			g_ptr_array_add(seeds,
					g_strdup(json_string_value(value)));
	}
	g_ptr_array_add(seeds, NULL);
	return (char **)g_ptr_array_free(seeds, FALSE);
}

static int64_t read_interval(struct reader *reader, const char *key)
{
	json_t *value = json_object_get(reader->root, key);

	if (!value)
		return SOURCE_INTERVAL_MS_DEFAULT;
	if (!json_is_integer(value) || json_integer_value(value) < 1 ||
	    json_integer_value(value) > SOURCE_INTERVAL_MS_MAX) {
		add_error(reader, key, "must be an integer from 1 to 60000");
		return SOURCE_INTERVAL_MS_DEFAULT;
	}
	return json_integer_value(value);
}

static const struct balance_policy *read_balance_policy(struct reader *reader)
{
	const char *name = read_text(reader, "balance_policy", false);
	const struct balance_policy *policy =
		name ? balance_policy_find(name) : &balance_two_choices;

	if (!policy)
		add_error(reader, "balance_policy",
			  "must be round-robin, least-in-flight or "
			  "two-choices");
	return policy;
}

static const struct admit_limit_policy *read_limit_policy(struct reader *reader)
{
	static const struct admit_limit_policy *const policies[] = {
		&admit_limit_observed,
		&admit_limit_time,
		&admit_limit_fixed,
	};
	const char *name = read_text(reader, "limit_policy", false);

	if (!name)
		return &admit_limit_observed;
	for (size_t i = 0; i < G_N_ELEMENTS(policies); i++)
		if (!strcmp(policies[i]->name, name))
			return policies[i];
	add_error(reader, "limit_policy", "must be observed, time or fixed");
	return NULL;
}

static const struct dist_policy *read_policy(struct reader *reader)
{
	const char *text = read_text(reader, "distribution", false);

	if (!text || !strcmp(text, "gossip"))
		return &dist_policy_gossip;
	if (!strcmp(text, "direct"))
		return &dist_policy_direct;
	add_error(reader, "distribution", "must be \"gossip\" or \"direct\"");
	return &dist_policy_gossip;
}

static void check_keys(struct reader *reader)
{
	static const char *const known[] = {
		"host",		  "zone",
		"region",	  "caller",
		"traffic",	  "control",
		"operator",	  "backend",
		"source",	  "host_list",
		"seeds",	  "source_interval_ms",
		"balance_policy", "limit_policy",
		"distribution",	  NULL,
	};
	json_t *value;
	const char *key;

	json_object_foreach (reader->root, key, value) {
		if (!g_strv_contains(known, key))
			add_error(reader, key, "unknown key");
	}
}

static struct settings *read_all(struct reader *reader)
{
	struct settings *settings = g_new0(struct settings, 1);

	check_keys(reader);
	settings->host = read_name(reader, "host");
	settings->zone = read_name(reader, "zone");
	settings->region = read_name(reader, "region");
	read_address(reader, "caller", true, &settings->caller);
	read_address(reader, "traffic", true, &settings->traffic);
	read_address(reader, "control", true, &settings->control);
	read_address(reader, "operator", true, &settings->operator);
	read_address(reader, "source", true, &settings->source);
	read_address(reader, "host_list", true, &settings->host_list);
	settings->has_backend =
		read_address(reader, "backend", false, &settings->backend);
	settings->control_text = g_strdup(read_text(reader, "control", false));
	settings->seeds = read_seeds(reader);
	settings->source_interval_ms =
		read_interval(reader, "source_interval_ms");
	settings->balance_policy = read_balance_policy(reader);
	settings->limit_policy = read_limit_policy(reader);
	settings->policy = read_policy(reader);
	return settings;
}

struct settings *settings_read(const char *file, struct findings *findings)
{
	struct reader reader = { .file = file, .findings = findings };
	struct settings *settings = NULL;
	json_error_t error;

	reader.root = json_load_file(file, JSON_REJECT_DUPLICATES, &error);
	if (!reader.root) {
		findings_add_at(findings, file, MAX(error.line, 1),
				MAX(error.column, 1), "%s", error.text);
		return NULL;
	}
	if (json_is_object(reader.root))
		settings = read_all(&reader);
	else
		add_error(&reader, "", "must be an object");
	json_decref(reader.root);
	if (settings && findings->nr_errors) {
		settings_free(settings);
		settings = NULL;
	}
	return settings;
}

void settings_free(struct settings *settings)
{
	g_free(settings->host);
	g_free(settings->zone);
	g_free(settings->region);
	g_free(settings->control_text);
	g_strfreev(settings->seeds);
	g_free(settings);
}

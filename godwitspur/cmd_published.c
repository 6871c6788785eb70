#include "cmd_published.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "commands.h"
#include "mesh/explain.h"
#include "platform/platform.h"

static struct mesh_config *read_config(const char *file)
{
	g_autoptr(GError) error = NULL;
	g_autoptr(GBytes) value = NULL;
	g_autofree char *reason = NULL;
	struct mesh_config *config;
	char *text;
	gsize len;

	if (!g_file_get_contents(file, &text, &len, &error)) {
		fprintf(stderr, "godwitspur: %s\n", error->message);
		return NULL;
	}
	value = g_bytes_new_take(text, len);
	config = platform_decode_config(value, &reason);
	if (!config)
		fprintf(stderr, "%s: error: %s\n", file, reason);
	return config;
}

int cmd_check_published(const char *file)
{
	CLEANUP(mesh_config_unrefp)
	struct mesh_config *config = read_config(file);

	if (!config)
		return CMD_FAILED;
	printf("%s: version %" PRId64 " is valid, %u routes, %u services\n",
	       file, config->version, config->routes->len,
	       g_hash_table_size(config->services));
	return CMD_OK;
}

static void print_json(const json_t *explanation)
{
	json_dumpf(explanation, stdout, JSON_INDENT(2));
	putchar('\n');
}

static void print_text(const json_t *explanation)
{
	g_autoptr(GString) text = g_string_new(NULL);

	mesh_explain_print(explanation, text);
	fputs(text->str, stdout);
}

int cmd_explain_published(const char *file, const char *host_path, bool as_json)
{
	CLEANUP(mesh_config_unrefp)
	struct mesh_config *config = read_config(file);
	CLEANUP(mesh_view_unrefp) struct mesh_view *view = NULL;
	g_autofree char *host = g_strndup(host_path, strcspn(host_path, "/"));
	const struct mesh_explain_query query = {
		.host = host,
		.path = host_path + strlen(host),
	};
	json_t *explanation;

	if (!config)
		return CMD_FAILED;
	view = mesh_view_new(config);
	explanation = mesh_explain(view, &query);
	if (!explanation) {
		fprintf(stderr, "godwitspur: %s: no route for %s\n", file,
			host_path);
		return CMD_FAILED;
	}
	if (as_json)
		print_json(explanation);
	else
		print_text(explanation);
	json_decref(explanation);
	return CMD_OK;
}

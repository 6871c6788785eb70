#include <stdio.h>

#include "cmd_published.h"
#include "cmd_tree.h"

static void print_json(const struct explanation *explanation)
{
	json_t *json = explanation_to_json(explanation);

	json_dumpf(json, stdout, JSON_INDENT(2));
	putchar('\n');
	json_decref(json);
}

static void print_text(const struct explanation *explanation)
{
	g_autoptr(GString) text = g_string_new(NULL);

	explanation_print(explanation, text);
	fputs(text->str, stdout);
}

static int explain(const char *file, const struct explain_query *query,
		   bool as_json)
{
	CLEANUP(tree_freep) struct tree *tree = cmd_read_tree(file);
	CLEANUP(explanation_freep) struct explanation *explanation = NULL;
	g_autoptr(GError) error = NULL;

	if (!tree)
		return CMD_FAILED;
	explanation = tree_explain(tree, query, &error);
	if (!explanation) {
		fprintf(stderr, "godwitspur: %s: %s\n", file, error->message);
		return CMD_FAILED;
	}
	if (as_json)
		print_json(explanation);
	else
		print_text(explanation);
	return CMD_OK;
}

static const char *optional(const struct arg_str *arg)
{
	return arg->count ? arg->sval[0] : NULL;
}

int cmd_explain(int argc, char **argv)
{
	struct arg_lit *help = arg_lit0(NULL, "help", "print this help");
	struct arg_lit *json = arg_lit0(NULL, "json", "print JSON");
	struct arg_lit *published =
		arg_lit0(NULL, "published",
			 "FILE is a configuration of the users' platform, PATH "
			 "a host and a path");
	struct arg_str *method =
		arg_str0(NULL, "method", "METHOD", "method of the URL path");
	struct arg_str *zone = arg_str0(NULL, "zone", "ZONE",
					"zone of the ingress, for the keys of "
					"the caller side");
	struct arg_str *target = arg_str0(NULL, "target", "HOST",
					  "host of a target, for the keys of "
					  "the target side");
	struct arg_file *file = arg_file1(NULL, NULL, "FILE", "tree to read");
	struct arg_str *path = arg_str1(NULL, NULL, "PATH",
					"SERVICE, SERVICE/ROUTE or a URL path");
	struct arg_end *end = arg_end(10);
	void *argtable[] = { help,   json, published, method, zone,
			     target, file, path,      end };
	int status;

	if (cmd_parse_args(argc, argv, argtable, help, end,
			   "Prints the effective value of each key, the level "
			   "that set it and\nthe values that it overrides.",
			   &status)) {
		struct explain_query query = { .path = path->sval[0],
					       .method = optional(method),
					       .ingress_zone = optional(zone),
					       .target_host =
						       optional(target) };

		status = published->count
				 ? cmd_explain_published(file->filename[0],
							 path->sval[0],
							 json->count > 0)
				 : explain(file->filename[0], &query,
					   json->count > 0);
	}
	arg_freetable(argtable, G_N_ELEMENTS(argtable));
	return status;
}

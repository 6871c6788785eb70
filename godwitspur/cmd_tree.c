#include <stdio.h>

#include "cmd_tree.h"

bool cmd_parse_args(int argc, char **argv, void **argtable,
		    const struct arg_lit *help, struct arg_end *end,
		    const char *summary, int *status)
{
	int nr_errors = arg_parse(argc, argv, argtable);

	if (help->count) {
		printf("usage: godwitspur %s", argv[0]);
		arg_print_syntax(stdout, argtable, "\n");
		printf("%s\n", summary);
		arg_print_glossary(stdout, argtable, "  %-24s %s\n");
		*status = CMD_OK;
		return false;
	}
	if (!nr_errors)
		return true;
	arg_print_errors(stderr, end, argv[0]);
	fprintf(stderr, "usage: godwitspur %s", argv[0]);
	arg_print_syntax(stderr, argtable, "\n");
	*status = CMD_USAGE;
	return false;
}

struct tree *cmd_read_tree(const char *file)
{
	g_autoptr(GError) error = NULL;
	g_autofree char *text = NULL;
	struct findings findings;
	struct tree *tree;
	gsize len;

	if (!g_file_get_contents(file, &text, &len, &error)) {
		fprintf(stderr, "godwitspur: %s\n", error->message);
		return NULL;
	}
	findings_init(&findings);
	tree = tree_parse(text, len, file, &findings);
	findings_print(&findings, stderr);
	findings_release(&findings);
	return tree;
}

#include <stdio.h>

#include "cmd_tree.h"

static int diff(const char *old_file, const char *new_file)
{
	CLEANUP(tree_freep) struct tree *old_tree = cmd_read_tree(old_file);
	CLEANUP(tree_freep) struct tree *new_tree = cmd_read_tree(new_file);
	g_autoptr(GString) text = g_string_new(NULL);

	if (!old_tree || !new_tree)
		return CMD_FAILED;
	if (tree_diff(old_tree, new_tree, text))
		fputs(text->str, stdout);
	else
		puts("no effective changes");
	return CMD_OK;
}

int cmd_diff(int argc, char **argv)
{
	struct arg_lit *help = arg_lit0(NULL, "help", "print this help");
	struct arg_file *old_file =
		arg_file1(NULL, NULL, "OLD", "tree before the change");
	struct arg_file *new_file =
		arg_file1(NULL, NULL, "NEW", "tree after the change");
	struct arg_end *end = arg_end(10);
	void *argtable[] = { help, old_file, new_file, end };
	int status;

	if (cmd_parse_args(argc, argv, argtable, help, end,
			   "Prints the effective changes by zone, service, "
			   "target and route.",
			   &status))
		status = diff(old_file->filename[0], new_file->filename[0]);
	arg_freetable(argtable, G_N_ELEMENTS(argtable));
	return status;
}

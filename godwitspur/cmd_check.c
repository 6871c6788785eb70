#include <inttypes.h>
#include <stdio.h>

#include "cmd_published.h"
#include "cmd_tree.h"

static int check(const char *file)
{
	CLEANUP(tree_freep) struct tree *tree = cmd_read_tree(file);

	if (!tree)
		return CMD_FAILED;
	printf("%s: version %" PRId64 " is valid\n", file, tree_version(tree));
	return CMD_OK;
}

int cmd_check(int argc, char **argv)
{
	struct arg_lit *help = arg_lit0(NULL, "help", "print this help");
	struct arg_lit *published =
		arg_lit0(NULL, "published",
			 "FILE is a configuration of the users' platform");
	struct arg_file *file = arg_file1(NULL, NULL, "FILE", "tree to check");
	struct arg_end *end = arg_end(10);
	void *argtable[] = { help, published, file, end };
	int status;

	if (cmd_parse_args(argc, argv, argtable, help, end,
			   "Validates a tree and prints all findings.",
			   &status))
		status = published->count
				 ? cmd_check_published(file->filename[0])
				 : check(file->filename[0]);
	arg_freetable(argtable, G_N_ELEMENTS(argtable));
	return status;
}

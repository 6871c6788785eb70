#ifndef GODWITSPUR_CMD_TREE_H
#define GODWITSPUR_CMD_TREE_H

#include <argtable2.h>

#include "commands.h"
#include "tree/tree.h"

/* Functions that subcommands share. */

/*
 * Parses the arguments of a subcommand. Returns true when the subcommand is to
 * run; otherwise help or errors have been printed and *status is the exit
 * status. The last element of argtable is end.
 */
bool cmd_parse_args(int argc, char **argv, void **argtable,
		    const struct arg_lit *help, struct arg_end *end,
		    const char *summary, int *status);

/*
 * Reads a tree from a file and prints its findings on standard error. Returns
 * NULL when the file cannot be read or the tree has errors.
 */
struct tree *cmd_read_tree(const char *file);

#endif

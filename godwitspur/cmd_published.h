#ifndef GODWITSPUR_CMD_PUBLISHED_H
#define GODWITSPUR_CMD_PUBLISHED_H

#include <stdbool.h>

/*
 * The subcommands check and explain for a file that holds a configuration as
 * published on the users' platform. Both return an exit status and print
 * errors on standard error.
 */

int cmd_check_published(const char *file);

/* host_path is a host and a path, such as a.example/orders/1. */
int cmd_explain_published(const char *file, const char *host_path,
			  bool as_json);

#endif

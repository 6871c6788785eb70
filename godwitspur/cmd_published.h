#ifndef GODWITSPUR_CMD_PUBLISHED_H
#define GODWITSPUR_CMD_PUBLISHED_H

#include <stdbool.h>

/*
 * check and explain for a configuration as it is published on the users'
 * platform, read from a file. Both return an exit status and print faults on
 * standard error.
 */

int cmd_check_published(const char *file);

/* The place is a host and a path, such as a.example/orders/1. */
int cmd_explain_published(const char *file, const char *place, bool as_json);

#endif

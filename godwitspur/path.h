#ifndef GODWITSPUR_PATH_H
#define GODWITSPUR_PATH_H

#include <stdbool.h>

/*
 * Whether a request path has the one spelling that routes are matched by: no
 * empty, "." or ".." segment, no control character or backslash, and no
 * percent-encoded letter, digit, "-", ".", "_", "~", "/", "\" or NUL (RFC 3986,
 * section 6.2.2). A backend server may take another spelling for the same
 * path, so it could pass by an at_most_once route.
 */
bool path_is_canonical(const char *path);

#endif

#ifndef GODWITSPUR_PATH_H
#define GODWITSPUR_PATH_H

#include <stdbool.h>

/*
 * Whether a request path is in normal form, in which routes are matched: no
 * empty segment but the last, no "." or ".." segment, no control character,
 * space or backslash, and no percent-encoded letter, digit, "-", ".", "_", "~",
 * "/", "\" or NUL (RFC 3986, section 6.2.2), nor an incomplete escape. A
 * backend server may treat another spelling as the same path, which would
 * bypass an at_most_once route.
 */
bool path_is_canonical(const char *path);

#endif

#ifndef BASE_JSON_H
#define BASE_JSON_H

#include <jansson.h>
#include <stddef.h>

/*
 * Parses JSON texts that other programs wrote. The library parses and frees
 * nested values by recursion and allows 2,048 levels, which takes more stack
 * than a thread may have, so the levels are counted before the text is parsed.
 */

/* Most levels of objects and arrays within each other. */
#define JSON_DEPTH_MAX 64

/*
 * Parses a text with the flags of json_loadb(). Returns a new reference, or
 * NULL and an error when the text is malformed or has more levels than
 * JSON_DEPTH_MAX.
 */
json_t *json_parse(const char *text, size_t len, size_t flags,
		   json_error_t *error);

#endif

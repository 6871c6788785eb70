#ifndef STANDINS_CONTENT_H
#define STANDINS_CONTENT_H

#include <stdint.h>
#include <sys/types.h>

/* Length of the repeated byte pattern; prime, so that tests detect swaps. */
#define CONTENT_PERIOD 251

/* A response body generated while it is sent: a text or a byte pattern. */
struct content {
	char *text; /* NULL for the pattern */
	uint64_t seed;
	uint64_t stop; /* position at which the connection is closed */
};

/* Callbacks of a libmicrohttpd response; cls is a struct content. */
ssize_t content_read(void *cls, uint64_t position, char *buffer, size_t max);
void content_free(void *cls);

#endif

#ifndef STANDINS_CONTENT_H
#define STANDINS_CONTENT_H

#include <stdint.h>
#include <sys/types.h>

/* Of the pattern; prime, so that swapped chunks are seen. */
#define CONTENT_PERIOD 251

/* An answer that is made while it is sent: a text or a pattern of bytes. */
struct content {
	char *text; /* NULL for the pattern */
	uint64_t seed;
	uint64_t stop; /* position at which the connection is broken off */
};

/* The callbacks of libmicrohttpd for a response; cls is the content. */
ssize_t content_read(void *cls, uint64_t position, char *buffer, size_t max);
void content_free(void *cls);

#endif

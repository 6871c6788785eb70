#ifndef SUPPORT_HTTP_H
#define SUPPORT_HTTP_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>

/*
 * One HTTP request of a test over its own connection, never repeated. Safe to
 * call from several threads.
 */

/* Fields left zero get the default. */
struct http_request {
	const char *address; /* 127.0.0.x:port */
	const char *method;  /* GET */
	const char *target;  /* / */
	const char *headers; /* lines "Name: value", each ended by \r\n */
	const void *body;    /* none */
	size_t body_len;
	int timeout_s;	    /* of each read and of the connect, 70 */
	const char *source; /* IP number to come from; NULL: any */
};

struct http_response {
	int status;	     /* 0 when no whole answer arrived */
	bool refused;	     /* the connection was refused */
	GHashTable *headers; /* names in lower case */
	GByteArray *body;    /* what arrived of it; NUL-terminated beyond len */
	char *error;	     /* why there was no whole answer, or NULL */
};

/*
 * Sends a request and reads the whole answer; the status is also the result.
 * The response is released with http_response_release() in every case.
 */
int http_send(const struct http_request *request,
	      struct http_response *response);

/* The value of a header, its name in lower case; NULL when absent. */
const char *http_header(const struct http_response *response, const char *name);

void http_response_release(struct http_response *response);

#endif

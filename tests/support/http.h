#ifndef SUPPORT_HTTP_H
#define SUPPORT_HTTP_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>

/*
 * HTTP client for tests. Each request uses its own connection and is never
 * retried. Safe to call from several threads.
 */

/* Fields that are zero have the default given beside them. */
struct http_request {
	const char *address; /* 127.0.0.x:port */
	const char *method;  /* GET */
	const char *target;  /* / */
	const char *headers; /* lines "Name: value", each ended by \r\n */
	const void *body;    /* none */
	size_t body_len;
	int timeout_s;	    /* of connect and each read; default 70 */
	const char *source; /* local IP address; NULL: any */
};

struct http_response {
	int status;	     /* 0 if no complete answer arrived */
	bool refused;	     /* the connection was refused */
	GHashTable *headers; /* names in lower case */
	GByteArray *body;    /* received part, with a NUL behind len */
	char *error;	     /* why no complete answer arrived, or NULL */
};

/*
 * Sends a request, reads the complete answer and returns its status. The caller
 * must call http_response_release(), also after a failure.
 */
int http_send(const struct http_request *request,
	      struct http_response *response);

/* Returns the header with this lower-case name; NULL if absent. */
const char *http_header(const struct http_response *response, const char *name);

void http_response_release(struct http_response *response);

#endif

#ifndef HTTP_MESSAGE_H
#define HTTP_MESSAGE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/cleanup.h"

/*
 * HTTP/1.1 messages held whole. Header fields that are passed on stay as
 * formatted lines; those with a role are also found by it. Which name has
 * which role is told by the owner of the connection, since the names belong to
 * the platform.
 */

enum http_role {
	HTTP_ROLE_NONE,	      /* passed on as it is */
	HTTP_ROLE_CONNECTION, /* concerns one connection; never passed on */
	HTTP_ROLE_HOST,
	HTTP_ROLE_REQUEST_ID,
	HTTP_ROLE_TIME_LEFT_MS,	    /* how long the caller waits */
	HTTP_ROLE_CALLER_SERVICE,   /* service beside which a request began */
	HTTP_ROLE_EXPECTED_BACKEND, /* id of the only server that may run it */
	HTTP_ROLE_BACKEND_ID,	    /* id of the answering server */
	HTTP_ROLE_RECEIPT,	    /* proof that a backend server answered */
	HTTP_ROLE_NOT_RUN,	    /* the server says that it ran nothing */
	HTTP_ROLE_LOAD,		    /* running, waiting, slots */
	HTTP_ROLE_COLD_LEFT_MS,	    /* how long the server stays cold */
	HTTP_ROLE_KEEP_ALIVE,
	HTTP_ROLE_ENCODING,
	HTTP_ROLE_EXPECT,
	HTTP_NR_ROLES
};

struct http_roles {
	/* The role of a field name, in any case of letters. */
	enum http_role (*find)(const char *name);
	/* Whether fields of a role are passed on. */
	bool (*is_passed_on)(enum http_role role);
};

struct http_message {
	char method[16];  /* requests */
	GString *target;  /* requests: path and query as sent */
	int status;	  /* responses */
	GString *fields;  /* lines to pass on, each with its line end */
	GByteArray *body; /* whole, without transfer coding */
	char *values[HTTP_NR_ROLES]; /* last value by role, or NULL */
	bool keep_alive;
	bool until_close; /* the end of the connection ended the body */
};

struct http_message *http_message_new(void);
void http_message_free(struct http_message *message);
DEFINE_CLEANUP(struct http_message, http_message_free)

/* The value of a role; NULL when the message has none. */
const char *http_message_value(const struct http_message *message,
			       enum http_role role);

/* The value of a role as a whole number; fallback when it is none. */
int64_t http_message_number(const struct http_message *message,
			    enum http_role role, int64_t fallback);

/* Appends a field line. */
void http_field_append(GString *fields, const char *name, const char *value);

/* The reason phrase of a status. */
const char *http_status_phrase(int status);

#endif

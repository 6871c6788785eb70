#ifndef HTTP_MESSAGE_H
#define HTTP_MESSAGE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/cleanup.h"

/*
 * HTTP/1.1 messages that are held whole in memory. Header fields that a proxy
 * forwards are kept as formatted lines; the value of a field with a role can
 * also be looked up by that role. The names of the fields differ between
 * platforms, so the owner of a connection maps names to roles.
 */

enum http_field_role {
	HTTP_ROLE_NONE,	      /* forwarded unchanged */
	HTTP_ROLE_HOP_BY_HOP, /* hop-by-hop or framing field, not forwarded */
	HTTP_ROLE_HOST,
	HTTP_ROLE_REQUEST_ID,
	HTTP_ROLE_TIME_LEFT_MS,	    /* time left until the caller's deadline */
	HTTP_ROLE_CALLER_SERVICE,   /* service on the host where it began */
	HTTP_ROLE_EXPECTED_BACKEND, /* id of the only server that may run it */
	HTTP_ROLE_BACKEND_ID,	    /* id of the server that responded */
	HTTP_ROLE_SERVER_SIGNATURE, /* proves that a backend server responded */
	HTTP_ROLE_NOT_RUN,	    /* the server did not run the request */
	HTTP_ROLE_LOAD,		    /* running and queued requests, slots */
	HTTP_ROLE_COLD_LEFT_MS,	    /* time left until the server is warm */
	HTTP_ROLE_KEEP_ALIVE,	    /* idle timeout of the connection */
	HTTP_ROLE_ENCODING,	    /* content coding of the body */
	HTTP_ROLE_EXPECT,	    /* requests a 100 Continue response */
	HTTP_ROLE_STORE_ERA,	    /* number of restores of the store */
	HTTP_ROLE_KEY,		    /* proves the caller's organisation */
	HTTP_ROLE_ORGANISATION,	    /* name of the caller's organisation */
	HTTP_NR_ROLES
};

struct http_field_roles {
	/* Returns the role of a field name; letter case is ignored. */
	enum http_field_role (*find)(const char *name);
	/* Returns whether fields of a role are forwarded. */
	bool (*is_forwarded)(enum http_field_role role);
};

struct http_message {
	char method[16];  /* requests */
	GString *target;  /* requests: path and query as sent */
	int status;	  /* responses */
	GString *fields;  /* forwarded field lines, each with its CRLF */
	GByteArray *body; /* whole, without transfer coding */
	char *values[HTTP_NR_ROLES]; /* last value by role, or NULL */
	unsigned repeated; /* bits of the roles that occur more than once */
	bool keep_alive;
	bool until_close; /* the body was delimited by connection close */
};

struct http_message *http_message_new(void);
void http_message_free(struct http_message *message);
DEFINE_CLEANUP(struct http_message, http_message_free)

/* Returns the field value of a role; NULL when there is no such field. */
const char *http_message_value(const struct http_message *message,
			       enum http_field_role role);

/*
 * Returns the field value of a role as a number from 0 to INT32_MAX, or
 * fallback when there is no such field or it has another form.
 */
int64_t http_message_number(const struct http_message *message,
			    enum http_field_role role, int64_t fallback);

/*
 * Returns the value of the first forwarded field with a name, or NULL; letter
 * case is ignored. The caller frees it.
 */
char *http_message_field(const struct http_message *message, const char *name);

/* Whether the message has more than one field of the role. */
bool http_message_is_repeated(const struct http_message *message,
			      enum http_field_role role);

/* Removes the lines with fields of the role from formatted field lines. */
void http_fields_strip(GString *fields, const struct http_field_roles *roles,
		       enum http_field_role role);

/* Appends the line "NAME: VALUE" with its CRLF. */
void http_field_append(GString *fields, const char *name, const char *value);

/* Returns the standard reason phrase of a status code. */
const char *http_status_phrase(int status);

#endif

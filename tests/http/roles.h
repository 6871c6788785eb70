#ifndef HTTP_ROLES_H
#define HTTP_ROLES_H

#include <strings.h>

extern "C" {
#include "http/message.h"
}

/* A mapping of field names to roles, in place of a platform's. */
static enum http_field_role find_role(const char *name)
{
	if (!strcasecmp(name, "Request-Id"))
		return HTTP_ROLE_REQUEST_ID;
	if (!strcasecmp(name, "Connection") ||
	    !strcasecmp(name, "Content-Length") ||
	    !strcasecmp(name, "Transfer-Encoding"))
		return HTTP_ROLE_HOP_BY_HOP;
	return strcasecmp(name, "Keep-Alive") ? HTTP_ROLE_NONE
					      : HTTP_ROLE_KEEP_ALIVE;
}

static bool is_forwarded(enum http_field_role role)
{
	return role == HTTP_ROLE_NONE || role == HTTP_ROLE_REQUEST_ID;
}

static const struct http_field_roles test_roles = { find_role, is_forwarded };

#endif

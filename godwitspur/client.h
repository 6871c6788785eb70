#ifndef GODWITSPUR_CLIENT_H
#define GODWITSPUR_CLIENT_H

#include <glib.h>

/*
 * Sends an HTTP request to an operator address. Returns the body of a 200
 * response, which the caller frees, or NULL with an error that names the
 * address and the reason.
 */
char *client_call(const char *address, const char *method, const char *path,
		  GError **error);

#endif

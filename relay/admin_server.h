#ifndef RELAY_ADMIN_SERVER_H
#define RELAY_ADMIN_SERVER_H

#include "relay/relay.h"

/*
 * The HTTP endpoints for the platform and for operators: readiness, metrics,
 * the state dump and explanations of the configuration.
 */

struct admin_server;

struct admin_server_ops {
	bool (*is_ready)(void *ctx);
	/* Appends metrics that are not registered. */
	void (*render_metrics)(void *ctx, GString *out);
	/* The state as JSON text, freed with g_free(). */
	char *(*dump)(void *ctx);
	/*
	 * Explains how the configuration in force routes a host and path, as
	 * text freed with g_free(); NULL when there is no route.
	 */
	char *(*explain)(void *ctx, const char *host, const char *path);
};

struct admin_server *admin_server_new(const struct relay_context *context,
				      const struct admin_server_ops *ops,
				      void *ctx, GError **error);

#endif

#ifndef RELAY_DESK_H
#define RELAY_DESK_H

#include "relay/relay.h"

/*
 * What is asked of the daemon from outside, besides requests: whether it is
 * ready, its metrics and its state.
 */

struct desk;

struct desk_ops {
	bool (*is_ready)(void *ctx);
	/* State as JSON text, freed with g_free(). */
	char *(*dump)(void *ctx);
	/*
	 * What the configuration in force says of a host and path, as text
	 * freed with g_free(); NULL when there is no route.
	 */
	char *(*explain)(void *ctx, const char *host, const char *path);
};

struct desk *desk_new(const struct relay_context *context,
		      const struct desk_ops *ops, void *ctx, GError **error);

#endif

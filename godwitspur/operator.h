#ifndef GODWITSPUR_OPERATOR_H
#define GODWITSPUR_OPERATOR_H

#include <jansson.h>

#include "base/counters.h"
#include "net/address.h"

/* The HTTP interface of a daemon for operators. */

/* A request to explain the effective settings of a path. */
struct operator_explain {
	const char *path;
	const char *method; /* NULL: the first method that has a route */
	const char *target; /* host of a target; NULL: no target */
};

struct operator_ops {
	json_t *(*status)(void *ctx);
	json_t *(*fleet)(void *ctx);
	json_t *(*dump)(void *ctx);
	json_t *(*explain)(void *ctx, const struct operator_explain *query,
			   GError **error);
	void (*drain)(void *ctx);
};

struct operator_options {
	struct net_address listen;
	struct metrics *metrics;
	const struct operator_ops *ops;
	void *ctx;
};

struct operator_server;

struct operator_server *
operator_server_new(const struct operator_options *options, GError **error);

#endif

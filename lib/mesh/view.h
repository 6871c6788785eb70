#ifndef MESH_VIEW_H
#define MESH_VIEW_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/cleanup.h"
#include "mesh/entry_order.h"
#include "mesh/organisation.h"

/*
 * An immutable snapshot of the state that a daemon serves requests with: one
 * configuration version, the registered backend servers and the availability
 * evacuated zones. It is replaced as a whole, so a route is never used
 * with the services of another version.
 */

/* A service of a route, with its weighted share of the route's requests. */
struct mesh_route_service {
	char *service;
	int weight; /* 0 or more */
};

/* Values that a route does not set in the configuration. */
enum mesh_default {
	MESH_DEFAULT_OBJECTIVE = 1 << 0,
	MESH_DEFAULT_PRIORITY = 1 << 1,
	MESH_DEFAULT_ATTEMPTS = 1 << 2
};

struct mesh_route {
	char *name;
	char *host;   /* value of the Host field, in lower case */
	char *prefix; /* begins and ends with a slash */
	/* A request runs at most once; otherwise it may be retried. */
	bool at_most_once;
	bool anonymous;	      /* its requests need no key */
	bool long_answers;    /* an answer occupies a host's link for long */
	int64_t deadline_ms;  /* longest time until the final answer */
	int64_t objective_ms; /* latency objective of an answer */
	int priority;	      /* 0 is the most urgent */
	int attempts; /* backend servers that one request may be sent to */
	/* Regions whose servers may get a request, ended by NULL; NULL: all. */
	char **regions;
	struct mesh_route_service *services;
	size_t nr_services; /* 1 or more */
	unsigned defaults;  /* bits of enum mesh_default */
};

struct mesh_service {
	char *name;
	char *health_path;
	int connections_max; /* to one backend server, from all clients */
	double cold_per_s;   /* requests/s for a cold server; 0: no limit */
};

/* Limits on the size and time of callers' requests. */
struct mesh_limits {
	int64_t head_max_bytes;
	int64_t body_max_bytes;
	int64_t head_wait_ms; /* for a complete request to arrive */
	int64_t idle_wait_ms; /* between the requests of a connection */
};

struct mesh_config {
	gint refs;
	int64_t version;
	struct mesh_limits limits;
	/* NULL: the configuration has no organisations. */
	struct mesh_organisations *organisations;
	GPtrArray *routes;     /* struct mesh_route */
	GHashTable *services;  /* name -> struct mesh_service */
	GHashTable *by_prefix; /* host and prefix -> struct mesh_route */
};

/* A backend server with the values that it registered. */
struct mesh_target {
	gint refs;
	char *id; /* differs for most starts of the server */
	char *service;
	char *address; /* IP:PORT, reachable from its own host only */
	char *ip;      /* of its host, where that host's daemon listens */
	char *zone;
	int slots;	      /* requests that it runs concurrently */
	bool draining;	      /* it announced that it is stopping */
	int64_t cold_left_ms; /* warm-up left at registration; 0: warm */
	int64_t started_ms;   /* wall time of its start; 0: unknown */
	int64_t sequence;     /* of this registration, since that start */
	/* Of the store, when it accepted this registration; 0: unknown. */
	int64_t revision;
};

struct mesh_view {
	gint refs;
	struct mesh_config *config;  /* NULL before the first version */
	GPtrArray *targets;	     /* struct mesh_target */
	GHashTable *evacuated_zones; /* set of zone names */
};

struct mesh_config *mesh_config_new(void);
struct mesh_config *mesh_config_ref(struct mesh_config *config);
void mesh_config_unref(struct mesh_config *config);
DEFINE_CLEANUP(struct mesh_config, mesh_config_unref)

/* Adds a route at the end of the configuration's routes. */
struct mesh_route *mesh_config_add_route(struct mesh_config *config);

/* Adds a service with its weight to a route. */
void mesh_route_add_service(struct mesh_route *route, const char *service,
			    int weight);

/* Adds a service, and replaces one of the same name. */
struct mesh_service *mesh_config_add_service(struct mesh_config *config,
					     const char *name);

/*
 * Completes and checks a configuration. Returns NULL when it is valid, else the
 * first error, such as a route to an unknown service; the caller frees it.
 */
char *mesh_config_finish(struct mesh_config *config);

/* The host's route with the longest prefix of the path, or NULL. */
const struct mesh_route *
mesh_config_find_route(const struct mesh_config *config, const char *host,
		       const char *path);

/* Whether the configuration, which may be NULL, has the target's service. */
bool mesh_config_has_service(const struct mesh_config *config,
			     const struct mesh_target *target);

struct mesh_target *mesh_target_ref(struct mesh_target *target);
void mesh_target_unref(struct mesh_target *target);
DEFINE_CLEANUP(struct mesh_target, mesh_target_unref)

/*
 * The place of a registration among those of other servers at its address: by
 * the start, then by the store's revision.
 */
struct entry_order mesh_target_order(const struct mesh_target *target);

struct mesh_view *mesh_view_new(struct mesh_config *config);
struct mesh_view *mesh_view_ref(struct mesh_view *view);
void mesh_view_unref(struct mesh_view *view);
DEFINE_CLEANUP(struct mesh_view, mesh_view_unref)

/* Whether the target is not draining and its zone is in service. */
bool mesh_view_in_service(const struct mesh_view *view,
			  const struct mesh_target *target);

/*
 * The target of the service at an address, or NULL. Among several, it is the
 * last one in their order (mesh_target_order()).
 */
const struct mesh_target *mesh_view_find_target(const struct mesh_view *view,
						const char *address,
						const char *service);

#endif

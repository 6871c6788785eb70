#ifndef MESH_VIEW_H
#define MESH_VIEW_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/cleanup.h"

/*
 * What a daemon serves by: one configuration version, the backend servers that
 * are registered and the availability zones that are taken out of service. A
 * view never changes; a new one replaces it whole, so a route is never seen
 * with the services of another version.
 */

/* A share of a route's requests that goes to one service. */
struct mesh_part {
	char *service;
	int weight; /* 0 or more */
};

/* Values that a route of the configuration left out. */
enum mesh_default {
	MESH_DEFAULT_OBJECTIVE = 1 << 0,
	MESH_DEFAULT_PRIORITY = 1 << 1,
	MESH_DEFAULT_ATTEMPTS = 1 << 2
};

struct mesh_route {
	char *name;
	char *host;   /* of the Host field, in lower case */
	char *prefix; /* begins and ends with a slash */
	/* A request runs at most once; otherwise it may be repeated. */
	bool at_most_once;
	bool long_answers;    /* they take the link of a host for long */
	int64_t deadline_ms;  /* longest time until the final answer */
	int64_t objective_ms; /* time within which an answer is worth most */
	int priority;	      /* 0 is the most urgent */
	int attempts; /* backend servers that one request may be sent to */
	/* Whose servers may get a request, ended by NULL; NULL: all. */
	char **regions;
	struct mesh_part *parts;
	size_t nr_parts;   /* 1 or more */
	unsigned defaults; /* bits of enum mesh_default */
};

struct mesh_service {
	char *name;
	char *health_path;
	int connections_max; /* of one backend server, from all sides */
	double cold_per_s; /* requests a second that a cold server bears; 0: no
			      limit */
};

/* What callers may send and how long they may take. */
struct mesh_limits {
	int64_t head_max_bytes;
	int64_t body_max_bytes;
	int64_t head_wait_ms; /* for a request to arrive whole */
	int64_t idle_wait_ms; /* between the requests of a connection */
};

struct mesh_config {
	gint refs;
	int64_t version;
	struct mesh_limits limits;
	GPtrArray *routes;     /* struct mesh_route */
	GHashTable *services;  /* name -> struct mesh_service */
	GHashTable *by_prefix; /* host and prefix -> struct mesh_route */
};

/* A backend server as it registered itself. */
struct mesh_target {
	gint refs;
	char *id; /* of this start of the server */
	char *service;
	char *address; /* IP:PORT, reached from its own host only */
	char *ip;      /* of its host, where its daemon listens */
	char *zone;
	int slots;	      /* requests that it runs at once */
	bool draining;	      /* it said that it is leaving */
	int64_t cold_left_ms; /* when it registered; 0: warm */
	int64_t started_ms;   /* wall time of its start; 0: not told */
};

struct mesh_view {
	gint refs;
	struct mesh_config *config; /* NULL before the first version */
	GPtrArray *targets;	    /* struct mesh_target */
	GHashTable *zones_out;	    /* set of zone names */
};

struct mesh_config *mesh_config_new(void);
struct mesh_config *mesh_config_ref(struct mesh_config *config);
void mesh_config_unref(struct mesh_config *config);
DEFINE_CLEANUP(struct mesh_config, mesh_config_unref)

/* A new route at the end of the configuration's routes. */
struct mesh_route *mesh_config_add_route(struct mesh_config *config);

/* Adds a part to a route. */
void mesh_route_add_part(struct mesh_route *route, const char *service,
			 int weight);

/* A new service; replaces one of the same name. */
struct mesh_service *mesh_config_add_service(struct mesh_config *config,
					     const char *name);

/*
 * Ends the building of a configuration. Returns the reason why it must not be
 * used, such as a route to an unknown service, or NULL.
 */
char *mesh_config_finish(struct mesh_config *config);

/* The route with the longest prefix that begins the path, or NULL. */
const struct mesh_route *mesh_config_find(const struct mesh_config *config,
					  const char *host, const char *path);

struct mesh_target *mesh_target_ref(struct mesh_target *target);
void mesh_target_unref(struct mesh_target *target);
DEFINE_CLEANUP(struct mesh_target, mesh_target_unref)

struct mesh_view *mesh_view_new(struct mesh_config *config);
struct mesh_view *mesh_view_ref(struct mesh_view *view);
void mesh_view_unref(struct mesh_view *view);
DEFINE_CLEANUP(struct mesh_view, mesh_view_unref)

/* Whether a target may get new work by what the view says of it. */
bool mesh_view_in_service(const struct mesh_view *view,
			  const struct mesh_target *target);

/* The latest started target at an address, or NULL. */
const struct mesh_target *mesh_view_at_address(const struct mesh_view *view,
					       const char *address,
					       const char *service);

#endif

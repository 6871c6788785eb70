#ifndef MESH_HOST_H
#define MESH_HOST_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/cleanup.h"
#include "net/address.h"

/* What a daemon is told about its host when it starts. */
struct mesh_host {
	char *name;
	char *zone;
	char *region;
	GHashTable *regions; /* availability zone -> region, of all zones */
	char *ip;
	char *service;		      /* of the backend server on this host */
	struct net_address backend;   /* the backend server */
	char *backend_text;	      /* the same as IP:PORT */
	struct net_address callers;   /* where callers connect */
	struct net_address peers;     /* where daemons send requests */
	struct net_address control;   /* where daemons send configuration */
	struct net_address ready;     /* where readiness is asked */
	struct net_address operators; /* where the state dump is asked */
	struct net_address store;
	/* Repeats that a service bears, for all daemons together. */
	double retry_ratio;
	int retry_slack; /* besides, in each window */
	int64_t retry_window_ms;
	/* Factor and number by which a cold server's rate may be exceeded. */
	double cold_overage;
	int cold_slack;
	double link_bytes_per_s; /* of the host's own link; 0: not known */
	int64_t stop_grace_ms;	 /* from SIGTERM to SIGKILL */
	bool first_start;	 /* of the whole fleet */
};

struct mesh_host *mesh_host_new(void);

/* The region of a zone; the own one when the settings do not tell it. */
const char *mesh_host_region(const struct mesh_host *host, const char *zone);

void mesh_host_free(struct mesh_host *host);
DEFINE_CLEANUP(struct mesh_host, mesh_host_free)

#endif

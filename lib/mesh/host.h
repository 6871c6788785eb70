#ifndef MESH_HOST_H
#define MESH_HOST_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/cleanup.h"
#include "net/address.h"

/* Settings of a daemon and its host, read when the daemon starts. */
struct mesh_host {
	char *name;
	char *zone;
	char *region;
	GHashTable *regions; /* availability zone -> region, of all zones */
	char *ip;
	char *service;		      /* of the backend server on this host */
	struct net_address backend;   /* the backend server */
	char *backend_text;	      /* the same as IP:PORT */
	struct net_address callers;   /* listens for callers */
	struct net_address peers;     /* listens for requests of daemons */
	struct net_address control;   /* listens for configuration of daemons */
	struct net_address ready;     /* listens for readiness probes */
	struct net_address operators; /* listens for operators' commands */
	struct net_address store;
	/* Retry budget of a service over all daemons: share of its requests. */
	double retry_ratio;
	int retry_slack; /* retries allowed besides the share in each window */
	int64_t retry_window_ms;
	/* Factor and count by which a cold server's rate may be exceeded. */
	double cold_overage;
	int cold_slack;
	/* Bounds on the excess over an organisation's quota in each window. */
	int64_t quota_window_ms;
	double quota_overage;
	int quota_slack;
	double link_bytes_per_s; /* capacity of the host's link; 0: unknown */
	int64_t memory_bytes;	 /* that the daemon may use; 0: unknown */
	int descriptors_max;	 /* that the daemon may use; 0: unknown */
	int64_t stop_grace_ms;	 /* from SIGTERM to SIGKILL */
	/*
	 * From the end of a server to the use of its address by one of another
	 * service, at least; 0: not known.
	 */
	int64_t reuse_after_ms;
	bool first_start; /* the whole fleet starts for the first time */
};

struct mesh_host *mesh_host_new(void);

/* The region of a zone; the host's own region when the zone isn't listed. */
const char *mesh_host_region(const struct mesh_host *host, const char *zone);

void mesh_host_free(struct mesh_host *host);
DEFINE_CLEANUP(struct mesh_host, mesh_host_free)

#endif

#ifndef DAEMON_SETTINGS_H
#define DAEMON_SETTINGS_H

#include <stdbool.h>
#include <stdint.h>

#include "admit/admit.h"
#include "balance/balance.h"
#include "base/cleanup.h"
#include "base/findings.h"
#include "dist/dist.h"
#include "net/address.h"

/* The settings of one daemon, read from a JSON file at its start. */

struct settings {
	char *host;
	char *zone;
	char *region;
	struct net_address caller;   /* HTTP, for callers */
	struct net_address traffic;  /* ONC RPC, requests from daemons */
	struct net_address control;  /* ONC RPC, configuration */
	struct net_address operator; /* HTTP, for operators */
	char *control_text;	     /* the control address as written */
	bool has_backend;
	struct net_address backend;   /* HTTP, the backend server */
	struct net_address source;    /* HTTP, configuration service */
	struct net_address host_list; /* HTTP, list of hosts */
	char **seeds;		      /* NULL-terminated control addresses */
	int64_t source_interval_ms;
	const struct balance_policy *balance_policy;
	const struct admit_limit_policy *limit_policy;
	const struct dist_policy *policy; /* "distribution" */
};

/*
 * Reads a settings file. All findings are added; returns NULL when there is
 * an error among them or the file cannot be read.
 */
struct settings *settings_read(const char *file, struct findings *findings);
void settings_free(struct settings *settings);
DEFINE_CLEANUP(struct settings, settings_free)

#endif

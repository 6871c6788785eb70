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

/* The settings of one daemon, read from a JSON file when it starts. */

struct settings {
	char *host;
	char *zone;
	char *region;
	struct net_address caller;  /* HTTP, for callers */
	struct net_address traffic; /* ONC RPC, requests forwarded by daemons */
	struct net_address control; /* ONC RPC, configuration */
	struct net_address operator; /* HTTP, for operators */
	char *control_text;	     /* the control address as written */
	bool has_backend;
	struct net_address backend;   /* HTTP, the backend server */
	struct net_address source;    /* HTTP, configuration service */
	struct net_address host_list; /* HTTP, host list service */
	char **seeds;		      /* NULL-terminated control addresses */
	int64_t source_interval_ms;
	const struct balance_policy *balance_policy;
	const struct admit_limit_policy *limit_policy;
	const struct dist_policy *policy; /* setting "distribution" */
};

/*
 * Reads a settings file and adds all findings. Returns NULL when the file
 * cannot be read or a finding is an error.
 */
struct settings *settings_read(const char *file, struct findings *findings);
void settings_free(struct settings *settings);
DEFINE_CLEANUP(struct settings, settings_free)

#endif

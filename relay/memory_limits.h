#ifndef RELAY_MEMORY_LIMITS_H
#define RELAY_MEMORY_LIMITS_H

#include "base/memory_account.h"
#include "http/server.h"
#include "mesh/host.h"

/* The limits of a daemon by the memory and the descriptors of its host. */

/*
 * Returns the account of the traffic thread, or NULL when the host's memory is
 * not known. Its metrics are registered. It lives as long as the process.
 */
struct memory_account *memory_limits_new(const struct mesh_host *host,
					 struct metrics *metrics);

void memory_limits_add_counters(struct metrics *metrics,
				struct http_server_counters *counters);

/*
 * Refers to a body, which stays in the account until the last reference ends.
 */
GBytes *memory_limits_share_body(struct memory_account *account,
				 GByteArray *body);

/* Most connections of callers and of the admin server; 0: any number. */
unsigned memory_limits_callers_max(const struct mesh_host *host);
unsigned memory_limits_admin_max(const struct mesh_host *host);

#endif

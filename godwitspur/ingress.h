#ifndef GODWITSPUR_INGRESS_H
#define GODWITSPUR_INGRESS_H

#include "balance/balance.h"
#include "base/counters.h"
#include "links.h"
#include "quarantine/quarantine.h"
#include "snapshot.h"
#include "target.h"

/*
 * The ingress serves callers' HTTP requests. Each is routed by the current
 * configuration snapshot, sent to a target's daemon, retried where that is
 * safe, and answered with its outcome. One lock guards the load balancer, the
 * retry budgets and the ingress's quarantine.
 */

struct ingress;

struct ingress_options {
	const char *host;
	const char *zone;
	const char *region;
	uint64_t incarnation;
	const struct balance_policy *policy;
	uint64_t seed; /* for random choices of targets */
	struct net_address listen;
	struct links *links;
	struct target *target;
	struct metrics *metrics;
};

struct ingress *ingress_new(const struct ingress_options *options,
			    GError **error);

/* Applies a new configuration version; called before it is published. */
void ingress_apply(struct ingress *ingress, const struct table *table);

/* Serves requests from now on; before they are refused as not-run. */
void ingress_serve(struct ingress *ingress);

/* Whether requests are served: started and not draining. */
bool ingress_is_serving(struct ingress *ingress);

/* Refuses requests as not-run from now on. */
void ingress_drain(struct ingress *ingress);

/* Number of callers' requests in progress. */
int ingress_in_flight(struct ingress *ingress);

/* Sets whether a host is leaving according to the host list. */
void ingress_mark_leaving(struct ingress *ingress, const char *host,
			  bool leaving);

/* Merges quarantine entries received from peers. */
void ingress_merge_crashes(struct ingress *ingress,
			   const struct quarantine_entry *entries, size_t nr);

json_t *ingress_dump(struct ingress *ingress);

/* Closes all connections and stops their threads. */
void ingress_stop(struct ingress *ingress);

#endif

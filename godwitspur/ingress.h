#ifndef GODWITSPUR_INGRESS_H
#define GODWITSPUR_INGRESS_H

#include "balance/balance.h"
#include "base/counters.h"
#include "links.h"
#include "quarantine/quarantine.h"
#include "snapshot.h"
#include "target.h"

/*
 * The ingress: callers' HTTP requests. Each is routed by the snapshot in
 * force, sent to a target's daemon, retried where that is safe, and answered
 * with its outcome. One lock guards balance, the retry budgets and the
 * ingress's quarantine.
 */

struct ingress;

struct ingress_options {
	const char *host;
	const char *zone;
	const char *region;
	uint64_t incarnation;
	const struct balance_policy *policy;
	uint64_t seed; /* of the choice of target */
	struct net_address listen;
	struct links *links;
	struct target *target;
	struct metrics *metrics;
};

struct ingress *ingress_new(const struct ingress_options *options,
			    GError **error);

/* Takes a new configuration version before it is published. */
void ingress_apply(struct ingress *ingress, const struct table *table);

/* The start gate is open: requests are served from now on. */
void ingress_serve(struct ingress *ingress);

/* Whether callers' requests are served. */
bool ingress_is_serving(struct ingress *ingress);

/* Requests are refused as not-run from now on. */
void ingress_drain(struct ingress *ingress);

/* Callers' requests that are being served. */
int ingress_in_flight(struct ingress *ingress);

/* The host list says that a host is leaving or is not any more. */
void ingress_mark_leaving(struct ingress *ingress, const char *host,
			  bool leaving);

void ingress_merge_crashes(struct ingress *ingress,
			   const struct quarantine_entry *entries, size_t nr);

json_t *ingress_dump(struct ingress *ingress);

/* Ends connections and threads. */
void ingress_stop(struct ingress *ingress);

#endif

#ifndef BALANCE_STATE_H
#define BALANCE_STATE_H

#include <glib.h>

#include "balance/balance.h"
#include "base/clock.h"

/* The inner state of a balance, shared by the files of this library. */

enum tier {
	TIER_ZONE,
	TIER_REGION,
	TIER_OTHER,
	NR_TIERS
};

struct target {
	balance_handle handle;
	struct service *service; /* NULL when the last update lacks it */
	char *host;
	char *zone;
	char *region;
	char *traffic;
	uint64_t weight; /* rendezvous hash with the host of the ingress */
	bool named;	 /* by the update under way */
	enum tier tier;
	uint32_t slots;
	uint32_t cold_slots;
	bool in_service;
	bool leaving;
	bool draining;
	bool in_subset;
	/* Gets nothing but trials: after failures, or after a drain. */
	bool ejected;
	bool probation;
	bool trial_pending;
	uint32_t failures; /* in a row */
	int64_t draining_until;
	int64_t trial_at;
	int64_t back_off;
	int64_t returned_at; /* from the last ejection */
	/* After refusals it gets work only if all others refuse as well. */
	int64_t avoid_until;
	int64_t avoid_for;

	uint32_t in_flight;
	uint32_t told_in_flight;
	uint32_t told_queue;
	uint32_t limit;
	int64_t told_at;
	bool told;
	int64_t latency; /* 0: no sample yet */
	int64_t latency_at;
};

struct service {
	char *key;
	int index;
	int eject_percent_max;
	int zone_overflow_percent;
	uint64_t update;
	uint64_t cursor;
	GHashTable *by_host; /* host -> struct target */
	/* All targets, by tier, zone and falling weight. */
	struct target **targets;
	size_t nr_targets;
	/* The targets in use, by tier. */
	struct target **subset;
	size_t nr_subset;
	size_t tier_end[NR_TIERS];
	size_t nr_ejected;  /* of the subset */
	size_t nr_held;	    /* of the subset: ejected or on probation */
	int64_t refresh_at; /* the next end of a draining mark */
	int64_t latency;    /* smoothed over all targets; 0: none */
};

struct balance {
	struct balance_options options;
	char *host;
	char *zone;
	char *region;
	uint64_t host_hash;
	uint64_t update;
	GPtrArray *services;   /* by index; never removed */
	GHashTable *by_key;    /* key -> struct service */
	GHashTable *leaving;   /* set of hosts */
	GHashTable *by_handle; /* handle -> struct target */
	balance_handle last_handle;
	/* Room for the candidates of one pick. */
	struct balance_candidate *candidates;
	struct target **candidate_targets;
	size_t nr_candidates;
};

/* In service, not leaving, not draining, not removed. */
bool target_accepts_new_work(const struct target *target);

/* Whether it gets nothing but trials. */
bool target_is_held(const struct target *target);

void target_free(struct target *target);

/*
 * The load of a target: its own requests or the number that it told, whichever
 * is larger, since a told number can be out of date or wrong; and its queue.
 */
uint32_t target_load(const struct balance *balance, const struct target *target,
		     int64_t now);

/* The smoothed latency, moved towards that of the service while it is old. */
int64_t target_latency(const struct target *target, int64_t now);

/* Ends the ejection or the probation of a target. */
void target_release(struct target *target, int64_t now);

/* NULL when there is none. */
struct service *balance_service_at(const struct balance *balance, int index);
struct target *balance_target_at(const struct balance *balance,
				 balance_handle handle);

/* Most targets of a service with n in use that may be ejected at once. */
size_t service_eject_limit(const struct service *service, size_t n);

/*
 * Chooses the subset again: of each zone the first targets, by falling weight,
 * that may get new work.
 */
void service_refresh_subset(const struct balance *balance,
			    struct service *service, int64_t now);

/* Forgets a target, or keeps it by its handle until its requests end. */
void balance_remove_target(struct balance *balance, struct target *target);

#endif

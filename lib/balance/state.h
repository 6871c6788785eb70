#ifndef BALANCE_STATE_H
#define BALANCE_STATE_H

#include <glib.h>

#include "balance/balance.h"
#include "base/clock.h"
#include "cost/server.h"

/* Internal state of a balance, shared by the files of this library. */

enum tier {
	TIER_ZONE,
	TIER_REGION,
	TIER_OTHER,
	NR_TIERS
};

struct target {
	balance_handle handle;
	struct service *service; /* NULL when the last update removed it */
	char *host;
	char *zone;
	char *region;
	char *traffic;
	uint64_t weight; /* rendezvous hash of the ingress host and this host */
	bool in_update;	 /* listed in the update in progress */
	enum tier tier;
	uint32_t slots;
	uint32_t cold_slots;
	bool in_service;
	bool leaving;
	bool draining;
	bool in_subset;
	/* An ejected target, or one on probation, gets only trial requests. */
	bool ejected;	/* after failures */
	bool probation; /* after a drain */
	bool trial_pending;
	uint32_t failures; /* consecutive */
	int64_t draining_until;
	int64_t trial_at;
	int64_t back_off;
	int64_t readmitted_at; /* end of the last ejection */
	/* Chosen until then only if all other targets are avoided as well. */
	int64_t avoid_until;
	int64_t avoid_back_off;

	uint32_t in_flight; /* by this ingress */
	/* Last load report of the target's daemon. */
	uint32_t reported_in_flight;
	uint32_t reported_queue;
	uint32_t limit;
	int64_t reported_at;
	bool has_report;
	int64_t latency; /* 0: no sample yet */
	int64_t latency_at;
	struct cost_server cost; /* speed and outstanding work */
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
	size_t nr_ejected;    /* in the subset */
	size_t nr_trial_only; /* in the subset: ejected or on probation */
	int64_t refresh_at;   /* the next end of a draining mark */
	int64_t latency;      /* smoothed over all targets; 0: none */
	/* Load reports of backend servers: the end of the last one's use. */
	int64_t load_reports_until;
	double backlog_ns; /* smoothed over the reports of all targets */
	/* Smoothed logarithm of the targets' factors; see expected.c. */
	double log_factor;
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
	/* Buffers for the candidates of one pick. */
	struct balance_candidate *candidates;
	struct target **candidate_targets;
	size_t nr_candidates;
};

/* Whether it is in service, not leaving, not draining and not removed. */
bool target_accepts_new_work(const struct target *target);

/* Whether it is ejected or on probation and gets only trial requests. */
bool target_is_trial_only(const struct target *target);

void target_free(struct target *target);

/*
 * The load of a target: this ingress's requests in flight or the reported
 * number, whichever is larger, since a report can be out of date or wrong; plus
 * the reported queue.
 */
uint32_t target_load(const struct balance *balance, const struct target *target,
		     int64_t now);

/* The smoothed latency; as it ages, it decays to the mean of the service. */
int64_t target_latency(const struct target *target, int64_t now);

/* Ends the ejection or the probation of a target. */
void target_readmit(struct target *target, int64_t now);

/* Each returns NULL when there is none. */
struct service *balance_service_at(const struct balance *balance, int index);
struct target *balance_target_at(const struct balance *balance,
				 balance_handle handle);

/* How many of n targets in use may be ejected at the same time. */
size_t service_eject_limit(const struct service *service, size_t n);

/*
 * Recomputes the subset: the first targets of each zone, by falling weight,
 * that accept new work.
 */
void service_refresh_subset(const struct balance *balance,
			    struct service *service, int64_t now);

/* Whether the expected time of the answer decides where a request goes. */
bool service_expects(const struct service *service, int64_t work_ns,
		     int64_t now);

/*
 * The target with the least expected time until its answer, of a few random
 * ones of the n candidates. Sets *expected_ns to that time.
 */
struct target *expected_choose(struct balance *balance,
			       const struct service *service, int64_t work_ns,
			       size_t n, int64_t now, int64_t *expected_ns);

/* Applies the load report and the run time in the result of a request. */
void expected_record(const struct balance *balance, struct target *target,
		     const struct balance_result *result, int64_t now);

/* Removes a target; its handle stays valid until its requests end. */
void balance_remove_target(struct balance *balance, struct target *target);

#endif

#ifndef BALANCE_BALANCE_H
#define BALANCE_BALANCE_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/cleanup.h"
#include "base/rng.h"
#include "retry/retry.h"

/*
 * Choice of target by one ingress. Pure: no I/O, no clock, no locks; the
 * ingress lock protects the whole object. Times are monotonic nanoseconds.
 *
 * Life of a request: balance_pick(), balance_start(), then exactly one
 * balance_finish() for every balance_start() that returned true. Targets are
 * named by handles, which stay valid over updates: a target that an update
 * removes is kept until its last request has finished.
 *
 * Subsets. An ingress uses at most subset_own targets of its own zone and
 * subset_other targets of every other zone for each service, those with the
 * highest rendezvous hash of (ingress host, target host) among the targets
 * that may get new work. Links to one target's daemon, with D daemons in Z
 * zones and a service that has m targets in each zone, are expected to be
 *
 *	D/Z x min(1, subset_own/m) + (D - D/Z) x min(1, subset_other/m)
 *
 * For D = 870, Z = 9 and the defaults 10 and 4: a service of 10 targets in
 * three zones (m = 3.3) has at most 869 links, the bound given by one link for
 * each pair of daemons; with m = 30, 97 x 10/30 + 773 x 4/30 = 135; with
 * m = 97 (a single service), 97 x 10/97 + 773 x 4/97 = 42.
 */

/* Longest host, zone, region and traffic address, the NUL included. */
#define BALANCE_NAME_MAX 64

/* Most targets that one request can exclude, more than retry_max + 1. */
#define BALANCE_EXCLUDED_MAX 8

/* What a policy sees of a target. */
struct balance_candidate {
	uint32_t load;	    /* requests in flight and queued there */
	uint32_t limit;	    /* requests it can run at once, >= 1 */
	int64_t latency_ns; /* smoothed; >= 1 */
};

/* A policy of choice among the targets that may get the request. */
struct balance_policy {
	const char *name;
	/*
	 * Returns the index of the chosen candidate; n >= 1. The cursor
	 * belongs to the service and is kept from pick to pick.
	 */
	size_t (*choose)(const struct balance_candidate *candidates, size_t n,
			 uint64_t *cursor, struct rng *rng);
};

/* The targets in turn. */
extern const struct balance_policy balance_round_robin;
/* The lowest load per limit of all. */
extern const struct balance_policy balance_least_in_flight;
/* The better of two random ones by (load + 1) x latency^2 / limit. */
extern const struct balance_policy balance_two_choices;

/* "round-robin", "least-in-flight" or "two-choices"; NULL for other names. */
const struct balance_policy *balance_policy_find(const char *name);

/* Strings are copied. 0 stands for the default where one is given. */
struct balance_options {
	const char *host;		     /* of this ingress */
	const char *zone;		     /* of this ingress */
	const char *region;		     /* of this ingress */
	const struct balance_policy *policy; /* NULL: balance_two_choices */
	uint32_t subset_own;		     /* 10 */
	uint32_t subset_other;		     /* 4 */
	uint32_t eject_failures;	     /* 5 in a row */
	int64_t eject_first_ns;		     /* 1 s, doubled each time */
	int64_t eject_longest_ns;	     /* 30 s */
	int64_t report_life_ns;	  /* 1 s: how long a told load is used */
	int64_t draining_life_ns; /* 5 s: then a trial request asks again */
	struct rng *rng;	  /* not owned; outlives the balance */
};

/* The settings of a service that concern the choice of target. */
struct balance_service {
	const char *key;	   /* name of the service */
	int eject_percent_max;	   /* 0..100 */
	int zone_overflow_percent; /* 0..100 */
};

/* A target of a service in a configuration version. */
struct balance_target {
	const char *host;
	const char *zone;
	const char *region;
	const char *traffic; /* address of its daemon */
	uint32_t slots;
	uint32_t cold_slots; /* limit until it tells one; 0: slots */
	/* Neither it nor its zone is marked out. */
	bool in_service;
};

/* Names a target; 0 names none. Never reused within a balance. */
typedef uint64_t balance_handle;

/* The target of a request. */
struct balance_choice {
	balance_handle target;
	char host[BALANCE_NAME_MAX];
	char traffic[BALANCE_NAME_MAX];
	bool own_zone;
	bool trial; /* the target is ejected or was draining, and is tried */
	/* May get new work: in service, not leaving, not draining. */
	bool accepts_new_work;
};

/* What balance_pick() needs to know of a request. */
struct balance_request {
	int service; /* index from balance_update() */
	/* Targets tried before, which are not chosen again. */
	const balance_handle *excluded;
	size_t nr_excluded; /* at most BALANCE_EXCLUDED_MAX */
	/* May be sent again after any failure, so it can be a trial. */
	bool retryable;
	/*
	 * Use of the own zone, in percent of what it can run at once, up to
	 * which no other zone is used; 0: as the service says. Large answers
	 * are worth some waiting near by.
	 */
	int overflow_percent;
	/* The regions whose targets may get it, ended by NULL; NULL: all. */
	char *const *regions;
};

/* How a request ended at a target. */
struct balance_result {
	enum failure_reason reason;
	int64_t latency_ns; /* from start to finish */
	/* Told in the answer of the target's daemon; unused if !reported. */
	bool reported;
	uint32_t in_flight;
	uint32_t queue;
	uint32_t limit;
	bool draining;
	/*
	 * How long the target's daemon expects such a request to take; 0: not
	 * told. What a slow target refuses says that it is slow.
	 */
	int64_t expected_ns;
};

struct balance;

struct balance *balance_new(const struct balance_options *options);
void balance_free(struct balance *balance);
DEFINE_CLEANUP(struct balance, balance_free)

/*
 * A new configuration version: begin, one balance_update() for each service,
 * then end, which removes the services that were not updated. Targets that
 * stay in a service, by host, keep their state; one whose traffic address
 * changed counts as new.
 */
void balance_update_begin(struct balance *balance);

/*
 * Sets the targets of a service. Returns the index of the service, the same
 * for one name as long as the balance lives, also when the service goes away
 * and returns.
 */
int balance_update(struct balance *balance,
		   const struct balance_service *settings,
		   const struct balance_target *targets, size_t nr_targets,
		   int64_t now);

void balance_update_end(struct balance *balance, int64_t now);

/* The index of a service by name; -1 when it was never updated. */
int balance_service_index(const struct balance *balance, const char *key);

/*
 * Picks a target that may get new work: the own zone first, then the region,
 * then all, as far as its share of use is above the threshold or it has none.
 * Passed over as long as others remain are targets that are ejected or were
 * draining, except for their trials; targets that refused shortly before; and,
 * for a retry, the zones of excluded targets whose last result is a failure.
 * So when every target is ejected they are tried, rather than failing all.
 * False, and choice unchanged, when there is none (FAILURE_NO_TARGET).
 */
bool balance_pick(struct balance *balance,
		  const struct balance_request *request, int64_t now,
		  struct balance_choice *choice);

/*
 * Finds the target on a host, for requests whose ticket names it. Also finds
 * targets that get no new work (see choice->accepts_new_work), because a
 * resend must reach the record of its first copy.
 */
bool balance_find(struct balance *balance, int service, const char *host,
		  struct balance_choice *choice);

/*
 * Counts a request as in flight at a target. False, and nothing counted, when
 * the last update lacks the target: pick again.
 */
bool balance_start(struct balance *balance, balance_handle handle, int64_t now);

/* Ends a request counted by balance_start(). */
void balance_finish(struct balance *balance, balance_handle handle,
		    const struct balance_result *result, int64_t now);

/*
 * Marks a host as leaving, or as live again, by the host list. Holds for
 * targets of later updates as well.
 */
void balance_mark_leaving(struct balance *balance, const char *host,
			  bool leaving, int64_t now);

/* Requests in flight at a target by this ingress; 0 for unknown handles. */
uint32_t balance_in_flight(const struct balance *balance,
			   balance_handle handle);

/* State for the dump; the caller owns the reference. */
json_t *balance_dump(const struct balance *balance, int64_t now);

#endif

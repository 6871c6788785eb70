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
 * Load balancing by one ingress over the targets of its services. No I/O, no
 * clock, no locks; the ingress lock protects the whole object. Times are
 * monotonic nanoseconds.
 *
 * For each request call balance_pick(), balance_start(), then exactly one
 * balance_finish() for every balance_start() that returned true. Targets are
 * identified by handles, which stay valid across updates: a target that an
 * update removes is kept until its last request has finished.
 *
 * Subsets. An ingress uses at most subset_own targets of its own zone and
 * subset_other targets of every other zone for each service, those with the
 * highest rendezvous hash of (ingress host, target host) among the targets
 * that accept new work. With D daemons in Z zones and a service that has m
 * targets in each zone, the expected number of links to one target's daemon is
 *
 *	D/Z x min(1, subset_own/m) + (D - D/Z) x min(1, subset_other/m)
 *
 * For D = 870, Z = 9 and the defaults 10 and 4: a service of 10 targets in
 * three zones (m = 3.3) has at most 869 links, the bound given by one link for
 * each pair of daemons; with m = 30, 97 x 10/30 + 773 x 4/30 = 135; with
 * m = 97 (a single service), 97 x 10/97 + 773 x 4/97 = 42.
 */

/* Size limit of host, zone, region and traffic address, including the NUL. */
#define BALANCE_NAME_MAX 64

/* Most targets that one request can exclude, more than retry_max + 1. */
#define BALANCE_EXCLUDED_MAX 8

/* Properties of a target by which a policy chooses. */
struct balance_candidate {
	uint32_t load;	    /* requests in flight and queued at the target */
	uint32_t limit;	    /* its concurrency limit, >= 1 */
	int64_t latency_ns; /* smoothed; >= 1 */
};

/* A load-balancing policy. */
struct balance_policy {
	const char *name;
	/*
	 * Returns the index of the chosen candidate; n >= 1. The cursor
	 * belongs to the service and is kept between picks.
	 */
	size_t (*choose)(const struct balance_candidate *candidates, size_t n,
			 uint64_t *cursor, struct rng *rng);
};

/* Chooses the candidates in turn. */
extern const struct balance_policy balance_round_robin;
/* Chooses the candidate with the lowest load / limit. */
extern const struct balance_policy balance_least_in_flight;
/* Of two random candidates, the lower (load + 1) x latency^2 / limit. */
extern const struct balance_policy balance_two_choices;

/* "round-robin", "least-in-flight" or "two-choices"; NULL for other names. */
const struct balance_policy *balance_policy_find(const char *name);

/* Strings are copied. 0 selects the default given beside the field. */
struct balance_options {
	const char *host;		     /* of this ingress */
	const char *zone;		     /* of this ingress */
	const char *region;		     /* of this ingress */
	const struct balance_policy *policy; /* NULL: balance_two_choices */
	uint32_t subset_own;		     /* 10 */
	uint32_t subset_other;		     /* 4 */
	uint32_t eject_failures;	     /* 5 consecutive failures */
	int64_t eject_first_ns;	     /* 1 s: first back-off, then doubled */
	int64_t eject_longest_ns;    /* 30 s: longest back-off */
	int64_t report_max_age_ns;   /* 1 s: how long a load report is used */
	int64_t draining_max_age_ns; /* 5 s: then a trial request is sent */
	struct rng *rng;	     /* not owned; outlives the balance */
};

/* The settings of a service for load balancing. */
struct balance_service {
	const char *key;       /* name of the service */
	int eject_percent_max; /* 0..100: share of targets ejected at once */
	/* 0..100: utilization of the own zone above which others are used. */
	int zone_overflow_percent;
};

/* A target of a service in a configuration version. */
struct balance_target {
	const char *host;
	const char *zone;
	const char *region;
	const char *traffic; /* address of its daemon */
	uint32_t slots;
	uint32_t cold_slots; /* limit before the first report; 0: slots */
	/* Neither the target nor its zone is marked as out of service. */
	bool in_service;
};

/* Identifies a target; 0 means none. Never reused within a balance. */
typedef uint64_t balance_handle;

/* The target of a request. */
struct balance_choice {
	balance_handle target;
	char host[BALANCE_NAME_MAX];
	char traffic[BALANCE_NAME_MAX];
	bool own_zone;
	bool trial; /* a trial request to an ejected or once draining target */
	/* Expected time until the answer, if it decided; 0: it did not. */
	int64_t expected_ns;
	/* The target is in service, not leaving and not draining. */
	bool accepts_new_work;
};

/* Properties of a request for balance_pick(). */
struct balance_request {
	int service; /* index from balance_update() */
	/* Targets tried before, which are not chosen again. */
	const balance_handle *excluded;
	size_t nr_excluded; /* at most BALANCE_EXCLUDED_MAX */
	/* May be retried after any failure, so it is suitable as a trial. */
	bool retryable;
	/*
	 * Replaces zone_overflow_percent of the service; 0: does not. A large
	 * answer is worth a wait for a target in the own zone.
	 */
	int overflow_percent;
	/* Regions whose targets may be chosen, ended by NULL; NULL: all. */
	char *const *regions;
};

/* How a request ended at a target. */
struct balance_result {
	enum failure_reason reason;
	int64_t latency_ns; /* from start to finish */
	/* Load report in the answer of the target's daemon. */
	bool reported; /* false: the next four are unused */
	uint32_t in_flight;
	uint32_t queue;
	uint32_t limit;
	bool draining;
	/*
	 * Service time that the target's daemon expects for such a request; 0:
	 * not reported. It shows that a target is slow when it refuses the
	 * request.
	 */
	int64_t expected_ns;
	/* Work of the request as given to balance_pick_for(); 0: not known. */
	int64_t work_ns;
	int64_t run_ns;	 /* time on the backend server; 0: did not run */
	int64_t wait_ns; /* when refused: expected wait at the target */
	/*
	 * Pace that the backend server reports (100: usual, 250: takes 2.5
	 * times as long); 0: it reports no load. The next one is unused then.
	 */
	int pace_percent;
	/* Expected work outstanding at the target, divided by its slots. */
	int64_t backlog_ns;
};

struct balance;

struct balance *balance_new(const struct balance_options *options);
void balance_free(struct balance *balance);
DEFINE_CLEANUP(struct balance, balance_free)

/*
 * Applies a new configuration version: call balance_update_begin(),
 * balance_update() for each service, then balance_update_end(), which removes
 * the targets of services that were not updated. Targets that stay in a
 * service, by host, keep their state; one whose traffic address changed counts
 * as new.
 */
void balance_update_begin(struct balance *balance);

/*
 * Sets the targets of a service. Returns the index of the service, which is
 * fixed for a name during the lifetime of the balance, even if the service is
 * removed and added again.
 */
int balance_update(struct balance *balance,
		   const struct balance_service *settings,
		   const struct balance_target *targets, size_t nr_targets,
		   int64_t now);

void balance_update_end(struct balance *balance, int64_t now);

/* The index of a service by name; -1 when it was never updated. */
int balance_service_index(const struct balance *balance, const char *key);

/*
 * Picks a target that accepts new work, in the own zone first. Targets of the
 * region, then all others, are used when there are none before them or their
 * utilization is above the overflow threshold. Skipped as long as other targets
 * remain are: ejected targets and those on probation after a drain, except for
 * their trials; targets that refused a request shortly before; and, for a
 * retry, the zones of excluded targets whose last result is a failure. When
 * every target is ejected, requests are sent all the same rather than failed.
 * False, and choice unchanged, when there is no target (FAILURE_NO_TARGET).
 */
bool balance_pick(struct balance *balance,
		  const struct balance_request *request, int64_t now,
		  struct balance_choice *choice);

/*
 * The same for a request whose run would take work_ns on a target of usual
 * speed; 0: not known. If backend servers of the service have reported their
 * load lately, the choice goes by the expected time of the answer.
 */
bool balance_pick_for(struct balance *balance,
		      const struct balance_request *request, int64_t work_ns,
		      int64_t now, struct balance_choice *choice);

/*
 * Finds the target on the host that the ticket of a request names. Also finds
 * targets that accept no new work (see choice->accepts_new_work), because a
 * request that is sent again must reach the record of its first copy.
 */
bool balance_find(struct balance *balance, int service, const char *host,
		  struct balance_choice *choice);

/*
 * Counts a request as in flight at a target. False, and nothing counted, when
 * the last update removed the target; call balance_pick() again.
 */
bool balance_start(struct balance *balance, balance_handle handle, int64_t now);

/*
 * Adds the expected work of a request counted by balance_start() to what is
 * outstanding at its target, until the target reports again.
 */
void balance_add_work(struct balance *balance, balance_handle handle,
		      int64_t work_ns);

/*
 * How long a run takes on a target, relative to a usual one; 1 for unknown
 * handles.
 */
double balance_target_factor(const struct balance *balance,
			     balance_handle handle, int64_t now);

/* Ends a request counted by balance_start(). */
void balance_finish(struct balance *balance, balance_handle handle,
		    const struct balance_result *result, int64_t now);

/*
 * Marks a host as leaving, or as live again, according to the host list. The
 * mark applies to targets of later updates as well.
 */
void balance_mark_leaving(struct balance *balance, const char *host,
			  bool leaving, int64_t now);

/* Requests in flight at a target by this ingress; 0 for unknown handles. */
uint32_t balance_in_flight(const struct balance *balance,
			   balance_handle handle);

/* State as JSON; the caller owns the reference. */
json_t *balance_dump(const struct balance *balance, int64_t now);

#endif

#ifndef GODWITSPUR_TARGET_H
#define GODWITSPUR_TARGET_H

#include "admit/admit.h"
#include "base/counters.h"
#include "net/address.h"
#include "net/loop.h"
#include "once/once.h"
#include "quarantine/quarantine.h"
#include "snapshot.h"
#include "wire/wire.h"

/*
 * The target side of a daemon: it admits requests for the local backend server
 * to slots, runs each on a worker thread and replies to it. One lock guards
 * admission control (admit), the at-most-once records (once) and the
 * quarantine of crashing requests.
 */

struct target;

/* A request at its target; embedded in a struct of the submitter. */
struct target_job {
	struct traffic_request request; /* owned; freed with xdr_free() */
	/* Sends the answer; called exactly once, without locks held. */
	void (*reply)(struct target_job *job, struct traffic_answer *answer);
	/* Frees the job after its reply. */
	void (*free)(struct target_job *job);

	/* Private to target.c. */
	struct admit_request admit;
	struct once_waiter waiter;
	struct cds_list_head node;
	struct snapshot *snapshot;
	const struct table_route *route;
	struct once_record *record;
	int64_t deadline;
	int reason;		       /* enum failure_reason */
	struct traffic_answer *answer; /* NULL: reply with reason only */
	struct quarantine_entry crash; /* count 0: no crash */
	bool waiting;		       /* on target->waiting */
	bool backend_draining;	       /* the response had Backend-Draining */
	char request_id[48];
};

struct target_options {
	const char *host;
	uint64_t incarnation;
	bool has_backend;
	struct net_address backend;
	const struct admit_limit_policy *limit_policy;
	struct net_loop *loop; /* runs target_tick() */
	struct metrics *metrics;
	/* Called without locks held after a request crashed the backend. */
	void (*crashed)(void *ctx, const struct quarantine_entry *entry);
	void *ctx;
};

struct target *target_new(const struct target_options *options);

/* Applies a new configuration version; called by the control thread. */
void target_apply(struct target *target, struct snapshot *snapshot);

/* Submits a request; the job is answered and freed in every case. */
void target_submit(struct target *target, struct target_job *job);

/* Refuses new requests from now on. */
void target_drain(struct target *target);

/* Number of requests that are queued or running. */
int target_in_flight(struct target *target);

/* Merges quarantine entries received from peers. */
void target_merge_crashes(struct target *target,
			  const struct quarantine_entry *entries, size_t nr);
/* Copies at most max quarantine entries to send to peers; returns how many. */
size_t target_export_crashes(struct target *target,
			     struct quarantine_entry *entries, size_t max);

/* Timers, called by the event loop of the links. */
void target_tick(struct target *target, int64_t now);
int64_t target_next_deadline(struct target *target);

json_t *target_dump(struct target *target);

#endif

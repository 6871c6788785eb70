#ifndef GODWITSPUR_TARGET_INTERNAL_H
#define GODWITSPUR_TARGET_INTERNAL_H

#include "retry/retry.h"
#include "target.h"

/* Shared by target.c, target_policy.c and target_worker.c. */

struct target {
	struct target_options options;
	pthread_mutex_t lock; /* guards all below */
	pthread_cond_t runnable_wake;
	struct admit *admit;
	struct once *once;
	struct quarantine *quarantine;
	struct cds_list_head runnable; /* jobs admitted to a slot */
	struct cds_list_head waiting;  /* copies of a running request */
	int nr_workers;
	int nr_jobs;
	bool draining;
	int64_t backend_drain_deadline; /* new requests are refused before */
	uint64_t next_request;
	struct counter admitted;
	struct counter refused;
	struct counter crashes;
	struct histogram service_time;
};

/* Jobs whose replies are sent after the lock is released. */
struct replies {
	struct cds_list_head jobs;
};

/* Functions down to target_send_replies() are called with the lock held. */

void target_add_reply(struct replies *replies, struct target_job *job,
		      enum failure_reason reason);

/* Hands queued jobs to the workers while slots are free. */
void target_start_next(struct target *target, int64_t now,
		       struct replies *replies);

/* Replies to the copies that waited for the first copy, which has ended. */
void target_release_waiters(struct target *target, struct target_job *first,
			    struct cds_list_head *waiters,
			    enum failure_reason reason,
			    struct replies *replies);

/* Called without the lock. */
void target_send_replies(struct target *target, struct replies *replies);

/* Returns the answer encoded as XDR; the caller frees it with g_free(). */
void *target_encode_answer(struct traffic_answer *answer, size_t *len);

/* Starts the thread that detects when the backend server exits. */
void target_start_monitor(struct target *target);

/* Starts workers until there are as many as slots; never stops one. */
void target_start_workers(struct target *target, int wanted);

#endif

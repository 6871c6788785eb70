#ifndef GODWITSPUR_TARGET_INTERNAL_H
#define GODWITSPUR_TARGET_INTERNAL_H

#include "retry/retry.h"
#include "target.h"

/* What the files of the target side share. */

struct target {
	struct target_options options;
	pthread_mutex_t lock; /* guards all below */
	pthread_cond_t runnable_wake;
	struct admit *admit;
	struct once *once;
	struct quarantine *quarantine;
	struct cds_list_head runnable; /* jobs admitted to a slot */
	struct cds_list_head waiting;  /* jobs that wait for a first copy */
	int nr_workers;
	int nr_jobs;
	bool draining;
	int64_t backend_drain_deadline; /* no new work before */
	uint64_t next_request;
	struct counter admitted;
	struct counter refused;
	struct counter crashes;
	struct histogram service_time;
};

/* Jobs to answer once the lock is released. */
struct replies {
	struct cds_list_head jobs;
};

/* The lock is held in these. */
void target_add_reply(struct replies *replies, struct target_job *job,
		      enum failure_reason reason);

/* Moves the jobs that may take a slot to the workers. */
void target_start_next(struct target *target, int64_t now,
		       struct replies *replies);

/* Answers the copies that waited for a first copy which has ended. */
void target_release_waiters(struct target *target, struct target_job *first,
			    struct cds_list_head *waiters,
			    enum failure_reason reason,
			    struct replies *replies);

/* Without the lock. */
void target_send_replies(struct target *target, struct replies *replies);

/* An answer as XDR, freed with g_free(). */
void *target_encode_answer(struct traffic_answer *answer, size_t *len);

/* Starts the thread that notices the end of the backend server. */
void target_start_watch(struct target *target);

/* Starts workers up to the number of slots; never ends one. */
void target_start_workers(struct target *target, int wanted);

#endif

#ifndef ADMIT_QUEUE_H
#define ADMIT_QUEUE_H

#include <glib.h>

#include "admit/admit.h"

/* The queue of an admit instance; internal to the library. */

/* The queued requests of one caller in one priority; at least one. */
struct admit_caller {
	uint64_t caller;
	struct cds_list_head node;     /* in admit_class.callers */
	struct cds_list_head requests; /* oldest first */
	int nr_requests;
	int deficit;  /* cost that the caller may start in this turn */
	bool in_turn; /* the turn has begun and its credit was added */
};

struct admit_class {
	struct cds_list_head callers; /* the first is the next to be served */
	GHashTable *by_caller;
	int nr_callers;
	int nr_requests;
	int credit; /* starts left in this round */
	/* Lower bound of the wait deadlines; exact after admit_expire(). */
	int64_t earliest_deadline;
};

/* The priorities of each level are classes of their own. */
#define QUEUE_CLASSES (ADMIT_LEVELS * ADMIT_NR_PRIORITIES)

struct admit_queue {
	struct admit_class classes[QUEUE_CLASSES]; /* most urgent first */
	int nr_requests;
	int64_t expected_ns; /* sum of the expected run times, where known */
};

/*
 * Latest time until which a request may wait: the earlier of its deadline and
 * its objective, if it has one.
 */
int64_t queue_wait_deadline(const struct admit_request *request);

void queue_init(struct admit_queue *queue);
void queue_release(struct admit_queue *queue);
void queue_push(struct admit_queue *queue, struct admit_request *request);
void queue_remove(struct admit_queue *queue, struct admit_request *request);

/* Removes and returns the next request to start; NULL when empty. */
struct admit_request *queue_pop(struct admit_queue *queue);

/* Upper estimate of the requests that start before a new one. */
int queue_ahead(const struct admit_queue *queue,
		const struct admit_request *arrival);

/* Expected run time of the first requests, by the mean of those queued. */
int64_t queue_work_ns(const struct admit_queue *queue, int nr_requests);

/* The queued requests of a priority, of all levels. */
int queue_count(const struct admit_queue *queue, enum admit_priority priority);

/* The queued request that an arrival displaces in a full queue, or NULL. */
struct admit_request *queue_victim(const struct admit_queue *queue,
				   const struct admit_request *arrival,
				   int queue_max);

#endif

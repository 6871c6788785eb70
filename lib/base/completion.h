#ifndef BASE_COMPLETION_H
#define BASE_COMPLETION_H

#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * Lets one thread wait until another thread has finished a task. Data that is
 * written before completion_signal() may be read after completion_wait() has
 * returned true; the lock orders the two.
 */
struct completion {
	pthread_mutex_t lock;
	pthread_cond_t wake;
	bool done;
};

void completion_init(struct completion *completion);
void completion_release(struct completion *completion);

/* Marks the completion as done and wakes the waiting thread. */
void completion_signal(struct completion *completion);

/*
 * Waits until the completion is done or the deadline (monotonic ns) has passed;
 * with DEADLINE_NEVER the wait has no limit. Returns whether it is done.
 */
bool completion_wait(struct completion *completion, int64_t deadline);

#endif

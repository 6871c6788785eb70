#ifndef BASE_COMPLETION_H
#define BASE_COMPLETION_H

#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * Lets one thread wait until another has finished something. The data handed
 * over is written before completion_signal() and read after a wait that
 * returned true, which orders the two.
 */
struct completion {
	pthread_mutex_t lock;
	pthread_cond_t wake;
	bool done;
};

void completion_init(struct completion *completion);
void completion_release(struct completion *completion);

/* Marks it done and wakes the waiting thread. */
void completion_signal(struct completion *completion);

/*
 * Waits until it is done or the monotonic deadline in nanoseconds has passed;
 * DEADLINE_NEVER waits without end. Returns whether it is done.
 */
bool completion_wait(struct completion *completion, int64_t deadline);

#endif

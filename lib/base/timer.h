#ifndef BASE_TIMER_H
#define BASE_TIMER_H

#include <glib.h>
#include <stdint.h>

/*
 * The timers of one thread, kept in a binary heap. A timer is embedded in the
 * object that it belongs to; setting or cancelling it costs O(log n).
 */

struct timer {
	int64_t deadline; /* monotonic ns */
	guint position;	  /* 1-based index in the heap; 0: not set */
	/* Called once at the deadline; the callback may set the timer again. */
	void (*fire)(struct timer *timer, int64_t now);
};

struct timers {
	GPtrArray *heap;
};

void timers_init(struct timers *timers);
void timers_release(struct timers *timers);

/* Sets the timer, or changes its deadline when it is already set. */
void timers_set(struct timers *timers, struct timer *timer, int64_t deadline);

/* Cancels the timer; does nothing when it is not set. */
void timers_cancel(struct timers *timers, struct timer *timer);

/* Returns the earliest deadline, or DEADLINE_NEVER. */
int64_t timers_next(const struct timers *timers);

/*
 * Fires the timers whose deadline has passed. A timer that its own callback
 * sets to a time in the past fires at the next call.
 */
void timers_run(struct timers *timers, int64_t now);

#endif

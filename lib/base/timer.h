#ifndef BASE_TIMER_H
#define BASE_TIMER_H

#include <glib.h>
#include <stdint.h>

/*
 * Timers of one thread in a binary heap. A timer is embedded in the object
 * that it belongs to; setting or cancelling it costs O(log n).
 */

struct timer {
	int64_t deadline; /* monotonic ns */
	guint position;	  /* in the heap, from 1; 0: not set */
	/* Called once at the deadline; the timer may be set again there. */
	void (*fire)(struct timer *timer, int64_t now);
};

struct timers {
	GPtrArray *heap;
};

void timers_init(struct timers *timers);
void timers_release(struct timers *timers);

/* Sets the timer, or moves it when it is set already. */
void timers_set(struct timers *timers, struct timer *timer, int64_t deadline);

/* Does nothing when the timer is not set. */
void timers_cancel(struct timers *timers, struct timer *timer);

/* The earliest deadline, or DEADLINE_NEVER. */
int64_t timers_next(const struct timers *timers);

/* Fires what is due. */
void timers_run(struct timers *timers, int64_t now);

#endif

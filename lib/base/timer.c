#include "base/timer.h"

#include "base/clock.h"

static struct timer *at(const struct timers *timers, guint position)
{
	return g_ptr_array_index(timers->heap, position - 1);
}

static void place(struct timers *timers, struct timer *timer, guint position)
{
	g_ptr_array_index(timers->heap, position - 1) = timer;
	timer->position = position;
}

static void sift_up(struct timers *timers, struct timer *timer, guint position)
{
	while (position > 1) {
		struct timer *parent = at(timers, position / 2);

		if (parent->deadline <= timer->deadline)
			break;
		place(timers, parent, position);
		position /= 2;
	}
	place(timers, timer, position);
}

static void sift_down(struct timers *timers, struct timer *timer,
		      guint position)
{
	guint nr = timers->heap->len;

	for (;;) {
		guint child = 2 * position;

		if (child > nr)
			break;
		if (child < nr && at(timers, child + 1)->deadline <
					  at(timers, child)->deadline)
			child++;
		if (timer->deadline <= at(timers, child)->deadline)
			break;
		place(timers, at(timers, child), position);
		position = child;
	}
	place(timers, timer, position);
}

void timers_init(struct timers *timers)
{
	timers->heap = g_ptr_array_new();
}

void timers_release(struct timers *timers)
{
	g_ptr_array_unref(timers->heap);
	timers->heap = NULL;
}

void timers_cancel(struct timers *timers, struct timer *timer)
{
	guint position = timer->position;
	struct timer *last;

	if (!position)
		return;
	timer->position = 0;
	last = at(timers, timers->heap->len);
	g_ptr_array_set_size(timers->heap, (gint)timers->heap->len - 1);
	if (last == timer)
		return;
	sift_down(timers, last, position);
	sift_up(timers, last, last->position);
}

void timers_set(struct timers *timers, struct timer *timer, int64_t deadline)
{
	timers_cancel(timers, timer);
	timer->deadline = deadline;
	g_ptr_array_add(timers->heap, timer);
	sift_up(timers, timer, timers->heap->len);
}

int64_t timers_next(const struct timers *timers)
{
	return timers->heap->len ? at(timers, 1)->deadline : DEADLINE_NEVER;
}

void timers_run(struct timers *timers, int64_t now)
{
	/* Limits the loop when callbacks set their timers to the past. */
	guint max_fires = timers->heap->len;

	while (max_fires-- && timers->heap->len &&
	       at(timers, 1)->deadline <= now) {
		struct timer *timer = at(timers, 1);

		timers_cancel(timers, timer);
		timer->fire(timer, now);
	}
}

#include "retry/window.h"

#include <glib.h>

#include "base/clock.h"

/* The slot of the present, which is emptied when its last use is over. */
static struct retry_window_slot *slot_at(struct retry_window *window,
					 int64_t now)
{
	int64_t number = now / window->slot_ns;
	struct retry_window_slot *slot =
		&window->slots[number % RETRY_WINDOW_SLOTS];

	if (slot->number != number)
		*slot = (struct retry_window_slot){ .number = number };
	return slot;
}

/* Repeats of the whole window and of the slot under way. */
static int count_repeats(const struct retry_window *window, int64_t number)
{
	int repeats = 0;

	for (int i = 0; i < RETRY_WINDOW_SLOTS; i++) {
		if (number - window->slots[i].number < RETRY_WINDOW_SLOTS)
			repeats += window->slots[i].repeats;
	}
	return repeats;
}

/* Requests of not more than the window: the oldest slot may be outside. */
static int count_requests(const struct retry_window *window, int64_t number)
{
	int requests = 0;

	for (int i = 0; i < RETRY_WINDOW_SLOTS; i++) {
		if (number - window->slots[i].number < RETRY_WINDOW_SLOTS - 1)
			requests += window->slots[i].requests;
	}
	return requests;
}

/*
 * Repeats to be kept for urgent requests: they may go on to ask as much as in
 * their worst slot.
 */
static double reserve(const struct retry_window *window, int64_t number,
		      double limit)
{
	int worst = 0, given = 0;

	for (int i = 0; i < RETRY_WINDOW_SLOTS; i++) {
		const struct retry_window_slot *slot = &window->slots[i];

		if (number - slot->number >= RETRY_WINDOW_SLOTS)
			continue;
		worst = MAX(worst, slot->urgent_asked);
		given += slot->urgent_given;
	}
	return CLAMP(worst * (RETRY_WINDOW_SLOTS - 1) - given, 0,
		     limit * RETRY_RESERVE_MAX);
}

void retry_window_set(struct retry_window *window,
		      const struct retry_window_options *options, int64_t now)
{
	bool is_new = !window->slot_ns;
	int64_t slot_ns =
		MAX(options->window_ms * NS_PER_MS / (RETRY_WINDOW_SLOTS - 1),
		    1);

	if (window->slot_ns != slot_ns) {
		*window = (struct retry_window){ .slot_ns = slot_ns };
		is_new = true;
	}
	window->ratio = options->ratio * RETRY_SHARE;
	/* A daemon that may never repeat anything would serve no one. */
	window->slack = MAX((double)options->slack * RETRY_SHARE /
				    MAX(options->nr_daemons, 1),
			    1);
	if (is_new)
		window->fresh_until = now + options->window_ms * NS_PER_MS;
}

void retry_window_request(struct retry_window *window, int64_t now)
{
	if (window->slot_ns)
		slot_at(window, now)->requests++;
}

bool retry_window_take(struct retry_window *window, enum retry_urgency urgency,
		       int64_t now)
{
	struct retry_window_slot *slot;
	int64_t number;
	double limit;

	if (!window->slot_ns)
		return false;
	number = now / window->slot_ns;
	slot = slot_at(window, now);
	limit = window->ratio * count_requests(window, number) +
		(now < window->fresh_until ? window->slack / 2 : window->slack);
	if (urgency == RETRY_URGENT)
		slot->urgent_asked++;
	else
		limit -= reserve(window, number, limit);
	if (count_repeats(window, number) + 1 > limit)
		return false;
	slot->repeats++;
	slot->urgent_given += urgency == RETRY_URGENT;
	return true;
}

#include "retry/window.h"

#include <glib.h>

#include "base/clock.h"

/* The current slot, cleared when it still holds counts of an older one. */
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

/* Retries in the whole window and the current slot. */
static int count_retries(const struct retry_window *window, int64_t number)
{
	int retries = 0;

	for (int i = 0; i < RETRY_WINDOW_SLOTS; i++) {
		if (number - window->slots[i].number < RETRY_WINDOW_SLOTS)
			retries += window->slots[i].retries;
	}
	return retries;
}

/*
 * Requests in at most the window. The oldest slot is left out, since it may
 * lie partly outside.
 */
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
 * Retries reserved for urgent requests: enough for a whole window at the demand
 * of the slot with the highest demand.
 */
static double reserve(const struct retry_window *window, int64_t number,
		      double limit)
{
	int peak = 0, granted = 0;

	for (int i = 0; i < RETRY_WINDOW_SLOTS; i++) {
		const struct retry_window_slot *slot = &window->slots[i];

		if (number - slot->number >= RETRY_WINDOW_SLOTS)
			continue;
		peak = MAX(peak, slot->urgent_requested);
		granted += slot->urgent_granted;
	}
	return CLAMP(peak * (RETRY_WINDOW_SLOTS - 1) - granted, 0,
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
	/* At least one, or many daemons with a small slack could not retry. */
	window->slack = MAX((double)options->slack * RETRY_SHARE /
				    MAX(options->nr_daemons, 1),
			    1);
	if (is_new)
		window->initial_until = now + options->window_ms * NS_PER_MS;
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
		(now < window->initial_until ? window->slack / 2
					     : window->slack);
	if (urgency == RETRY_URGENT)
		slot->urgent_requested++;
	else
		limit -= reserve(window, number, limit);
	if (count_retries(window, number) + 1 > limit)
		return false;
	slot->retries++;
	slot->urgent_granted += urgency == RETRY_URGENT;
	return true;
}

#ifndef RETRY_WINDOW_H
#define RETRY_WINDOW_H

#include <stdbool.h>
#include <stdint.h>

/*
 * One daemon's share of the repeats that a service bears from all daemons
 * together: in any window of time at most a ratio of the requests of that
 * window, and a few besides. Counting the window itself lets a daemon spend on
 * a trouble of seconds what the calm before it has earned; a bucket that holds
 * a share of the few only would have thrown that away. Pure: no I/O, no clock.
 */

/*
 * Part of what a service bears that the daemons spend together. The rest is
 * left for those that restart with a fresh share and for requests whose repeats
 * call other services.
 */
#define RETRY_SHARE 0.6

/*
 * Most of its share that a daemon keeps for urgent requests, by what they asked
 * for in the window.
 */
#define RETRY_RESERVE_MAX 0.5

/* Slots of the window, of which one is under way. */
#define RETRY_WINDOW_SLOTS 11

enum retry_urgency {
	RETRY_USUAL,
	RETRY_URGENT
};

struct retry_window_slot {
	int64_t number; /* of the span of time that it counts */
	int requests;
	int repeats;
	int urgent_asked; /* repeats of urgent requests, given or not */
	int urgent_given;
};

struct retry_window_options {
	int64_t window_ms; /* above 0 */
	double ratio;	   /* of requests, for each service */
	int slack;	   /* repeats besides, of all daemons together */
	int nr_daemons;	   /* 1 or more */
};

/* All zero before the first retry_window_set(). */
struct retry_window {
	int64_t slot_ns;
	double ratio;	     /* the daemon's part of the options' */
	double slack;	     /* the same */
	int64_t fresh_until; /* half of the slack until then */
	struct retry_window_slot slots[RETRY_WINDOW_SLOTS];
};

/*
 * Takes new settings and keeps what was counted. In the first window half of
 * the slack counts as spent, since the process before may have spent its own.
 */
void retry_window_set(struct retry_window *window,
		      const struct retry_window_options *options, int64_t now);

/* Counts a request, not a repeat, of the service. */
void retry_window_request(struct retry_window *window, int64_t now);

/* Takes one repeat; false, and nothing taken, when the share is used up. */
bool retry_window_take(struct retry_window *window, enum retry_urgency urgency,
		       int64_t now);

#endif

#ifndef RETRY_WINDOW_H
#define RETRY_WINDOW_H

#include <stdbool.h>
#include <stdint.h>

/*
 * One daemon's share of the retries that a service tolerates from all daemons
 * together: in any time window at most a ratio of the requests in that window
 * plus a slack. Requests are counted over a sliding window, so that during a
 * failure of some seconds a daemon can use the retries earned before it. A
 * token bucket that holds only a share of the slack would have discarded them.
 * No I/O, no clock.
 */

/*
 * Share of the tolerated retries that the daemons use together. The rest is
 * left for daemons that restart with a new share and for requests whose retries
 * call other services.
 */
#define RETRY_SHARE 0.6

/* Largest part of its share that a daemon reserves for urgent requests. */
#define RETRY_RESERVE_MAX 0.5

/* Slots of the window, including the current one, which is incomplete. */
#define RETRY_WINDOW_SLOTS 11

enum retry_urgency {
	RETRY_NORMAL,
	RETRY_URGENT
};

struct retry_window_slot {
	int64_t number; /* time / slot_ns of the counted interval */
	int requests;
	int retries;
	int urgent_requested; /* retries wanted for urgent requests */
	int urgent_granted;   /* retries granted of these */
};

struct retry_window_options {
	int64_t window_ms; /* above 0 */
	double ratio;	   /* retries for each request */
	int slack;	   /* retries in addition, of all daemons together */
	int nr_daemons;	   /* 1 or more */
};

/* All zero before the first retry_window_set(). */
struct retry_window {
	int64_t slot_ns;
	double ratio;	       /* this daemon's part of the ratio */
	double slack;	       /* this daemon's part of the slack */
	int64_t initial_until; /* only half of the slack is usable until then */
	struct retry_window_slot slots[RETRY_WINDOW_SLOTS];
};

/*
 * Applies new settings and keeps the counts, unless window_ms changes. In the
 * first window half of the slack counts as used, since an earlier process may
 * have used its own.
 */
void retry_window_set(struct retry_window *window,
		      const struct retry_window_options *options, int64_t now);

/* Counts a request of the service, not a retry. */
void retry_window_request(struct retry_window *window, int64_t now);

/* Takes one retry; false, and nothing taken, when the share is used up. */
bool retry_window_take(struct retry_window *window, enum retry_urgency urgency,
		       int64_t now);

#endif

#ifndef NET_PACER_H
#define NET_PACER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <urcu/list.h>

#include "base/cleanup.h"
#include "base/timer.h"

/*
 * A token bucket that shares the uplink of a host between long outputs. Bytes
 * that are in a socket buffer delay all bytes written after them: on a link of
 * 15 Mbit/s, a few responses of 500 KB delay everything else by a second. The
 * pacer therefore writes long outputs in slices, slightly below the rate of the
 * link, and picks the output with the fewest bytes left for each slice. An
 * output that has waited for a second gets the next slice, as its reader would
 * take a connection without bytes for dead. Short outputs are written at once
 * by their owners.
 *
 * A pacer belongs to the thread that runs its timers. `now` is monotonic ns.
 */

struct net_pacer;

/* A paced output; embedded in the object that owns it. */
struct net_paced {
	struct cds_list_head node;
	bool queued;	    /* in the pacer's queue */
	int64_t written_at; /* when it was queued or last got a slice */
	size_t bytes_left;  /* not written yet; set by the owner */
	/*
	 * Writes at most bytes_max bytes, updates bytes_left and returns the
	 * number of bytes written. A smaller number than bytes_max means that
	 * the socket is full. The pacer then removes the output from its queue,
	 * and the owner adds it again when the socket is writable.
	 */
	size_t (*write)(struct net_paced *paced, size_t bytes_max);
};

struct net_pacer_options {
	struct timers *timers; /* borrowed */
	double bytes_per_s;    /* rate of the link, above 0 */
};

struct net_pacer *net_pacer_new(const struct net_pacer_options *options,
				int64_t now);

/* Frees a pacer, which must have no queued output. */
void net_pacer_free(struct net_pacer *pacer);
DEFINE_CLEANUP(struct net_pacer, net_pacer_free)

/* Queues an output. Its slices are written by the timer, not by this call. */
void net_pacer_add(struct net_pacer *pacer, struct net_paced *paced,
		   int64_t now);

/* Removes an output from the queue; does nothing when it is not queued. */
void net_pacer_remove(struct net_pacer *pacer, struct net_paced *paced);

/* Charges the link for bytes that were written without pacing. */
void net_pacer_charge(struct net_pacer *pacer, size_t bytes, int64_t now);

/* Returns the number of bytes that are queued. */
size_t net_pacer_backlog(const struct net_pacer *pacer);

/* Returns how long the link takes to carry this number of bytes (ns). */
int64_t net_pacer_transfer_time(const struct net_pacer *pacer, size_t bytes);

#endif

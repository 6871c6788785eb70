#ifndef NET_PACER_H
#define NET_PACER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <urcu/list.h>

#include "base/cleanup.h"
#include "base/timer.h"

/*
 * Shares the uplink of a host between long outputs. What is written to a socket
 * cannot be overtaken any more: on a link of 15 Mbit/s a few answers of 500 KB
 * hold up everything else for a second. So long outputs are handed to their
 * sockets a slice at a time, a little slower than the link carries them, the
 * one with the least left first; short ones are written at once.
 *
 * Used on one thread, the one that runs the timers. `now` is monotonic ns.
 */

struct net_pacer;

/* An output that takes turns; embedded in the object that owns it. */
struct net_paced {
	struct cds_list_head node;
	bool waiting; /* for its turn */
	size_t left;  /* bytes that are not written yet; set by the owner */
	/*
	 * Writes at most so many bytes, sets left and returns the number. When
	 * it wrote less, the socket takes no more: the owner adds the output
	 * again when it does.
	 */
	size_t (*write)(struct net_paced *paced, size_t bytes_max);
};

struct net_pacer_options {
	struct timers *timers; /* borrowed */
	double bytes_per_s;    /* of the link, above 0 */
};

struct net_pacer *net_pacer_new(const struct net_pacer_options *options,
				int64_t now);

/* No output may wait. */
void net_pacer_free(struct net_pacer *pacer);
DEFINE_CLEANUP(struct net_pacer, net_pacer_free)

/* Queues an output; its turn comes from the timers, never within the call. */
void net_pacer_add(struct net_pacer *pacer, struct net_paced *paced,
		   int64_t now);

/* Does nothing when the output does not wait. */
void net_pacer_remove(struct net_pacer *pacer, struct net_paced *paced);

/* Counts bytes that were written without waiting for a turn. */
void net_pacer_charge(struct net_pacer *pacer, size_t bytes, int64_t now);

/* Bytes that wait for their turn. */
size_t net_pacer_backlog(const struct net_pacer *pacer);

/* How long the link needs for so many bytes (ns). */
int64_t net_pacer_time(const struct net_pacer *pacer, size_t bytes);

#endif

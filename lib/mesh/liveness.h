#ifndef MESH_LIVENESS_H
#define MESH_LIVENESS_H

#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"

/*
 * Failure detection between two daemons. The kernel of a host whose daemon
 * hangs still accepts connections and bytes, so only bytes received from the
 * daemon itself show that it is alive. Pure; times are monotonic ns.
 */

/* A daemon that sent bytes this recently is assumed to read a request now. */
#define LIVENESS_CONFIRMED_NS (10 * NS_PER_MS)

enum liveness_state {
	LIVENESS_CONFIRMED, /* bytes were received within LIVENESS_CONFIRMED_NS
			     */
	LIVENESS_ALIVE,	    /* no timeout has passed */
	LIVENESS_SUSPECT,   /* a probe got no answer within suspect_ns */
	LIVENESS_LOST	    /* a probe got no answer within lost_ns */
};

/* How long a probe may go without any bytes from the daemon. */
struct liveness_timeouts {
	int64_t suspect_ns;
	int64_t lost_ns; /* not less than suspect_ns */
};

struct liveness {
	int64_t received_at;   /* when bytes were last received; 0: never */
	int64_t probe_sent_at; /* when the unanswered probe was sent; 0: none */
};

enum liveness_state liveness_state(const struct liveness *liveness,
				   const struct liveness_timeouts *waits,
				   int64_t now);

/*
 * When the daemon becomes suspect, or lost if it is suspect, unless bytes are
 * received; DEADLINE_NEVER without an unanswered probe.
 */
int64_t liveness_next_deadline(const struct liveness *liveness,
			       const struct liveness_timeouts *waits,
			       int64_t now);

#endif

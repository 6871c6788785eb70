#ifndef MESH_LIVENESS_H
#define MESH_LIVENESS_H

#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"

/*
 * What one daemon believes of another by what it hears from it. A host that
 * stands still or is cut off still takes connections and bytes, so only an
 * answer of its daemon is a sign of life. Pure; times are monotonic ns.
 */

/* A daemon that was heard so lately reads what is sent to it now. */
#define LIVENESS_SURE_NS (10 * NS_PER_MS)

enum liveness_state {
	LIVENESS_SURE,	  /* heard a moment ago */
	LIVENESS_ALIVE,	  /* nothing speaks against it */
	LIVENESS_SUSPECT, /* a question is not answered for too long */
	LIVENESS_LOST	  /* the same, for so long that it is given up */
};

/* How long a question may stay without any sign of life. */
struct liveness_waits {
	int64_t suspect_ns;
	int64_t lost_ns; /* not less than suspect_ns */
};

struct liveness {
	int64_t heard_at; /* the last sign of life; 0: none yet */
	int64_t asked_at; /* of the question that is not answered; 0: none */
};

enum liveness_state liveness_state(const struct liveness *liveness,
				   const struct liveness_waits *waits,
				   int64_t now);

/*
 * When the daemon becomes suspect, or lost if it is suspect, without a sign of
 * life; DEADLINE_NEVER while nothing is asked.
 */
int64_t liveness_next(const struct liveness *liveness,
		      const struct liveness_waits *waits, int64_t now);

#endif

#ifndef RELAY_LOSSES_H
#define RELAY_LOSSES_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Records requests whose connection to the backend server broke while they may
 * have been running. If the server is then found to have crashed, the most
 * recent of them may have caused it.
 */

/* Most requests kept; the oldest one is overwritten. */
#define LOSSES_MAX 64

struct loss {
	uint64_t fingerprint;
	int64_t at; /* monotonic ns; 0: none, or taken */
};

/* All zero at the start. */
struct losses {
	struct loss ring[LOSSES_MAX];
	unsigned nr; /* recorded since the start; may wrap */
};

void losses_note(struct losses *losses, uint64_t fingerprint, int64_t now);

/* Takes out a recently lost request; false when there is none. */
bool losses_take(struct losses *losses, int64_t now, uint64_t *fingerprint);

#endif

#ifndef RELAY_LOSSES_H
#define RELAY_LOSSES_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Requests whose connection to the backend server broke while they may have
 * run. When the server turns out to have ended, those of the last moment may
 * have caused it.
 */

#define LOSSES_MAX 64

struct loss {
	uint64_t fingerprint;
	int64_t at; /* 0: taken */
};

/* All zero at the start. */
struct losses {
	struct loss ring[LOSSES_MAX];
	unsigned nr; /* ever */
};

void losses_note(struct losses *losses, uint64_t fingerprint, int64_t now);

/* Takes a request that was lost shortly before; false when there is none. */
bool losses_take(struct losses *losses, int64_t now, uint64_t *fingerprint);

#endif

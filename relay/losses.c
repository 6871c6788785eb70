#include "relay/losses.h"

#include "base/clock.h"

/* A crash may be caused by requests lost at most this long before. */
#define CRASH_WINDOW_NS (500 * NS_PER_MS)

void losses_note(struct losses *losses, uint64_t fingerprint, int64_t now)
{
	losses->ring[losses->nr++ % LOSSES_MAX] =
		(struct loss){ .fingerprint = fingerprint, .at = now };
}

bool losses_take(struct losses *losses, int64_t now, uint64_t *fingerprint)
{
	for (unsigned i = 0; i < LOSSES_MAX; i++) {
		struct loss *loss = &losses->ring[i];

		if (!loss->at || now - loss->at > CRASH_WINDOW_NS)
			continue;
		loss->at = 0;
		*fingerprint = loss->fingerprint;
		return true;
	}
	return false;
}

#include "mesh/liveness.h"

#include <glib.h>

static int64_t silent_since(const struct liveness *liveness)
{
	return MAX(liveness->probe_sent_at, liveness->received_at);
}

enum liveness_state liveness_state(const struct liveness *liveness,
				   const struct liveness_timeouts *waits,
				   int64_t now)
{
	int64_t silent_ns = now - silent_since(liveness);

	if (liveness->probe_sent_at && silent_ns >= waits->lost_ns)
		return LIVENESS_LOST;
	if (liveness->probe_sent_at && silent_ns >= waits->suspect_ns)
		return LIVENESS_SUSPECT;
	if (liveness->received_at &&
	    now - liveness->received_at < LIVENESS_CONFIRMED_NS)
		return LIVENESS_CONFIRMED;
	return LIVENESS_ALIVE;
}

int64_t liveness_next_deadline(const struct liveness *liveness,
			       const struct liveness_timeouts *waits,
			       int64_t now)
{
	int64_t since = silent_since(liveness);

	if (!liveness->probe_sent_at)
		return DEADLINE_NEVER;
	return now < since + waits->suspect_ns ? since + waits->suspect_ns
					       : since + waits->lost_ns;
}

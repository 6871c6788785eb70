#include "mesh/liveness.h"

#include <glib.h>

static int64_t silent_since(const struct liveness *liveness)
{
	return MAX(liveness->asked_at, liveness->heard_at);
}

enum liveness_state liveness_state(const struct liveness *liveness,
				   const struct liveness_waits *waits,
				   int64_t now)
{
	int64_t silent_ns = now - silent_since(liveness);

	if (liveness->asked_at && silent_ns >= waits->lost_ns)
		return LIVENESS_LOST;
	if (liveness->asked_at && silent_ns >= waits->suspect_ns)
		return LIVENESS_SUSPECT;
	if (liveness->heard_at && now - liveness->heard_at < LIVENESS_SURE_NS)
		return LIVENESS_SURE;
	return LIVENESS_ALIVE;
}

int64_t liveness_next(const struct liveness *liveness,
		      const struct liveness_waits *waits, int64_t now)
{
	int64_t since = silent_since(liveness);

	if (!liveness->asked_at)
		return DEADLINE_NEVER;
	return now < since + waits->suspect_ns ? since + waits->suspect_ns
					       : since + waits->lost_ns;
}

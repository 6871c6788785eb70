#include "mesh/recent.h"

#include "base/clock.h"

/* News reach all daemons within this time, unless something is wrong. */
#define SPREAD_NS (1 * NS_PER_SEC)

void mesh_recent_note(struct mesh_recent *recent, int64_t revision, int64_t now)
{
	if (recent->next_at && now - recent->next_at < SPREAD_NS)
		return;
	recent->revision = recent->next;
	recent->next = revision;
	recent->next_at = now;
}

#include "mesh/recent.h"

#include "base/clock.h"

/* A change reaches all daemons within this time, barring faults. */
#define SPREAD_NS (1 * NS_PER_SEC)

void mesh_recent_note(struct mesh_recent *recent, int64_t revision, int64_t now)
{
	if (recent->next_at && now - recent->next_at < SPREAD_NS)
		return;
	recent->revision = recent->next;
	recent->next = revision;
	recent->next_at = now;
}

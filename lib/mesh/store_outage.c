#include "mesh/store_outage.h"

#include <glib.h>
#include <stdbool.h>

/*
 * Whether a read ends an outage. Time without a read is none if nobody failed:
 * the readers may have ended, and the next ones not begun yet. A daemon that
 * knows of no read may have started in an outage.
 */
static bool ends_outage(const struct store_outage *outage, int64_t at)
{
	if (!outage->read_at)
		return true;
	return outage->failed_at >= outage->read_at &&
	       at - outage->read_at >= STORE_OUTAGE_MIN_NS;
}

void store_outage_note_read(struct store_outage *outage, int64_t at)
{
	if (at > outage->read_at) {
		if (ends_outage(outage, at)) {
			outage->returned_at = at;
			outage->hold_deadline = at + STORE_OUTAGE_HOLD_NS;
		}
		outage->read_at = at;
	} else if (at < outage->returned_at &&
		   outage->returned_at - at < STORE_OUTAGE_MIN_NS) {
		/* Another daemon read the store meanwhile: there was none. */
		outage->returned_at = at;
		outage->hold_deadline = 0;
	}
}

void store_outage_note_failure(struct store_outage *outage, int64_t at)
{
	outage->failed_at = MAX(outage->failed_at, at);
}

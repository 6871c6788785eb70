#include "mesh/store_outage.h"

#include <glib.h>
#include <stdbool.h>

/*
 * Whether a read ends an outage that began after another one. Time without a
 * read is none if nobody failed: the readers may have ended, and the next ones
 * not begun yet. A daemon that knows of no read may have started in an outage.
 */
static bool ends_outage(const struct store_outage *outage, int64_t before,
			int64_t at)
{
	return !before || (outage->failed_at >= before &&
			   at - before >= STORE_OUTAGE_MIN_NS);
}

static void set_return(struct store_outage *outage, int64_t before, int64_t at)
{
	outage->left_at = before;
	outage->returned_at = at;
	outage->hold_deadline = at + STORE_OUTAGE_HOLD_NS;
}

/* A read within what counts as the last outage was reported late. */
static void note_late_read(struct store_outage *outage, int64_t at)
{
	if (ends_outage(outage, at, outage->returned_at))
		outage->left_at = at;
	else if (ends_outage(outage, outage->left_at, at))
		set_return(outage, outage->left_at, at);
	else
		outage->hold_deadline = 0;
}

void store_outage_note_read(struct store_outage *outage, int64_t at)
{
	if (at < outage->started_at)
		return;
	if (at > outage->read_at) {
		if (ends_outage(outage, outage->read_at, at))
			set_return(outage, outage->read_at, at);
		outage->read_at = at;
	} else if (at > outage->left_at && at < outage->returned_at) {
		note_late_read(outage, at);
	}
}

void store_outage_note_failure(struct store_outage *outage, int64_t at)
{
	outage->failed_at = MAX(outage->failed_at, at);
}

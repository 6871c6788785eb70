#include "relay/call.h"

/* The status and the Retry-After of requests that were refused unrun. */

/* Retry-After of refused requests; the default if no daemon sent its wait. */
#define RETRY_AFTER_MIN_MS 50
#define RETRY_AFTER_MAX_MS 1000
#define RETRY_AFTER_DEFAULT_MS 150

/* Retry-After of a request that crashes servers; it stays refused for long. */
#define RETRY_AFTER_QUARANTINED_MS 30000

int64_t caller_side_retry_after_ms(struct caller_side *side, int64_t wait_ms)
{
	if (wait_ms < 0)
		wait_ms = RETRY_AFTER_DEFAULT_MS;
	wait_ms = CLAMP(wait_ms, RETRY_AFTER_MIN_MS, RETRY_AFTER_MAX_MS);
	/* Jitter of 75 to 125%, so that callers do not return all at once. */
	return wait_ms * (75 + (int64_t)rng_below(&side->rng, 51)) / 100;
}

int call_refusal(struct call *call, enum failure_reason reason,
		 int64_t *retry_after_ms)
{
	struct caller_side *side = call->side;

	switch (reason) {
	case FAILURE_QUOTA:
		*retry_after_ms =
			quota_side_retry_after_ms(side->quota,
						  call->identity.name);
		return 429;
	case FAILURE_KEY_REVOKED:
		*retry_after_ms = 0;
		return 401;
	case FAILURE_QUARANTINED:
		*retry_after_ms = RETRY_AFTER_QUARANTINED_MS;
		return 503;
	default:
		*retry_after_ms =
			caller_side_retry_after_ms(side, call->wait_ms);
		return 503;
	}
}

void call_count_refusal(struct call *call, enum failure_reason reason)
{
	enum organisation_count kind = reason == FAILURE_QUOTA
					       ? ORGANISATION_REFUSED_QUOTA
					       : ORGANISATION_REFUSED_ROOM;

	if (reason != FAILURE_KEY_REVOKED)
		organisation_counts_add(call->side->counts, call->identity.name,
					kind);
}

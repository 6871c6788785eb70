#include <inttypes.h>

#include "base/clock.h"
#include "base/log.h"
#include "relay/call.h"

/* The organisation's part in a caller's request: its quota and its key. */

static void start(struct call *call)
{
	retry_window_request(
		&caller_side_service(call->side, call->service_index)->retries,
		call->arrival);
	call_start(call);
}

static void on_quota(struct quota_wait *wait, bool taken)
{
	struct call *call = caa_container_of(wait, struct call, quota_wait);

	if (taken)
		start(call);
	else
		call_end(call, FAILURE_QUOTA, NULL);
}

void call_admit(struct call *call)
{
	call->quota_wait.done = on_quota;
	switch (quota_side_take(call->side->quota, call->identity.name,
				&call->quota_wait)) {
	case QUOTA_TAKEN:
		start(call);
		break;
	case QUOTA_REFUSED:
		call_end(call, FAILURE_QUOTA, NULL);
		break;
	case QUOTA_WAIT:
		break;
	}
}

void call_refund(struct call *call)
{
	if (!call->nr_sent && !call->may_have_run)
		quota_side_refund(call->side->quota, call->identity.name,
				  &call->quota_wait);
}

void call_log_quota_refusal(const struct call *call)
{
	log_event(LOG_INFO, "quota_refused",
		  "id=%s route=%s version=%" PRId64
		  " organisation=%s held_ms=%" PRId64 " %s",
		  call_id(call), log_quote(call->route->name),
		  call->view->config->version, log_quote(call->identity.name),
		  (clock_monotonic_ns() - call->arrival) / NS_PER_MS,
		  quota_side_state_text(call->side->quota,
					call->identity.name));
}

/*
 * Applies a configuration in which the request's key is revoked or belongs to
 * another organisation. What runs completes; what waits is taken back, and is
 * refused or placed anew when the answer to the recall arrives.
 */
static void apply_identity(struct call *call, const struct mesh_config *config)
{
	bool moved;

	if (!identity_refresh(&call->identity, config, &moved))
		call->is_revoked = true;
	else if (!moved)
		return;
	if (call->quota_wait.organisation && call->is_revoked) {
		quota_side_cancel(&call->quota_wait);
		call_end(call, FAILURE_KEY_REVOKED, NULL);
		return;
	}
	call_recall(call);
}

/* Whether a call is still in progress; others may have ended meanwhile. */
static bool is_in_progress(const struct caller_side *side,
			   const struct call *call)
{
	const struct call *other;

	cds_list_for_each_entry (other, &side->calls, node)
		if (other == call)
			return true;
	return false;
}

void caller_side_apply_identities(struct caller_side *side)
{
	const struct mesh_config *config = side->view->config;
	g_autoptr(GPtrArray) calls = g_ptr_array_new();
	struct call *call;

	if (!config || !config->organisations)
		return;
	cds_list_for_each_entry (call, &side->calls, node) {
		struct identity identity = call->identity;
		bool moved;

		if (!call->is_revoked && call->view->config != config &&
		    (!identity_refresh(&identity, config, &moved) || moved))
			g_ptr_array_add(calls, call);
	}
	for (guint i = 0; i < calls->len; i++) {
		call = g_ptr_array_index(calls, i);
		if (is_in_progress(side, call))
			apply_identity(call, config);
	}
}

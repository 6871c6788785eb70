#include "base/clock.h"
#include "base/log.h"
#include "platform/platform.h"
#include "relay/backend_side_internal.h"

/* Applies what health probes report of the local server. */

/*
 * Added to the cold time that a server reports, which is rounded to whole
 * milliseconds and already old when it arrives.
 */
#define COLD_MARGIN_NS (100 * NS_PER_MS)

/*
 * Notes which server answers at the address. The settings name its service and
 * may have changed without a signal, so they are read again for another one.
 */
static void note_identity(struct backend_side *side,
			  const struct probe_answer *probe, int64_t now)
{
	const struct relay_context *context = side->context;
	struct local_server_answer answer = {
		.id = probe->backend_id,
		.is_healthy = probe->response->status == HTTP_STATUS_OK,
		.sent = probe->sent,
		.now = now,
		.reuse_after_ns = context->host->reuse_after_ms * NS_PER_MS,
	};
	g_autofree char *former = NULL;

	if (local_server_is_other(&side->server, answer.id) &&
	    context->refresh_settings(context->ctx))
		answer.service = context->host->service;
	former = g_strdup(side->server.id);
	switch (local_server_answered(&side->server, &answer)) {
	case LOCAL_SERVER_SAME:
		break;
	case LOCAL_SERVER_NEXT_BOOT:
		log_event(LOG_NOTICE, "backend_changed",
			  "old=%s new=%s service=%s", former,
			  log_quote(answer.id), answer.service);
		backend_pool_close_idle(side->pool);
		backend_load_reset(&side->load);
		break;
	case LOCAL_SERVER_REPLACED:
		log_event(LOG_NOTICE, "backend_replaced",
			  "registered=%s answers=%s service=%s",
			  side->server.registered_id, log_quote(answer.id),
			  answer.service ? answer.service : "unknown");
		break;
	}
}

/* Applies the result of a probe: which server answers, its load, cold time. */
void backend_side_probed(void *ctx, const struct probe_answer *answer)
{
	struct backend_side *side = ctx;
	int64_t now = clock_monotonic_ns();

	if (answer->backend_id)
		note_identity(side, answer, now);
	if (side->server.is_replaced) {
		/* Its load and cold time are not those of the server in use. */
		backend_side_start_next(side);
		return;
	}
	backend_load_note(&side->load, answer->response, now);
	if (answer->cold_left_ms > 0)
		probe_set_cold(side->probe, side->admit,
			       now + answer->cold_left_ms * NS_PER_MS +
				       COLD_MARGIN_NS,
			       now);
	else if (!answer->cold_left_ms)
		probe_set_cold(side->probe, side->admit, now, now);
	backend_side_start_next(side);
}

#include <string.h>

#include "base/clock.h"
#include "relay/call.h"

/*
 * Most daemons that get the request on the condition that they refuse it if
 * they would answer it late or their server is unsound; the second value holds
 * for a request that runs at most once, which an unsound server may lose.
 * Further daemons may accept it, because a late answer is better than none.
 */
#define DUE_PLACED_MAX 2
#define DUE_PLACED_MAX_ONCE 3

void call_build_request(const struct call *call, struct relay_request *request)
{
	const struct http_message *message = call->message;
	int64_t now = clock_monotonic_ns();
	int64_t left = call->deadline - now;
	int due_placed_max = call->route->at_most_once ? DUE_PLACED_MAX_ONCE
						       : DUE_PLACED_MAX;

	memset(request, 0, sizeof(*request));
	request->service = (char *)call->service;
	request->config_version = call->view->config->version;
	request->method = (char *)message->method;
	request->target = message->target->str;
	request->fields = message->fields->str;
	request->time_left_ms = MAX(left / NS_PER_MS, INT64_C(1));
	request->objective_left_ms = (call->objective - now) / NS_PER_MS;
	if (call->nr_placed <= due_placed_max && !call->nr_sent &&
	    !call->nr_unanswered && !call->hedged && !call->accepts_late) {
		request->due_left_ms = MAX((call->due - now) / NS_PER_MS, 0);
		request->unless_unsound = failover_enabled(
			&caller_side_service(call->side, call->service_index)
				 ->unless_unsound,
			now);
	}
	request->caller_service = call->side->context->host->service;
	request->request_id =
		(char *)http_message_value(message, HTTP_ROLE_REQUEST_ID);
	request->priority = call_priority(call);
	request->organisation = (char *)call->identity.name;
	request->organisation_priority = call->identity.priority;
	request->at_most_once = call->route->at_most_once;
	request->fingerprint = call->fingerprint;
	request->cost_us = placement_cost_us(call);
	request->answer_bytes = (int)MIN(call->state->answer_bytes, G_MAXINT);
	request->body.body_len = message->body->len;
	request->body.body_val = (char *)message->body->data;
}

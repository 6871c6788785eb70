#include "base/log.h"
#include "http/grammar.h"
#include "relay/peer_message.h"
#include "retry/retry.h"

bool peer_request_is_valid(const struct relay_request *request)
{
	if (http_request_line_is_valid(request->method, request->target) &&
	    http_fields_are_valid(request->fields) &&
	    http_value_is_valid(request->caller_service) &&
	    http_value_is_valid(request->organisation))
		return true;
	http_defect_count(true, HTTP_DEFECT_FORWARDED);
	log_event(LOG_WARNING, "peer_request_malformed", "id=%s",
		  log_quote(request->request_id));
	return false;
}

bool peer_answer_is_valid(const struct relay_answer *answer)
{
	if (answer->reason != FAILURE_NONE ||
	    (answer->status >= 200 && answer->status <= 599 &&
	     http_fields_are_valid(answer->fields)))
		return true;
	http_defect_count(false, HTTP_DEFECT_FORWARDED);
	log_event(LOG_WARNING, "peer_answer_malformed", "status=%d",
		  answer->status);
	return false;
}

#include <netdb.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/random.h>

#include "base/clock.h"
#include "base/log.h"
#include "exchange.h"
#include "path.h"

#define TICKETS_PATH "/.godwitspur/tickets"
#define RETRY_AFTER_SEC "1"

/* Timeout for getting the incarnation of a ticket's target daemon. */
#define HELLO_TIMEOUT_NS (500 * NS_PER_MS)

const char *exchange_header(struct exchange *exchange, const char *name)
{
	return MHD_lookup_connection_value(exchange->connection,
					   MHD_HEADER_KIND, name);
}

/*
 * Issues a ticket for the route into exchange->new_ticket. Returns false when
 * no target is available.
 */
static bool issue_ticket(struct exchange *exchange)
{
	struct ingress *ingress = exchange->ingress;
	struct balance_request request = { .service = exchange->service };
	struct ticket ticket = { 0 };
	struct balance_choice choice;
	bool found;

	if (!exchange->route)
		return false;
	pthread_mutex_lock(&ingress->lock);
	found = balance_pick(ingress->balance, &request, clock_monotonic_ns(),
			     &choice);
	pthread_mutex_unlock(&ingress->lock);
	if (!found)
		return false;
	if (!strcmp(choice.host, ingress->options.host))
		ticket.incarnation = ingress->options.incarnation;
	else if (!links_incarnation(ingress->options.links, choice.traffic,
				    choice.host,
				    clock_monotonic_ns() + HELLO_TIMEOUT_NS,
				    &ticket.incarnation))
		return false;
	g_strlcpy(ticket.host, choice.host, sizeof(ticket.host));
	ticket.expiry_wall_ms =
		clock_wall_ms() + exchange->route->policy.ticket_life_ms;
	if (getrandom(ticket.random, sizeof(ticket.random), 0) !=
	    sizeof(ticket.random))
		return false;
	ticket_format(&ticket, exchange->new_ticket);
	return true;
}

static bool parse_deadline(const char *text, int64_t *ms)
{
	guint64 value;

	if (!g_ascii_string_to_unsigned(text, 10, 0, G_MAXINT32, &value, NULL))
		return false;
	*ms = (int64_t)value;
	return true;
}

/* Sets the context and deadline from the caller's headers and the route. */
static enum failure_reason read_context(struct exchange *exchange)
{
	const struct policy *policy = &exchange->route->policy;
	const char *context = exchange_header(exchange, CONTEXT_HEADER);
	const char *deadline = exchange_header(exchange, "Deadline-Ms");
	int64_t deadline_ms = policy->deadline_ms;
	int64_t wall = clock_wall_ms();
	struct request_context received;
	int64_t requested_ms;

	if (deadline) {
		if (!parse_deadline(deadline, &requested_ms))
			return FAILURE_BAD_REQUEST;
		deadline_ms = MIN(deadline_ms, requested_ms);
	}
	request_context_first(&received, wall, (int)deadline_ms,
			      policy->retry_max);
	if (context && !request_context_parse(&received, context))
		return FAILURE_BAD_REQUEST;
	if (!request_context_next(&received, wall, (int)deadline_ms,
				  policy->retry_max, &exchange->context))
		return FAILURE_HOPS;
	if (exchange->context.deadline_wall_ms <= wall)
		return FAILURE_INGRESS_DEADLINE;
	exchange->deadline =
		exchange->arrival +
		(exchange->context.deadline_wall_ms - wall) * NS_PER_MS;
	return FAILURE_NONE;
}

static void read_caller(struct exchange *exchange)
{
	const char *name = exchange_header(exchange, "Godwitspur-Caller");
	const union MHD_ConnectionInfo *info;

	if (name && *name && strlen(name) <= PEER_CALLER_MAX) {
		g_strlcpy(exchange->caller, name, sizeof(exchange->caller));
		return;
	}
	info = MHD_get_connection_info(exchange->connection,
				       MHD_CONNECTION_INFO_CLIENT_ADDRESS);
	if (!info || getnameinfo(info->client_addr,
				 info->client_addr->sa_family == AF_INET
					 ? sizeof(struct sockaddr_in)
					 : sizeof(struct sockaddr_in6),
				 exchange->caller, sizeof(exchange->caller),
				 NULL, 0, NI_NUMERICHOST))
		g_strlcpy(exchange->caller, "unknown",
			  sizeof(exchange->caller));
}

static enum failure_reason read_ticket(struct exchange *exchange)
{
	exchange->key = exchange_header(exchange, "Idempotency-Key");
	if (!exchange->route->at_most_once)
		return FAILURE_NONE;
	if (exchange->key && ticket_parse(&exchange->ticket, exchange->key)) {
		exchange->has_ticket = true;
		return FAILURE_NONE;
	}
	issue_ticket(exchange);
	return FAILURE_TICKET_NEEDED;
}

/*
 * Checks the quarantine and adds to the retry budget before the first attempt;
 * called with the ingress lock held.
 */
static enum failure_reason check_limits(struct exchange *exchange)
{
	struct ingress *ingress = exchange->ingress;
	const struct policy *policy = &exchange->route->service->policy;

	if (quarantine_check(ingress->quarantine, exchange->fingerprint,
			     clock_monotonic_ns(), NULL))
		return FAILURE_QUARANTINED;
	retry_budget_request(ingress_budget(ingress, exchange->service),
			     policy->retry_ratio_percent);
	return FAILURE_NONE;
}

static enum failure_reason find_service(struct exchange *exchange)
{
	struct ingress *ingress = exchange->ingress;

	pthread_mutex_lock(&ingress->lock);
	exchange->service =
		balance_service_index(ingress->balance,
				      exchange->route->service->name);
	pthread_mutex_unlock(&ingress->lock);
	return exchange->service < 0 ? FAILURE_NO_TARGET : FAILURE_NONE;
}

static enum failure_reason prepare(struct exchange *exchange)
{
	struct ingress *ingress = exchange->ingress;
	enum failure_reason reason;

	if (!ingress_is_serving(ingress))
		return FAILURE_INGRESS_DRAINING;
	if (!path_is_canonical(exchange->path))
		return FAILURE_BAD_REQUEST;
	if (!exchange->route)
		return FAILURE_NO_ROUTE;
	if (exchange->too_large)
		return FAILURE_BODY_TOO_LARGE;
	if (strlen(exchange->target) > PEER_PATH_MAX)
		return FAILURE_BAD_REQUEST;
	reason = find_service(exchange);
	if (reason == FAILURE_NONE)
		reason = read_context(exchange);
	if (reason == FAILURE_NONE)
		reason = read_ticket(exchange);
	if (reason != FAILURE_NONE)
		return reason;
	read_caller(exchange);
	exchange->fingerprint =
		quarantine_fingerprint(exchange->route->service->name,
				       exchange->method, exchange->target,
				       exchange->body->data,
				       exchange->body->len);
	pthread_mutex_lock(&ingress->lock);
	reason = check_limits(exchange);
	pthread_mutex_unlock(&ingress->lock);
	retry_attempts_init(&exchange->attempts, &exchange->context,
			    method_is_idempotent(exchange->method),
			    exchange->route->at_most_once);
	return reason;
}

static enum MHD_Result finish(struct exchange *exchange,
			      struct MHD_Response *response, unsigned status,
			      enum outcome outcome)
{
	enum MHD_Result result;

	MHD_add_response_header(response, "Godwitspur-Outcome",
				outcome_name(outcome));
	if (*exchange->new_ticket)
		MHD_add_response_header(response, "Godwitspur-Ticket",
					exchange->new_ticket);
	counter_add(&exchange->ingress->requests[outcome], 1);
	result = MHD_queue_response(exchange->connection, status, response);
	MHD_destroy_response(response);
	return result;
}

enum MHD_Result exchange_fail(struct exchange *exchange,
			      enum failure_reason reason)
{
	const struct failure *failure = failure_get(reason);
	enum outcome outcome = failure->outcome;
	unsigned status = failure->status ? (unsigned)failure->status : 502;
	struct MHD_Response *response;
	char *text;

	/*
	 * Only the daemon that the ticket names can confirm that no copy of
	 * the request ran. Without its answer the outcome is unknown.
	 */
	if (exchange->has_ticket && outcome == OUTCOME_NOT_RUN &&
	    exchange->answer.limit == 0)
		outcome = OUTCOME_UNKNOWN;
	if (exchange->has_ticket && outcome == OUTCOME_NOT_RUN)
		issue_ticket(exchange);
	text = g_strdup_printf("{\"reason\":\"%s\",\"outcome\":\"%s\"}\n",
			       failure->name, outcome_name(outcome));
	response = MHD_create_response_from_buffer(strlen(text), text,
						   MHD_RESPMEM_MUST_COPY);
	g_free(text);
	MHD_add_response_header(response, "Content-Type", "application/json");
	MHD_add_response_header(response, "Godwitspur-Reason", failure->name);
	if (status == 503 || status == 429)
		MHD_add_response_header(response, "Retry-After",
					RETRY_AFTER_SEC);
	log_event(LOG_INFO, "request_failed",
		  "reason=%s outcome=%s method=%s path=%s status=%u",
		  failure->name, outcome_name(outcome), exchange->method,
		  log_quote(exchange->path), status);
	return finish(exchange, response, status, outcome);
}

static enum MHD_Result answer_success(struct exchange *exchange)
{
	struct traffic_answer *answer = &exchange->answer;
	struct MHD_Response *response;
	int64_t total_us =
		(clock_monotonic_ns() - exchange->arrival) / NS_PER_US;

	response = MHD_create_response_from_buffer(answer->body.body_len,
						   answer->body.body_val,
						   MHD_RESPMEM_MUST_FREE);
	answer->body.body_val = NULL;
	answer->body.body_len = 0;
	for (u_int i = 0; i < answer->headers.headers_len; i++)
		MHD_add_response_header(response,
					answer->headers.headers_val[i].name,
					answer->headers.headers_val[i].value);
	if (answer->flags & TRAFFIC_REPLAYED)
		MHD_add_response_header(response, "Godwitspur-Replayed", "1");
	else
		histogram_observe(&exchange->ingress->added_time,
				  (uint64_t)MAX(total_us - answer->service_us,
						0));
	return finish(exchange, response, (unsigned)answer->status,
		      OUTCOME_RAN);
}

static enum MHD_Result answer_ticket(struct exchange *exchange)
{
	struct MHD_Response *response;
	enum failure_reason reason = FAILURE_NO_ROUTE;
	const char *path =
		MHD_lookup_connection_value(exchange->connection,
					    MHD_GET_ARGUMENT_KIND, "path");

	if (strcmp(exchange->method, "POST") != 0 || !path)
		return exchange_fail(exchange, FAILURE_BAD_REQUEST);
	if (!ingress_is_serving(exchange->ingress))
		return exchange_fail(exchange, FAILURE_INGRESS_DRAINING);
	exchange->route =
		table_match(exchange->snapshot->table, HTTP_METHOD_POST, path);
	if (exchange->route)
		reason = find_service(exchange);
	if (reason == FAILURE_NONE && !issue_ticket(exchange))
		reason = FAILURE_NO_TARGET;
	if (reason != FAILURE_NONE)
		return exchange_fail(exchange, reason);
	response = MHD_create_response_from_buffer(0, NULL,
						   MHD_RESPMEM_PERSISTENT);
	return finish(exchange, response, 200, OUTCOME_NOT_RUN);
}

enum MHD_Result exchange_serve(struct exchange *exchange)
{
	enum failure_reason reason;

	if (exchange->snapshot && !strcmp(exchange->path, TICKETS_PATH))
		return answer_ticket(exchange);
	reason = prepare(exchange);
	if (reason == FAILURE_NONE)
		reason = exchange_run_attempts(exchange);
	if (reason == FAILURE_NONE)
		return answer_success(exchange);
	return exchange_fail(exchange, reason);
}

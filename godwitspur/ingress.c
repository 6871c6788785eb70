#include <inttypes.h>
#include <microhttpd.h>
#include <netdb.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/random.h>

#include "backend.h"
#include "base/clock.h"
#include "base/completion.h"
#include "base/log.h"
#include "ingress.h"
#include "path.h"

#define CONNECTIONS_MAX 256
#define THREAD_STACK_BYTES (256 * 1024)
#define IDLE_CONNECTION_SEC 120

/* Bodies of requests without a route are read up to this size and dropped. */
#define UNROUTED_BODY_MAX 65536

#define TICKETS_PATH "/.godwitspur/tickets"
#define RETRY_AFTER_SEC "1"

/* How long a ticket's issue may take to ask the target's daemon. */
#define HELLO_WAIT_NS (500 * NS_PER_MS)

#define NR_OUTCOMES 3

struct ingress {
	struct ingress_options options;
	struct MHD_Daemon *http;
	pthread_mutex_t lock; /* guards balance, budgets, quarantine, rng */
	struct rng rng;
	struct balance *balance;
	GArray *budgets; /* struct retry_budget by service index */
	struct quarantine *quarantine;
	int serving;   /* atomic */
	int draining;  /* atomic */
	int in_flight; /* atomic */
	struct counter requests[NR_OUTCOMES];
	struct counter retries;
	struct histogram added_time;
};

/* One HTTP request of a caller. */
struct exchange {
	struct ingress *ingress;
	struct MHD_Connection *connection;
	char *path;   /* as sent, without query */
	char *target; /* path and query as sent */
	const char *method;
	GByteArray *body;
	bool too_large;
	struct snapshot *snapshot;
	const struct table_route *route;
	int64_t arrival;

	/* Set while the request is served. */
	struct request_context context;
	int64_t deadline;
	char caller[PEER_CALLER_MAX + 1];
	const char *key; /* Idempotency-Key, or NULL */
	struct ticket ticket;
	bool has_ticket;
	uint64_t fingerprint;
	int service; /* index in balance */
	struct retry_attempts attempts;
	char fresh_ticket[TICKET_TEXT_MAX];
	struct traffic_answer answer;
};

/* A request that this ingress runs on its own backend server. */
struct local_job {
	struct target_job job; /* first: callbacks cast back */
	int refs;
	struct completion completion;
	struct traffic_answer answer;
};

static const char *header(struct exchange *exchange, const char *name)
{
	return MHD_lookup_connection_value(exchange->connection,
					   MHD_HEADER_KIND, name);
}

/* Local requests. */

static void local_unref(struct local_job *local)
{
	if (!g_atomic_int_dec_and_test(&local->refs))
		return;
	xdr_free((xdrproc_t)xdr_traffic_answer, &local->answer);
	completion_release(&local->completion);
	g_free(local);
}

static void local_reply(struct target_job *job, struct traffic_answer *answer)
{
	struct local_job *local = (struct local_job *)job;

	local->answer = *answer;
	memset(answer, 0, sizeof(*answer));
	completion_signal(&local->completion);
}

static void local_free(struct target_job *job)
{
	local_unref((struct local_job *)job);
}

static struct local_job *local_new(const struct traffic_request *request)
{
	struct local_job *local = g_new0(struct local_job, 1);

	local->refs = 2; /* the waiting thread's and the target's */
	local->job.request = *request;
	local->job.reply = local_reply;
	local->job.free = local_free;
	completion_init(&local->completion);
	return local;
}

static enum rpc_status local_request(struct target *target,
				     const struct traffic_request *request,
				     int64_t deadline,
				     struct traffic_answer *answer)
{
	struct local_job *local = local_new(request);
	enum rpc_status status = RPC_TIMED_OUT;

	target_submit(target, &local->job);
	if (completion_wait(&local->completion, deadline)) {
		*answer = local->answer;
		memset(&local->answer, 0, sizeof(local->answer));
		status = RPC_DONE;
	}
	local_unref(local);
	return status;
}

/* Building the message to a target. */

static enum MHD_Result count_header(void *ctx, enum MHD_ValueKind kind,
				    const char *name, const char *value)
{
	u_int *n = ctx;

	(void)kind;
	(void)name;
	(void)value;
	(*n)++;
	return MHD_YES;
}

static bool is_own_header(const char *name)
{
	return !strncasecmp(name, "Godwitspur-", strlen("Godwitspur-")) ||
	       !strcasecmp(name, "Idempotency-Key") ||
	       !strcasecmp(name, "Deadline-Ms") ||
	       !strcasecmp(name, "Request-Id");
}

static enum MHD_Result copy_header(void *ctx, enum MHD_ValueKind kind,
				   const char *name, const char *value)
{
	struct traffic_request *request = ctx;
	u_int n = request->headers.headers_len;

	(void)kind;
	if (n == PEER_HEADERS_MAX || header_is_hop_by_hop(name) ||
	    is_own_header(name) || strlen(name) > PEER_HEADER_NAME_MAX ||
	    (value && strlen(value) > PEER_HEADER_VALUE_MAX))
		return MHD_YES;
	request->headers.headers_val[n].name = strdup(name);
	request->headers.headers_val[n].value = strdup(value ? value : "");
	request->headers.headers_len++;
	return MHD_YES;
}

static void *copy_bytes(const void *bytes, size_t len)
{
	void *copy = malloc(len ? len : 1);

	if (!copy)
		abort();
	if (len)
		memcpy(copy, bytes, len);
	return copy;
}

/* All memory comes from malloc(), because xdr_free() frees it. */
static void build_request(struct exchange *exchange,
			  struct traffic_request *request)
{
	const struct table_route *route = exchange->route;
	const struct version_id *id = &exchange->snapshot->table->id;
	int64_t left = exchange->deadline - clock_monotonic_ns();
	u_int nr_headers = 0;

	memset(request, 0, sizeof(*request));
	MHD_get_connection_values(exchange->connection, MHD_HEADER_KIND,
				  count_header, &nr_headers);
	request->headers.headers_val =
		calloc(MIN(nr_headers, PEER_HEADERS_MAX) + 1,
		       sizeof(struct traffic_header));
	if (!request->headers.headers_val)
		abort();
	MHD_get_connection_values(exchange->connection, MHD_HEADER_KIND,
				  copy_header, request);
	request->service = strdup(route->service->name);
	request->route = strdup(route->name);
	request->version_id.number = id->number;
	memcpy(request->version_id.digest, id->digest.bytes, DIGEST_BYTES);
	request->method = strdup(exchange->method);
	request->path = strdup(exchange->target);
	request->time_left_ms = MAX(left, 0) / NS_PER_MS;
	request->hops = exchange->context.hops;
	request->retries = exchange->attempts.passed;
	request->caller = strdup(exchange->caller);
	request->priority = (int)route->policy.priority;
	request->ticket = strdup(exchange->has_ticket ? exchange->key : "");
	request->fingerprint = exchange->fingerprint;
	request->body.body_len = exchange->body->len;
	request->body.body_val =
		copy_bytes(exchange->body->data, exchange->body->len);
}

/* Attempts. */

static enum failure_reason status_reason(enum rpc_status status,
					 const struct traffic_answer *answer)
{
	switch (status) {
	case RPC_DONE:
		if (answer->reason < 0 || answer->reason >= FAILURE_REASONS)
			return FAILURE_LINK_LOST;
		return (enum failure_reason)answer->reason;
	case RPC_NOT_SENT:
		return FAILURE_LINK_REFUSED;
	case RPC_REFUSED:
		return FAILURE_VERSION;
	case RPC_TIMED_OUT:
		return FAILURE_DEADLINE;
	default:
		return FAILURE_LINK_LOST;
	}
}

static enum failure_reason send_attempt(struct exchange *exchange,
					const struct balance_choice *choice)
{
	struct ingress *ingress = exchange->ingress;
	struct traffic_request request;
	enum rpc_status status;

	build_request(exchange, &request);
	if (!strcmp(choice->host, ingress->options.host)) {
		status = local_request(ingress->options.target, &request,
				       exchange->deadline, &exchange->answer);
	} else {
		status = links_request(ingress->options.links, choice->traffic,
				       &request, exchange->deadline,
				       &exchange->answer);
		xdr_free((xdrproc_t)xdr_traffic_request, &request);
	}
	return status_reason(status, &exchange->answer);
}

static void merge_crash(struct ingress *ingress,
			const struct traffic_answer *answer, int64_t now)
{
	struct quarantine_entry entry = {
		.fingerprint = answer->crash.fingerprint,
		.origin = answer->crash.origin,
		.count = answer->crash.count,
		.cleared = answer->crash.cleared,
		.left_ms = answer->crash.left_ms,
	};

	quarantine_merge(ingress->quarantine, &entry, now);
}

/* Under the lock: tells balance and quarantine how an attempt ended. */
static void note_result(struct exchange *exchange, balance_handle handle,
			enum failure_reason reason, int64_t started,
			int64_t now)
{
	struct ingress *ingress = exchange->ingress;
	struct traffic_answer *answer = &exchange->answer;
	bool reported = answer->limit > 0;
	struct balance_result result = {
		.reason = reason,
		.latency_ns = now - started,
		.reported = reported,
		.in_flight = (uint32_t)MAX(answer->in_flight, 0),
		.queue = (uint32_t)MAX(answer->queued, 0),
		.limit = (uint32_t)MAX(answer->limit, 1),
		.draining = (answer->flags & TRAFFIC_DRAINING) != 0,
	};

	balance_finish(ingress->balance, handle, &result, now);
	if (answer->flags & TRAFFIC_CRASHED)
		merge_crash(ingress, answer, now);
	else if (reason == FAILURE_NONE)
		quarantine_success(ingress->quarantine, exchange->fingerprint,
				   now);
}

static struct retry_budget *budget_of(struct ingress *ingress, int service)
{
	return &g_array_index(ingress->budgets, struct retry_budget, service);
}

/* Under the lock: chooses a target and counts the attempt there. */
static enum failure_reason choose(struct exchange *exchange,
				  const balance_handle *excluded, size_t nr,
				  struct balance_choice *choice)
{
	struct ingress *ingress = exchange->ingress;
	int64_t now = clock_monotonic_ns();
	struct balance_request request = {
		.service = exchange->service,
		.excluded = excluded,
		.nr_excluded = nr,
		.retryable = method_is_idempotent(exchange->method) &&
			     !exchange->has_ticket,
	};
	bool found;

	if (exchange->has_ticket)
		found = balance_find(ingress->balance, exchange->service,
				     exchange->ticket.host, choice);
	else
		found = balance_pick(ingress->balance, &request, now, choice);
	if (!found || !balance_start(ingress->balance, choice->target, now))
		return exchange->has_ticket ? FAILURE_TICKET_UNREACHABLE
					    : FAILURE_NO_TARGET;
	return FAILURE_NONE;
}

static void clear_answer(struct exchange *exchange)
{
	xdr_free((xdrproc_t)xdr_traffic_answer, &exchange->answer);
	memset(&exchange->answer, 0, sizeof(exchange->answer));
}

/* Under the lock: whether the attempt is sent again. */
static bool send_again(struct exchange *exchange, enum failure_reason reason,
		       int64_t now)
{
	struct ingress *ingress = exchange->ingress;
	enum retry_decision decision;

	if (reason == FAILURE_NONE || exchange->has_ticket)
		return false;
	/* The answers to the attempts so far may have told of crashes. */
	if (quarantine_check(ingress->quarantine, exchange->fingerprint, now,
			     NULL))
		return false;
	decision = retry_decide(&exchange->attempts,
				budget_of(ingress, exchange->service), reason,
				method_is_idempotent(exchange->method),
				exchange->route->at_most_once, now,
				exchange->deadline);
	return decision == RETRY_YES;
}

static enum failure_reason run_attempts(struct exchange *exchange)
{
	balance_handle excluded[BALANCE_EXCLUDED_MAX];
	struct ingress *ingress = exchange->ingress;
	enum failure_reason reason;
	size_t nr = 0;
	bool again;

	do {
		struct balance_choice choice;
		int64_t started, now;

		clear_answer(exchange);
		pthread_mutex_lock(&ingress->lock);
		reason = choose(exchange, excluded, nr, &choice);
		pthread_mutex_unlock(&ingress->lock);
		if (reason != FAILURE_NONE)
			break;
		started = clock_monotonic_ns();
		reason = send_attempt(exchange, &choice);
		now = clock_monotonic_ns();
		pthread_mutex_lock(&ingress->lock);
		note_result(exchange, choice.target, reason, started, now);
		again = nr < BALANCE_EXCLUDED_MAX &&
			send_again(exchange, reason, now);
		pthread_mutex_unlock(&ingress->lock);
		if (again)
			excluded[nr++] = choice.target;
		if (again)
			counter_add(&ingress->retries, 1);
	} while (again);
	if (exchange->has_ticket && reason == FAILURE_LINK_REFUSED)
		return FAILURE_TICKET_UNREACHABLE;
	return reason;
}

/* Tickets. */

/* Writes a fresh ticket for the route into exchange->fresh_ticket. */
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
				    clock_monotonic_ns() + HELLO_WAIT_NS,
				    &ticket.incarnation))
		return false;
	g_strlcpy(ticket.host, choice.host, sizeof(ticket.host));
	ticket.expiry_wall_ms =
		clock_wall_ms() + exchange->route->policy.ticket_life_ms;
	if (getrandom(ticket.random, sizeof(ticket.random), 0) !=
	    sizeof(ticket.random))
		return false;
	ticket_format(&ticket, exchange->fresh_ticket);
	return true;
}

/* Serving a request. */

static bool parse_deadline(const char *text, int64_t *ms)
{
	guint64 value;

	if (!g_ascii_string_to_unsigned(text, 10, 0, G_MAXINT32, &value, NULL))
		return false;
	*ms = (int64_t)value;
	return true;
}

/* Takes over the caller's context and deadline and applies the route's. */
static enum failure_reason take_context(struct exchange *exchange)
{
	const struct policy *policy = &exchange->route->policy;
	const char *context = header(exchange, CONTEXT_HEADER);
	const char *deadline = header(exchange, "Deadline-Ms");
	int64_t deadline_ms = policy->deadline_ms;
	int64_t wall = clock_wall_ms();
	struct request_context arrived;
	int64_t asked_ms;

	if (deadline) {
		if (!parse_deadline(deadline, &asked_ms))
			return FAILURE_BAD_REQUEST;
		deadline_ms = MIN(deadline_ms, asked_ms);
	}
	request_context_first(&arrived, wall, (int)deadline_ms,
			      policy->retry_max);
	if (context && !request_context_parse(&arrived, context))
		return FAILURE_BAD_REQUEST;
	if (!request_context_next(&arrived, wall, (int)deadline_ms,
				  policy->retry_max, &exchange->context))
		return FAILURE_HOPS;
	if (exchange->context.deadline_wall_ms <= wall)
		return FAILURE_INGRESS_DEADLINE;
	exchange->deadline =
		exchange->arrival +
		(exchange->context.deadline_wall_ms - wall) * NS_PER_MS;
	return FAILURE_NONE;
}

static void take_caller(struct exchange *exchange)
{
	const char *name = header(exchange, "Godwitspur-Caller");
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

static enum failure_reason take_ticket(struct exchange *exchange)
{
	exchange->key = header(exchange, "Idempotency-Key");
	if (!exchange->route->at_most_once)
		return FAILURE_NONE;
	if (exchange->key && ticket_parse(&exchange->ticket, exchange->key)) {
		exchange->has_ticket = true;
		return FAILURE_NONE;
	}
	issue_ticket(exchange);
	return FAILURE_TICKET_NEEDED;
}

/* Under the lock: what refuses the request before any attempt. */
static enum failure_reason check_limits(struct exchange *exchange)
{
	struct ingress *ingress = exchange->ingress;
	const struct policy *policy = &exchange->route->service->policy;

	if (quarantine_check(ingress->quarantine, exchange->fingerprint,
			     clock_monotonic_ns(), NULL))
		return FAILURE_QUARANTINED;
	retry_budget_request(budget_of(ingress, exchange->service),
			     policy->retry_ratio_percent);
	return FAILURE_NONE;
}

static bool is_refusing(struct ingress *ingress)
{
	return !g_atomic_int_get(&ingress->serving) ||
	       g_atomic_int_get(&ingress->draining);
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

	if (is_refusing(ingress))
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
		reason = take_context(exchange);
	if (reason == FAILURE_NONE)
		reason = take_ticket(exchange);
	if (reason != FAILURE_NONE)
		return reason;
	take_caller(exchange);
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

/* Answering. */

static enum MHD_Result finish(struct exchange *exchange,
			      struct MHD_Response *response, unsigned status,
			      enum outcome outcome)
{
	enum MHD_Result result;

	MHD_add_response_header(response, "Godwitspur-Outcome",
				outcome_name(outcome));
	if (*exchange->fresh_ticket)
		MHD_add_response_header(response, "Godwitspur-Ticket",
					exchange->fresh_ticket);
	counter_add(&exchange->ingress->requests[outcome], 1);
	result = MHD_queue_response(exchange->connection, status, response);
	MHD_destroy_response(response);
	return result;
}

static enum MHD_Result answer_failure(struct exchange *exchange,
				      enum failure_reason reason)
{
	const struct failure *failure = failure_get(reason);
	enum outcome outcome = failure->outcome;
	unsigned status = failure->status ? (unsigned)failure->status : 502;
	struct MHD_Response *response;
	char *text;

	/*
	 * Only the daemon that a ticket names can tell that no copy of the
	 * request ran, so a failure found here is unknown.
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
		return answer_failure(exchange, FAILURE_BAD_REQUEST);
	if (is_refusing(exchange->ingress))
		return answer_failure(exchange, FAILURE_INGRESS_DRAINING);
	exchange->route =
		table_match(exchange->snapshot->table, HTTP_METHOD_POST, path);
	if (exchange->route)
		reason = find_service(exchange);
	if (reason == FAILURE_NONE && !issue_ticket(exchange))
		reason = FAILURE_NO_TARGET;
	if (reason != FAILURE_NONE)
		return answer_failure(exchange, reason);
	response = MHD_create_response_from_buffer(0, NULL,
						   MHD_RESPMEM_PERSISTENT);
	return finish(exchange, response, 200, OUTCOME_NOT_RUN);
}

static enum MHD_Result serve(struct exchange *exchange)
{
	enum failure_reason reason;

	if (exchange->snapshot && !strcmp(exchange->path, TICKETS_PATH))
		return answer_ticket(exchange);
	reason = prepare(exchange);
	if (reason == FAILURE_NONE)
		reason = run_attempts(exchange);
	if (reason == FAILURE_NONE)
		return answer_success(exchange);
	return answer_failure(exchange, reason);
}

/* libmicrohttpd callbacks. */

/* Paths and queries are passed on as sent, so nothing is unescaped. */
static size_t keep_escapes(void *ctx, struct MHD_Connection *connection,
			   char *text)
{
	(void)ctx;
	(void)connection;
	return strlen(text);
}

static enum MHD_Result append_argument(void *ctx, enum MHD_ValueKind kind,
				       const char *name, const char *value)
{
	GString *query = ctx;

	(void)kind;
	g_string_append_c(query, query->len ? '&' : '?');
	g_string_append(query, name);
	if (value) {
		g_string_append_c(query, '=');
		g_string_append(query, value);
	}
	return MHD_YES;
}

static char *read_query(struct MHD_Connection *connection)
{
	GString *query = g_string_new(NULL);

	MHD_get_connection_values(connection, MHD_GET_ARGUMENT_KIND,
				  append_argument, query);
	/* libmicrohttpd turns a plus sign into a space before our hook. */
	g_strdelimit(query->str, " ", '+');
	return g_string_free(query, FALSE);
}

/* Headers that say where a request ends. */
struct framing {
	int lengths;
	int encodings;
	bool bad_name;
};

static bool is_token(const char *text)
{
	static const char others[] = "!#$%&'*+-.^_`|~";

	for (const char *c = text; *c; c++)
		if (!g_ascii_isalnum(*c) && !strchr(others, *c))
			return false;
	return *text != '\0';
}

static enum MHD_Result note_framing(void *ctx, enum MHD_ValueKind kind,
				    const char *name, const char *value)
{
	struct framing *framing = ctx;

	(void)kind;
	(void)value;
	framing->lengths += !strcasecmp(name, "Content-Length");
	framing->encodings += !strcasecmp(name, "Transfer-Encoding");
	framing->bad_name |= !is_token(name);
	return MHD_YES;
}

static bool has_control_bytes(const char *text)
{
	for (const char *c = text; *c; c++)
		if (g_ascii_iscntrl(*c))
			return true;
	return false;
}

/*
 * libmicrohttpd serves requests whose end another server may see elsewhere
 * (RFC 9112, section 11.2), so that a caller behind a shared proxy could hide
 * a request in the body of another.
 */
static bool is_malformed(struct exchange *exchange)
{
	struct framing framing = { 0 };

	MHD_get_connection_values(exchange->connection, MHD_HEADER_KIND,
				  note_framing, &framing);
	return framing.bad_name || framing.lengths > 1 ||
	       (framing.lengths && framing.encodings) ||
	       has_control_bytes(exchange->target);
}

static struct exchange *exchange_new(struct ingress *ingress,
				     struct MHD_Connection *connection,
				     const char *url, const char *method)
{
	struct exchange *exchange = g_new0(struct exchange, 1);
	g_autofree char *query = read_query(connection);
	enum http_method parsed;

	g_atomic_int_inc(&ingress->in_flight);
	exchange->ingress = ingress;
	exchange->connection = connection;
	exchange->method = method;
	exchange->path = g_strdup(url);
	exchange->target = g_strconcat(url, query, NULL);
	exchange->body = g_byte_array_new();
	exchange->arrival = clock_monotonic_ns();
	exchange->snapshot = snapshot_get();
	if (exchange->snapshot && http_method_parse(method, &parsed))
		exchange->route = table_match(exchange->snapshot->table, parsed,
					      exchange->path);
	return exchange;
}

static void exchange_free(struct exchange *exchange)
{
	clear_answer(exchange);
	snapshot_put(exchange->snapshot);
	g_byte_array_unref(exchange->body);
	g_free(exchange->path);
	g_free(exchange->target);
	g_atomic_int_add(&exchange->ingress->in_flight, -1);
	g_free(exchange);
}

static void take_body(struct exchange *exchange, const char *data, size_t len)
{
	int64_t max = exchange->route ? exchange->route->policy.body_max_bytes
				      : UNROUTED_BODY_MAX;

	/* PEER_BODY_MAX is the largest body that one message can carry. */
	if ((int64_t)(exchange->body->len + len) > MIN(max, PEER_BODY_MAX))
		exchange->too_large = true;
	else
		g_byte_array_append(exchange->body, (const guint8 *)data,
				    (guint)len);
}

static enum MHD_Result on_request(void *ctx, struct MHD_Connection *connection,
				  const char *url, const char *method,
				  const char *version, const char *upload_data,
				  size_t *upload_size, void **connection_ctx)
{
	struct exchange *exchange = *connection_ctx;

	(void)version;
	if (!exchange) {
		exchange = exchange_new(ctx, connection, url, method);
		*connection_ctx = exchange;
		/* An answer before the body closes the connection after it. */
		return is_malformed(exchange)
			       ? answer_failure(exchange, FAILURE_BAD_REQUEST)
			       : MHD_YES;
	}
	if (*upload_size) {
		take_body(exchange, upload_data, *upload_size);
		*upload_size = 0;
		return MHD_YES;
	}
	return serve(exchange);
}

static void on_completed(void *ctx, struct MHD_Connection *connection,
			 void **connection_ctx,
			 enum MHD_RequestTerminationCode code)
{
	(void)ctx;
	(void)connection;
	(void)code;
	if (*connection_ctx)
		exchange_free(*connection_ctx);
	*connection_ctx = NULL;
}

/* Life of the ingress. */

static void add_metrics(struct ingress *ingress)
{
	static const char *const names[NR_OUTCOMES] = {
		"godwitspur_requests_total{outcome=\"ran\"}",
		"godwitspur_requests_total{outcome=\"not-run\"}",
		"godwitspur_requests_total{outcome=\"unknown\"}",
	};
	struct metrics *metrics = ingress->options.metrics;

	for (int i = 0; i < NR_OUTCOMES; i++) {
		ingress->requests[i].name = names[i];
		ingress->requests[i].help = "Callers' requests by outcome.";
		metrics_add_counter(metrics, &ingress->requests[i]);
	}
	ingress->retries.name = "godwitspur_retries_total";
	ingress->retries.help = "Attempts sent again.";
	metrics_add_counter(metrics, &ingress->retries);
	ingress->added_time.name = "godwitspur_added_seconds";
	ingress->added_time.help =
		"Time added to a request beside its time on the backend.";
	metrics_add_histogram(metrics, &ingress->added_time);
}

static bool start_http(struct ingress *ingress, GError **error)
{
	struct net_address *listen = &ingress->options.listen;
	unsigned flags = MHD_USE_THREAD_PER_CONNECTION |
			 MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_POLL;

	if (listen->storage.ss_family == AF_INET6)
		flags |= MHD_USE_IPv6;
	ingress->http = MHD_start_daemon(
		flags, 0, NULL, NULL, on_request, ingress, MHD_OPTION_SOCK_ADDR,
		(struct sockaddr *)&listen->storage,
		MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U,
		MHD_OPTION_CONNECTION_LIMIT, (unsigned)CONNECTIONS_MAX,
		MHD_OPTION_CONNECTION_TIMEOUT, (unsigned)IDLE_CONNECTION_SEC,
		MHD_OPTION_THREAD_STACK_SIZE, (size_t)THREAD_STACK_BYTES,
		MHD_OPTION_STRICT_FOR_CLIENT, 1, MHD_OPTION_UNESCAPE_CALLBACK,
		keep_escapes, NULL, MHD_OPTION_NOTIFY_COMPLETED, on_completed,
		NULL, MHD_OPTION_END);
	if (!ingress->http)
		g_set_error(error, NET_ERROR, NET_ERROR_SOCKET,
			    "%s:%u: cannot listen for callers", listen->host,
			    listen->port);
	return ingress->http != NULL;
}

struct ingress *ingress_new(const struct ingress_options *options,
			    GError **error)
{
	struct ingress *ingress = g_new0(struct ingress, 1);
	struct balance_options balance = {
		.host = options->host,
		.zone = options->zone,
		.region = options->region,
		.policy = options->policy,
		.rng = &ingress->rng,
	};
	struct quarantine_options quarantine = {
		.origin =
			quarantine_origin(options->host, ~options->incarnation),
		.crashes = 2,
		.quarantine_ns = 60 * NS_PER_SEC,
	};

	ingress->options = *options;
	pthread_mutex_init(&ingress->lock, NULL);
	rng_init(&ingress->rng, options->seed);
	ingress->balance = balance_new(&balance);
	ingress->budgets =
		g_array_new(FALSE, TRUE, sizeof(struct retry_budget));
	ingress->quarantine = quarantine_new(&quarantine);
	add_metrics(ingress);
	if (start_http(ingress, error))
		return ingress;
	balance_free(ingress->balance);
	quarantine_free(ingress->quarantine);
	g_array_unref(ingress->budgets);
	g_free(ingress);
	return NULL;
}

static void add_budgets(struct ingress *ingress, int service)
{
	while ((int)ingress->budgets->len <= service) {
		struct retry_budget budget;

		retry_budget_init(&budget);
		g_array_append_val(ingress->budgets, budget);
	}
}

static void apply_service(struct ingress *ingress,
			  const struct table_service *service, int64_t now)
{
	struct balance_service settings = {
		.key = service->name,
		.eject_percent_max = service->policy.eject_percent_max,
		.zone_overflow_percent = service->policy.zone_overflow_percent,
	};
	struct balance_target *targets =
		g_new0(struct balance_target, service->nr_targets + 1);

	for (size_t i = 0; i < service->nr_targets; i++) {
		const struct table_target *target = &service->targets[i];

		targets[i].host = target->host;
		targets[i].zone = target->zone;
		targets[i].region = target->region;
		targets[i].traffic = target->traffic;
		targets[i].slots = (uint32_t)target->policy.slots;
		targets[i].cold_slots = (uint32_t)target->policy.cold_slots;
		targets[i].in_service = target->in_service;
	}
	add_budgets(ingress, balance_update(ingress->balance, &settings,
					    targets, service->nr_targets, now));
	g_free(targets);
}

void ingress_apply(struct ingress *ingress, const struct table *table)
{
	int64_t now = clock_monotonic_ns();

	pthread_mutex_lock(&ingress->lock);
	balance_update_begin(ingress->balance);
	for (size_t i = 0; i < table->nr_services; i++)
		apply_service(ingress, &table->services[i], now);
	balance_update_end(ingress->balance, now);
	if (table->nr_services) {
		const struct policy *policy = &table->services[0].policy;

		quarantine_set_policy(ingress->quarantine,
				      policy->quarantine_crashes,
				      policy->quarantine_ms * NS_PER_MS);
	}
	pthread_mutex_unlock(&ingress->lock);
}

void ingress_serve(struct ingress *ingress)
{
	g_atomic_int_set(&ingress->serving, 1);
}

bool ingress_is_serving(struct ingress *ingress)
{
	return !is_refusing(ingress);
}

void ingress_drain(struct ingress *ingress)
{
	g_atomic_int_set(&ingress->draining, 1);
}

int ingress_in_flight(struct ingress *ingress)
{
	return g_atomic_int_get(&ingress->in_flight);
}

void ingress_mark_leaving(struct ingress *ingress, const char *host,
			  bool leaving)
{
	pthread_mutex_lock(&ingress->lock);
	balance_mark_leaving(ingress->balance, host, leaving,
			     clock_monotonic_ns());
	pthread_mutex_unlock(&ingress->lock);
}

void ingress_merge_crashes(struct ingress *ingress,
			   const struct quarantine_entry *entries, size_t nr)
{
	int64_t now = clock_monotonic_ns();

	pthread_mutex_lock(&ingress->lock);
	for (size_t i = 0; i < nr; i++)
		quarantine_merge(ingress->quarantine, &entries[i], now);
	pthread_mutex_unlock(&ingress->lock);
}

json_t *ingress_dump(struct ingress *ingress)
{
	int64_t now = clock_monotonic_ns();
	json_t *dump;

	pthread_mutex_lock(&ingress->lock);
	dump = json_pack("{s:b, s:b, s:i, s:o, s:o}", "serving",
			 g_atomic_int_get(&ingress->serving), "draining",
			 g_atomic_int_get(&ingress->draining), "in_flight",
			 g_atomic_int_get(&ingress->in_flight), "balance",
			 balance_dump(ingress->balance, now), "quarantine",
			 quarantine_dump(ingress->quarantine, now));
	pthread_mutex_unlock(&ingress->lock);
	return dump;
}

void ingress_stop(struct ingress *ingress)
{
	MHD_stop_daemon(ingress->http);
	ingress->http = NULL;
}

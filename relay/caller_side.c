#include <inttypes.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "platform/platform.h"
#include "relay/call.h"
#include "relay/memory_limits.h"

/* Limits before the first configuration is received. */
#define HEAD_MAX_BYTES_START 16384
#define BODY_MAX_BYTES_START (1024 * 1024)
#define HEAD_WAIT_NS_START (3 * NS_PER_SEC)
#define IDLE_WAIT_NS_START (15 * NS_PER_SEC)

/*
 * Validity of reported loads and of a server's draining state, and the times of
 * outlier detection. Short, so that other servers take over at once when one
 * leaves or crashes.
 */
#define REPORT_LIFE_NS (500 * NS_PER_MS)
#define DRAINING_LIFE_NS (1 * NS_PER_SEC)
#define EJECT_FIRST_NS (500 * NS_PER_MS)
#define EJECT_LONGEST_NS (2 * NS_PER_SEC)
#define EJECT_FAILURES 3

/*
 * The longest time limit of a route's callers expires after this time without
 * such a caller, since a change of their configuration may shorten it.
 */
#define TIMEOUT_LIFE_NS (10 * NS_PER_SEC)

/* A new answer's length has a weight of 1 / this in the smoothed length. */
#define ANSWER_BYTES_SMOOTHING 8

struct service_state *caller_side_service(struct caller_side *side, int index)
{
	return &g_array_index(side->services, struct service_state, index);
}

/* Answers. */

static enum outcome get_outcome(const struct call *call,
				enum failure_reason reason)
{
	return call->may_have_run ? OUTCOME_UNKNOWN
				  : failure_get(reason)->outcome;
}

static void reply_failure(struct caller_side *side,
			  struct http_server_conn *conn, int status,
			  int64_t retry_after_ms)
{
	g_autofree char *fields = NULL;
	struct http_reply reply = { .status = status, .body = "" };

	if (retry_after_ms > 0)
		fields = g_strdup_printf("Retry-After: %" PRId64 ".%03d\r\n",
					 retry_after_ms / 1000,
					 (int)(retry_after_ms % 1000));
	reply.fields = fields;
	(void)side;
	http_server_reply(conn, &reply);
}

static void free_call(struct call *call)
{
	call->side->nr_calls--;
	cds_list_del(&call->node);
	if (call->failed_answer) {
		xdr_free((xdrproc_t)xdr_relay_answer,
			 (char *)call->failed_answer);
		g_free(call->failed_answer);
	}
	if (call->body)
		g_bytes_unref(call->body);
	mesh_view_unref(call->view);
	http_message_free(call->message);
	g_free(call);
}

const char *call_id(const struct call *call)
{
	const char *id =
		http_message_value(call->message, HTTP_ROLE_REQUEST_ID);

	return log_quote(id ? id : "");
}

static void log_failure(const struct call *call, enum failure_reason reason,
			int status)
{
	int64_t now = clock_monotonic_ns();

	log_event(LOG_INFO, "request_failed",
		  "id=%s route=%s version=%" PRId64
		  " service=%s reason=%s outcome=%s status=%d placed=%d "
		  "sent=%d held_ms=%" PRId64 " left_ms=%" PRId64,
		  call_id(call), log_quote(call->route->name),
		  call->view->config->version, log_quote(call->service),
		  failure_get(reason)->name,
		  outcome_name(get_outcome(call, reason)), status,
		  call->nr_placed, call->nr_sent,
		  (now - call->arrival) / NS_PER_MS,
		  (call->deadline - now) / NS_PER_MS);
}

static void count_end(const struct call *call, enum outcome outcome)
{
	counter_add(&call->side->requests[outcome], 1);
	if (outcome == OUTCOME_RAN)
		organisation_counts_add(call->side->counts, call->identity.name,
					ORGANISATION_RUN);
	route_metrics_count(call->state->metrics, outcome,
			    clock_monotonic_ns() - call->arrival);
}

static void answer_failure(struct call *call, enum failure_reason reason)
{
	struct caller_side *side = call->side;
	enum outcome outcome = get_outcome(call, reason);
	int64_t retry_after_ms = 0;
	int status = 502;

	if (outcome == OUTCOME_NOT_RUN) {
		if (call->is_revoked)
			reason = FAILURE_KEY_REVOKED;
		status = call_refusal(call, reason, &retry_after_ms);
		call_count_refusal(call, reason);
		call_refund(call);
	} else if (reason == FAILURE_DEADLINE) {
		status = 504;
	}
	count_end(call, outcome);
	counter_add(&side->failures[reason], 1);
	if (reason == FAILURE_QUOTA)
		call_log_quota_refusal(call);
	else
		log_failure(call, reason, status);
	reply_failure(side, call->conn, status, retry_after_ms);
}

/*
 * Logs all requests that servers failed, and a sample of the others. The sample
 * depends on the request id, so that it is the same on all hosts and a request
 * can be followed over them.
 */
static void log_success(const struct call *call,
			const struct relay_answer *answer, int64_t total_us)
{
	const char *id =
		http_message_value(call->message, HTTP_ROLE_REQUEST_ID);

	if (!id ||
	    (answer->status < HTTP_STATUS_FAILED && !relay_is_sampled(id)))
		return;
	log_event(LOG_INFO, "request_served",
		  "id=%s route=%s version=%" PRId64
		  " service=%s status=%d placed=%d sent=%d total_us=%" PRId64
		  " backend_us=%" PRId64,
		  call_id(call), log_quote(call->route->name),
		  call->view->config->version, log_quote(call->service),
		  answer->status, call->nr_placed, call->nr_sent, total_us,
		  (int64_t)answer->service_us);
}

static void answer_success(struct call *call, const struct relay_answer *answer)
{
	struct caller_side *side = call->side;
	int64_t total_us = (clock_monotonic_ns() - call->arrival) / NS_PER_US;
	struct http_reply reply = {
		.status = answer->status,
		.fields = answer->fields,
		.body = answer->body.body_val,
		.body_len = answer->body.body_len,
	};

	call->state->answer_bytes +=
		((int64_t)answer->body.body_len - call->state->answer_bytes) /
		ANSWER_BYTES_SMOOTHING;
	count_end(call, OUTCOME_RAN);
	if (answer->status >= HTTP_STATUS_FAILED)
		counter_add(&side->failures[FAILURE_BACKEND_FAILED], 1);
	log_success(call, answer, total_us);
	histogram_observe(&side->added_time,
			  (uint64_t)MAX(total_us - answer->service_us, 0));
	http_server_reply(call->conn, &reply);
	if (side->context->pacer)
		net_pacer_charge(side->context->pacer, answer->body.body_len,
				 clock_monotonic_ns());
}

void call_end(struct call *call, enum failure_reason reason,
	      const struct relay_answer *answer)
{
	call_cancel(call);
	http_server_set_data(call->conn, NULL);
	if (call->is_from_backend &&
	    (!answer || answer->status >= HTTP_STATUS_FAILED))
		backend_side_note_failed_call(call->side->backend_side,
					      clock_monotonic_ns());
	if (reason == FAILURE_NONE)
		answer_success(call, answer);
	else
		answer_failure(call, reason);
	free_call(call);
}

/* Routing. */

static struct route_state *get_state(struct caller_side *side,
				     const struct mesh_route *route)
{
	struct route_state *state =
		g_hash_table_lookup(side->routes, route->name);

	if (!state) {
		state = g_new0(struct route_state, 1);
		state->route = g_strdup(route->name);
		cost_estimate_init(&state->cost,
				   route->objective_ms * NS_PER_MS);
		state->credits = g_array_new(FALSE, TRUE, sizeof(int64_t));
		/* Assumed until the length of the first answers is known. */
		if (route->long_answers)
			state->answer_bytes = 2 * RELAY_LONG_ANSWER_BYTES;
		state->metrics =
			route_metrics_get(&side->route_metrics, route->name);
		g_hash_table_insert(side->routes, state->route, state);
	}
	return state;
}

static void free_state(void *arg)
{
	struct route_state *state = arg;

	g_array_unref(state->credits);
	g_free(state->route);
	g_free(state);
}

/* The credits of a route's parts, reset when the number of parts changes. */
static int64_t *get_credits(struct caller_side *side, struct route_state *state,
			    const struct mesh_route *route)
{
	int64_t *credits;

	if (state->credits->len != route->nr_services) {
		g_array_set_size(state->credits, (guint)route->nr_services);
		credits = (int64_t *)state->credits->data;
		for (size_t i = 0; i < route->nr_services; i++)
			credits[i] = (int64_t)rng_below(
				&side->rng,
				(uint64_t)route->services[i].weight + 1);
	}
	return (int64_t *)state->credits->data;
}

/*
 * Picks the service of a request by smooth weighted round robin: the credit of
 * each part grows by its weight, and the part with the most credit is picked
 * and pays the sum of all weights. The first credits are random; otherwise all
 * daemons would begin with the same part.
 */
static const char *pick_part(struct caller_side *side,
			     struct route_state *state,
			     const struct mesh_route *route)
{
	int64_t *credits;
	int64_t sum = 0;
	size_t best = 0;

	if (route->nr_services == 1)
		return route->services[0].service;
	credits = get_credits(side, state, route);
	for (size_t i = 0; i < route->nr_services; i++)
		sum += route->services[i].weight;
	for (size_t i = 0; i < route->nr_services; i++) {
		credits[i] += route->services[i].weight;
		if (route->services[i].weight &&
		    (!route->services[best].weight ||
		     credits[i] > credits[best]))
			best = i;
	}
	credits[best] -= sum;
	return route->services[best].service;
}

/*
 * Time that the caller has spent in earlier attempts: the difference between
 * its time limit and the longest one of the route's callers.
 */
static int64_t waited_before_ms(struct route_state *state, int64_t timeout_ms,
				int64_t now)
{
	if (timeout_ms >= state->longest_time_limit_ms ||
	    now - state->longest_seen > TIMEOUT_LIFE_NS) {
		state->longest_time_limit_ms = timeout_ms;
		state->longest_seen = now;
	}
	return state->longest_time_limit_ms - timeout_ms;
}

static void set_times(struct call *call)
{
	const struct mesh_route *route = call->route;
	int64_t timeout_ms =
		http_message_number(call->message, HTTP_ROLE_TIME_LEFT_MS,
				    route->deadline_ms);
	int64_t waited_ms =
		waited_before_ms(call->state, timeout_ms, call->arrival);

	call->deadline =
		MIN(call->arrival +
			    MIN(route->deadline_ms, timeout_ms) * NS_PER_MS,
		    call->side->context->stop_deadline);
	call->due =
		call->arrival + (route->objective_ms - waited_ms) * NS_PER_MS;
	call->objective = call->due;
	/* Urgent requests may wait for a slot up to the deadline. */
	if (call_priority(call) == ADMIT_ORDER)
		call->objective = call->deadline;
}

static uint64_t get_fingerprint(const struct http_message *message)
{
	const char *host = http_message_value(message, HTTP_ROLE_HOST);

	return quarantine_fingerprint(host ? host : "", message->method,
				      message->target->str, message->body->data,
				      message->body->len);
}

static struct call *new_call(struct caller_side *side,
			     struct http_server_conn *conn,
			     struct http_message *message,
			     const struct mesh_route *route,
			     const struct identity *identity)
{
	struct call *call = g_new0(struct call, 1);

	side->nr_calls++;
	cds_list_add_tail(&call->node, &side->calls);
	call->side = side;
	call->conn = conn;
	call->message = message;
	call->view = mesh_view_ref(side->view);
	call->route = route;
	call->identity = *identity;
	call->arrival = clock_monotonic_ns();
	call->state = get_state(side, route);
	set_times(call);
	call->service = pick_part(side, call->state, route);
	call->service_index =
		balance_service_index(side->balance, call->service);
	call->fingerprint = get_fingerprint(message);
	http_server_set_data(conn, call);
	return call;
}

static bool is_from_backend(const struct caller_side *side,
			    const struct http_server_conn *conn)
{
	return !strcmp(http_server_peer_ip(conn),
		       side->context->host->backend.host);
}

static void serve(struct caller_side *side, struct http_server_conn *conn,
		  struct http_message *message, const struct mesh_route *route,
		  const struct identity *identity)
{
	struct call *call = new_call(side, conn, message, route, identity);

	call->is_from_backend = is_from_backend(side, conn);
	if (call->is_from_backend)
		backend_side_note_call(side->backend_side, call->arrival);
	CDS_INIT_LIST_HEAD(&call->attempts);
	call->wait_ms = -1;
	organisation_counts_add(side->counts, identity->name,
				ORGANISATION_RECEIVED);
	if (call->service_index < 0) {
		call_end(call, FAILURE_NO_TARGET, NULL);
		return;
	}
	if (quarantine_check(side->context->quarantine, call->fingerprint,
			     call->arrival, NULL)) {
		call_end(call, FAILURE_QUARANTINED, NULL);
		return;
	}
	call_admit(call);
}

static void refuse(struct caller_side *side, struct http_server_conn *conn,
		   struct http_message *message, int status, const char *reason)
{
	const char *id = http_message_value(message, HTTP_ROLE_REQUEST_ID);

	log_event(LOG_INFO, "request_refused",
		  "id=%s reason=%s status=%d version=%" PRId64,
		  log_quote(id ? id : ""), reason, status,
		  side->view && side->view->config ? side->view->config->version
						   : -1);
	if (is_from_backend(side, conn))
		backend_side_note_failed_call(side->backend_side,
					      clock_monotonic_ns());
	counter_add(&side->requests[OUTCOME_NOT_RUN], 1);
	reply_failure(side, conn, status,
		      status == 503 ? caller_side_retry_after_ms(side, -1) : 0);
	http_message_free(message);
}

static void on_request(struct http_server_conn *conn,
		       struct http_message *message, void *ctx)
{
	const char *host = http_message_value(message, HTTP_ROLE_HOST);
	struct caller_side *side = ctx;
	const struct mesh_route *route;
	struct identity identity;
	const char *refusal;

	if (!http_message_value(message, HTTP_ROLE_REQUEST_ID)) {
		refuse(side, conn, message, 400, "no-request-id");
		return;
	}
	if (!side->view || !side->view->config) {
		refuse(side, conn, message, 503, "no-configuration");
		return;
	}
	route = host ? mesh_config_find_route(side->view->config, host,
					      message->target->str)
		     : NULL;
	if (!route) {
		refuse(side, conn, message, 404, "no-route");
		return;
	}
	refusal = identity_take(&identity, side->view->config, route, message);
	if (refusal)
		refuse(side, conn, message, 401, refusal);
	else
		serve(side, conn, message, route, &identity);
}

static void on_caller_closed(struct http_server_conn *conn, void *ctx)
{
	struct call *call = http_server_data(conn);

	(void)ctx;
	if (!call)
		return;
	if (call->is_from_backend)
		backend_side_note_failed_call(call->side->backend_side,
					      clock_monotonic_ns());
	call_cancel(call);
	free_call(call);
}

static const struct http_server_ops server_ops = {
	.request = on_request,
	.disconnected = on_caller_closed,
};

/* Start, stop and state. */

static void add_metrics(struct caller_side *side)
{
	static const char *const names[CALL_NR_OUTCOMES] = {
		"godwitspur_requests_total{outcome=\"ran\"}",
		"godwitspur_requests_total{outcome=\"not-run\"}",
		"godwitspur_requests_total{outcome=\"unknown\"}",
	};
	struct metrics *metrics = side->context->metrics;

	for (int i = 0; i < CALL_NR_OUTCOMES; i++) {
		side->requests[i].name = names[i];
		side->requests[i].help = "Callers' requests by outcome.";
		metrics_add_counter(metrics, &side->requests[i]);
	}
	for (int i = 0; i < FAILURE_REASONS; i++) {
		side->failure_names[i] = g_strdup_printf(
			"godwitspur_failures_total{reason=\"%s\"}",
			failure_get((enum failure_reason)i)->name);
		side->failures[i].name = side->failure_names[i];
		side->failures[i].help =
			"Callers' requests that were not served, by reason.";
		if (i != FAILURE_NONE)
			metrics_add_counter(metrics, &side->failures[i]);
	}
	side->nr_retries.name = "godwitspur_repeats_total";
	side->nr_retries.help = "Requests sent to a further backend server.";
	metrics_add_counter(metrics, &side->nr_retries);
	side->added_time.name = "godwitspur_added_seconds";
	side->added_time.help = "Time of a request outside the backend server.";
	metrics_add_histogram(metrics, &side->added_time);
}

struct caller_side *caller_side_new(const struct relay_context *context,
				    struct backend_side *backend_side,
				    struct peer_links *links,
				    struct quota_side *quota, GError **error)
{
	struct caller_side *side = g_new0(struct caller_side, 1);
	struct balance_options balance = {
		.host = context->host->name,
		.zone = context->host->zone,
		.region = context->host->region,
		.eject_failures = EJECT_FAILURES,
		.eject_first_ns = EJECT_FIRST_NS,
		.eject_longest_ns = EJECT_LONGEST_NS,
		.report_max_age_ns = REPORT_LIFE_NS,
		.draining_max_age_ns = DRAINING_LIFE_NS,
		.rng = &side->rng,
	};
	struct http_server_options http = {
		.loop = context->loop,
		.timers = context->timers,
		.listen = context->host->callers,
		.roles = &platform_field_roles,
		.limits = { .message = { .head_max = HEAD_MAX_BYTES_START,
					 .body_max = BODY_MAX_BYTES_START },
			    .request_read_max_ns = HEAD_WAIT_NS_START,
			    .idle_max_ns = IDLE_WAIT_NS_START },
		.account = context->account,
		.conns_max = memory_limits_callers_max(context->host),
		.counters = &side->http_counters,
		.ops = &server_ops,
		.ctx = side,
	};

	side->context = context;
	CDS_INIT_LIST_HEAD(&side->calls);
	side->route_metrics.metrics = context->metrics;
	side->backend_side = backend_side;
	side->links = links;
	side->quota = quota;
	side->counts = organisation_counts_new();
	side->own_traffic = g_strdup_printf("%s:%u", context->host->ip,
					    context->host->peers.port);
	rng_init(&side->rng, context->incarnation);
	side->balance = balance_new(&balance);
	side->services = g_array_new(FALSE, TRUE, sizeof(struct service_state));
	side->routes = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					     free_state);
	add_metrics(side);
	placement_add_metrics(&side->placement, context->metrics);
	memory_limits_add_counters(context->metrics, &side->http_counters);
	side->http = http_server_new(&http, error);
	return side->http ? side : NULL;
}

void caller_side_drain(struct caller_side *side)
{
	http_server_drain(side->http);
}

void caller_side_stop(struct caller_side *side)
{
	http_server_stop(side->http);
}

void caller_side_end_calls(struct caller_side *side)
{
	/* The end of one may end others that wait for its slot. */
	while (!cds_list_empty(&side->calls))
		call_end_for_stop(
			cds_list_first_entry(&side->calls, struct call, node));
}

bool caller_side_is_transferring(const struct caller_side *side)
{
	return http_server_is_transferring(side->http);
}

int caller_side_nr_calls(const struct caller_side *side)
{
	return side->nr_calls;
}

json_t *caller_side_dump(const struct caller_side *side)
{
	return json_pack("{s:i, s:i, s:I, s:o, s:o, s:o, s:o}", "requests",
			 side->nr_calls, "connections",
			 (int)http_server_nr_conns(side->http), "version",
			 side->view && side->view->config
				 ? (json_int_t)side->view->config->version
				 : (json_int_t)0,
			 "placement", placement_dump(side), "balance",
			 balance_dump(side->balance, clock_monotonic_ns()),
			 "organisations",
			 organisation_counts_dump(side->counts), "quota",
			 quota_side_dump(side->quota));
}

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "base/clock.h"
#include "exchange.h"

#define CONNECTIONS_MAX 256
#define THREAD_STACK_BYTES (256 * 1024)
#define IDLE_CONNECTION_SEC 120

/* Bodies of requests without a route are read up to this size and dropped. */
#define UNROUTED_BODY_MAX 65536

/* libmicrohttpd callbacks. */

/* Paths and queries are forwarded as received, so nothing is unescaped. */
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
	/* libmicrohttpd replaces plus signs by spaces before keep_escapes(). */
	g_strdelimit(query->str, " ", '+');
	return g_string_free(query, FALSE);
}

/* Headers that determine the length of the body, and invalid names. */
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

static enum MHD_Result count_framing(void *ctx, enum MHD_ValueKind kind,
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
 * Guards against request smuggling (RFC 9112, section 11.2): libmicrohttpd
 * accepts requests with ambiguous framing, so a caller behind a shared proxy
 * could hide a request in the body of another.
 */
static bool is_malformed(struct exchange *exchange)
{
	struct framing framing = { 0 };

	MHD_get_connection_values(exchange->connection, MHD_HEADER_KIND,
				  count_framing, &framing);
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
	exchange_clear_answer(exchange);
	snapshot_put(exchange->snapshot);
	g_byte_array_unref(exchange->body);
	g_free(exchange->path);
	g_free(exchange->target);
	g_atomic_int_add(&exchange->ingress->in_flight, -1);
	g_free(exchange);
}

static void append_body(struct exchange *exchange, const char *data, size_t len)
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
		/*
		 * libmicrohttpd closes the connection after a response that is
		 * queued before the body was read.
		 */
		return is_malformed(exchange)
			       ? exchange_fail(exchange, FAILURE_BAD_REQUEST)
			       : MHD_YES;
	}
	if (*upload_size) {
		append_body(exchange, upload_data, *upload_size);
		*upload_size = 0;
		return MHD_YES;
	}
	return exchange_serve(exchange);
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

/* Start, configuration and stop. */

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
	ingress->retries.help = "Retried attempts.";
	metrics_add_counter(metrics, &ingress->retries);
	ingress->added_time.name = "godwitspur_added_seconds";
	ingress->added_time.help =
		"Time of a request outside the backend server.";
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
	return g_atomic_int_get(&ingress->serving) &&
	       !g_atomic_int_get(&ingress->draining);
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

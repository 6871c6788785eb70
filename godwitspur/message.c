#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "backend.h"
#include "base/clock.h"
#include "exchange.h"

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

static bool is_reserved_header(const char *name)
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
	    is_reserved_header(name) || strlen(name) > PEER_HEADER_NAME_MAX ||
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

void message_build(struct exchange *exchange, struct traffic_request *request)
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

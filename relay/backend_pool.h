#ifndef RELAY_BACKEND_POOL_H
#define RELAY_BACKEND_POOL_H

#include "http/client.h"
#include "relay/relay.h"

/* The connections to the local backend server. */

struct backend_pool;
struct backend_conn;

/* How a request on a connection of the pool ended. */
typedef void (*backend_done)(enum http_end end, struct http_message *response,
			     void *ctx);

struct backend_pool *backend_pool_new(const struct relay_context *context);

/* Sets the maximum length of a response body in bytes. */
void backend_pool_set_body_max(struct backend_pool *pool, size_t body_max);

/*
 * Sends a request on an idle connection or a new one. With fresh set, an idle
 * connection is reused only if it carried a request moments ago, since the
 * server may have dropped an older one. Returns NULL when no connection can be
 * opened. done is called at most once, never during this call.
 */
struct backend_conn *backend_pool_send(struct backend_pool *pool,
				       const GString *head, const void *body,
				       size_t body_len, const char *request_id,
				       bool fresh, backend_done done,
				       void *ctx);

/* Ends a request by closing its connection; done is not called. */
void backend_pool_cancel(struct backend_pool *pool, struct backend_conn *conn);

/* Closes the idle connections. */
void backend_pool_close_idle(struct backend_pool *pool);

unsigned backend_pool_nr_conns(const struct backend_pool *pool);
uint64_t backend_pool_nr_opened(const struct backend_pool *pool);

#endif

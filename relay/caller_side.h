#ifndef RELAY_CALLER_SIDE_H
#define RELAY_CALLER_SIDE_H

#include <jansson.h>

#include "mesh/explain.h"
#include "relay/backend_side.h"
#include "relay/peer_links.h"
#include "relay/quota_side.h"
#include "relay/relay.h"

/*
 * Serves the callers on this host: routes each request by the view in force,
 * sends it to a backend server's daemon, retries it where that is safe, and
 * answers with a status that shows whether it may have run.
 */

struct caller_side;

struct caller_side *caller_side_new(const struct relay_context *context,
				    struct backend_side *backend_side,
				    struct peer_links *links,
				    struct quota_side *quota, GError **error);

/* Applies a new view, which stays referenced while requests use it. */
void caller_side_apply(struct caller_side *side, struct mesh_view *view);

/* Closes each connection after its next answer. */
void caller_side_drain(struct caller_side *side);

/*
 * Closes the listening socket and idle connections, after reading what has
 * already arrived. A request of which a part was read is still served.
 */
void caller_side_stop(struct caller_side *side);

/* Answers all requests in progress as failed, because the process exits. */
void caller_side_end_calls(struct caller_side *side);

/*
 * Whether a request is not read completely, or an answer not passed completely
 * to its socket. The request of such an answer is no longer in progress.
 */
bool caller_side_is_transferring(const struct caller_side *side);

/* Number of requests in progress. */
int caller_side_nr_calls(const struct caller_side *side);

/*
 * Explains which route and values the view in force has for a query, as text
 * freed with g_free(); NULL if no route matches.
 */
char *caller_side_explain(const struct caller_side *side,
			  const struct mesh_explain_query *query);

/* Appends metrics that are not registered, as their names change. */
void caller_side_render_metrics(const struct caller_side *side, GString *out);

json_t *caller_side_dump(const struct caller_side *side);

#endif

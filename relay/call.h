#ifndef RELAY_CALL_H
#define RELAY_CALL_H

#include "admit/sound.h"
#include "balance/balance.h"
#include "base/rng.h"
#include "http/server.h"
#include "relay/caller_side.h"
#include "relay/route_metrics.h"
#include "retry/retry.h"
#include "retry/window.h"

/*
 * A caller's request on its way, shared by the files that serve it:
 * caller_side.c reads and answers it, call.c sends it to backend servers.
 */

#define CALL_NR_OUTCOMES ROUTE_METRICS_OUTCOMES

/* What a route's requests have shown, kept over configurations. */
struct route_state {
	char *route;
	/*
	 * The longest wait that callers told. One that tells less has used up
	 * the difference in earlier attempts.
	 */
	int64_t longest_wait_ms;
	int64_t longest_seen;
	int64_t answer_bytes; /* smoothed */
	struct route_metrics *metrics;
	/* Turns of the parts, so that shares hold for small numbers too. */
	GArray *credits; /* int64_t by part */
};

/* What this daemon knows of a service as a whole. */
struct service_state {
	struct retry_window repeats; /* that its servers bear from here */
	struct sound_asking asking;
};

struct caller_side {
	const struct relay_context *context;
	struct backend_side *backend_side;
	struct peer_links *links;
	struct mesh_view *view;
	struct http_server *http;
	struct balance *balance;
	GArray *services; /* struct service_state by service index */
	struct rng rng;
	GHashTable *routes; /* route name -> struct route_state */
	int nr_calls;
	int nr_daemons;
	char *own_traffic; /* address of the own daemon */
	struct counter requests[CALL_NR_OUTCOMES];
	/* Of requests that were not served, by the last reason. */
	struct counter failures[FAILURE_REASONS];
	char *failure_names[FAILURE_REASONS];
	struct route_metrics_set route_metrics;
	struct counter nr_repeats;
	struct histogram added_time;
};

struct call {
	struct caller_side *side;
	struct http_server_conn *conn;
	struct http_message *message;
	struct mesh_view *view; /* the one it is served by */
	const struct mesh_route *route;
	const char *service; /* of the view */
	int service_index;   /* in balance and budgets */
	int64_t arrival;
	int64_t deadline;
	struct route_state *state; /* of its route */
	int64_t objective;	   /* until when it may wait for a slot */
	int64_t due;		   /* until when the answer is worth most */
	uint64_t fingerprint;
	struct cds_list_head attempts; /* under way */
	int nr_attempts;	       /* under way */
	int nr_placed;		       /* sent to daemons */
	int nr_sent;		       /* that reached a backend server */
	int nr_due_refused;	       /* by daemons that may not do well */
	balance_handle excluded[BALANCE_EXCLUDED_MAX];
	size_t nr_excluded;
	/* Of the excluded: those that refused for the time or as unsound. */
	bool refused_due[BALANCE_EXCLUDED_MAX];
	bool is_from_backend; /* sent by the server on this host */
	bool may_have_run;
	/* The first answer that tells a failure, until another is better. */
	struct relay_answer *failed_answer;
	bool takes_late;    /* no daemon is asked to refuse it for being late */
	int64_t wait_ms;    /* the shortest wait that a daemon told; -1: none */
	struct timer timer; /* the deadline, or the second attempt */
	bool hedged;
};

/* The id that the caller gave, quoted for a log line. */
const char *call_id(const struct call *call);

/* The class in which a request waits at its backend server. */
enum admit_priority call_priority(const struct call *call);

/* Sends a request that was routed; it ends with call_end(). */
void call_start(struct call *call);

/* Withdraws all attempts, since the caller has gone or was answered. */
void call_cancel(struct call *call);

/*
 * Answers the caller and frees the call. The answer is NULL unless the reason
 * is FAILURE_NONE.
 */
void call_end(struct call *call, enum failure_reason reason,
	      const struct relay_answer *answer);

struct service_state *caller_side_service(struct caller_side *side, int index);

#endif

#ifndef RELAY_CALL_H
#define RELAY_CALL_H

#include "admit/sound.h"
#include "balance/balance.h"
#include "base/rng.h"
#include "http/server.h"
#include "relay/caller_side.h"
#include "relay/identity.h"
#include "relay/organisation_counts.h"
#include "relay/placement.h"
#include "relay/quota_side.h"
#include "relay/route_metrics.h"
#include "retry/retry.h"
#include "retry/window.h"

/*
 * A caller's request in progress. Internal to the files that serve it:
 * caller_side.c reads and answers it, call.c sends it to backend servers,
 * caller_view.c applies configurations and the registered servers.
 */

#define CALL_NR_OUTCOMES ROUTE_METRICS_OUTCOMES

/* Observations of a route's requests; kept when the configuration changes. */
struct route_state {
	char *route;
	/*
	 * The longest time limit that a caller sent recently. A caller that
	 * sends a shorter one has used the difference for earlier attempts.
	 */
	int64_t longest_time_limit_ms;
	int64_t longest_seen; /* when it was last received (monotonic ns) */
	int64_t answer_bytes; /* smoothed length of an answer */
	struct cost_estimate cost; /* work of a request */
	struct route_metrics *metrics;
	/*
	 * State of the weighted round robin over the route's services, which
	 * keeps their shares exact for small numbers of requests too.
	 */
	GArray *credits; /* int64_t by part */
};

/* State of a service over all of its servers. */
struct service_state {
	struct retry_window retries; /* this daemon's retry budget */
	/* Whether requests are marked to be refused by unsound servers. */
	struct failover_control unless_unsound;
};

struct caller_side {
	const struct relay_context *context;
	struct backend_side *backend_side;
	struct peer_links *links;
	struct quota_side *quota;
	struct organisation_counts *counts;
	struct mesh_view *view;
	struct http_server *http;
	struct balance *balance;
	GArray *services; /* struct service_state by service index */
	struct rng rng;
	GHashTable *routes;	    /* route name -> struct route_state */
	struct cds_list_head calls; /* requests in progress */
	int nr_calls;
	int nr_daemons;	   /* hosts with a registered server; at least 1 */
	char *own_traffic; /* address for other daemons' requests */
	struct counter requests[CALL_NR_OUTCOMES];
	/* Requests that were not served, by the reason of the last failure. */
	struct counter failures[FAILURE_REASONS];
	char *failure_names[FAILURE_REASONS];
	struct route_metrics_set route_metrics;
	struct counter nr_retries;
	struct http_server_counters http_counters;
	struct histogram added_time;
	struct placement placement;
};

struct call {
	struct cds_list_head node; /* in caller_side.calls */
	struct caller_side *side;
	struct http_server_conn *conn;
	struct http_message *message;
	GBytes *body; /* of the message, once it was sent to a daemon */
	struct mesh_view *view; /* in force when it arrived */
	const struct mesh_route *route;
	const char *service; /* borrowed from the view */
	int service_index;   /* in the balancer and in caller_side.services */
	int64_t arrival;
	int64_t deadline;
	struct route_state *state; /* of its route */
	int64_t objective;	   /* end of the wait for a slot */
	int64_t due;		   /* end of the route's objective */
	uint64_t fingerprint;
	struct identity identity;
	struct quota_wait quota_wait; /* waits, or has a token */
	bool is_revoked; /* its key was revoked; nothing more is sent */
	struct cds_list_head attempts; /* in progress */
	int nr_attempts;	       /* in progress */
	int nr_unanswered;  /* of these, on links that were given up */
	int nr_placed;	    /* attempts sent to daemons */
	int nr_sent;	    /* attempts that reached a server */
	int nr_due_refused; /* refused as late or as unsound */
	balance_handle excluded[BALANCE_EXCLUDED_MAX];
	size_t nr_excluded;
	/* By index in excluded: refused as late or as unsound. */
	bool refused_due[BALANCE_EXCLUDED_MAX];
	bool is_from_backend; /* sent by the server on this host */
	bool may_have_run;
	/*
	 * The first answer with a server's error status; returned unless
	 * another attempt succeeds.
	 */
	struct relay_answer *failed_answer;
	bool accepts_late;  /* daemons may answer it late */
	int64_t wait_ms;    /* shortest wait in daemons' refusals; -1: none */
	struct timer timer; /* the deadline, or the hedged request */
	bool by_estimate;   /* the expected time decided its last placement */
	bool hedged;	    /* a hedged request was sent, or not allowed */
};

/* The caller's request id, quoted for a log line. */
const char *call_id(const struct call *call);

/* The priority of a request in the queue of its backend server's daemon. */
enum admit_priority call_priority(const struct call *call);

/* Sends a routed request; it ends with call_end() or call_cancel(). */
void call_start(struct call *call);

/*
 * Builds the request for a daemon, which borrows its strings and body from the
 * call.
 */
void call_build_request(const struct call *call, struct relay_request *request);

/* Starts the request once its organisation's quota allows it. */
void call_admit(struct call *call);

/* Gives back the quota of a request that was not run. */
void call_refund(struct call *call);

/* Logs that the organisation's quota refused the request. */
void call_log_quota_refusal(const struct call *call);

/* Takes back the attempts that wait, as far as they do not run yet. */
void call_recall(struct call *call);

/* Applies a new configuration to the keys of the requests in progress. */
void caller_side_apply_identities(struct caller_side *side);

/* Cancels all attempts, because the caller has left or gets its answer. */
void call_cancel(struct call *call);

/* Answers a request in progress as failed, because the process exits. */
void call_end_for_stop(struct call *call);

/*
 * Answers the caller and frees the call. The answer is NULL unless the reason
 * is FAILURE_NONE.
 */
void call_end(struct call *call, enum failure_reason reason,
	      const struct relay_answer *answer);

/* Counts the refusal of a request for its organisation. */
void call_count_refusal(struct call *call, enum failure_reason reason);

/* The status and Retry-After of a request that was refused; 0: none. */
int call_refusal(struct call *call, enum failure_reason reason,
		 int64_t *retry_after_ms);
/* Retry-After for a wait that daemons reported; -1: none did. */
int64_t caller_side_retry_after_ms(struct caller_side *side, int64_t wait_ms);

struct service_state *caller_side_service(struct caller_side *side, int index);

#endif

#ifndef GODWITSPUR_EXCHANGE_H
#define GODWITSPUR_EXCHANGE_H

#include <microhttpd.h>

#include "ingress.h"

/*
 * The state of one HTTP request in the ingress. ingress.c reads the request,
 * exchange.c checks and answers it, attempt.c sends it to targets, and
 * message.c builds the messages that are sent.
 */

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
	int service; /* index in the load balancer */
	struct retry_attempts attempts;
	char new_ticket[TICKET_TEXT_MAX];
	struct traffic_answer answer;
};

/* Returns the value of a request header, or NULL. */
const char *exchange_header(struct exchange *exchange, const char *name);

/* Serves a request that was read in full, and queues the response. */
enum MHD_Result exchange_serve(struct exchange *exchange);

/* Queues the response for a request that failed. */
enum MHD_Result exchange_fail(struct exchange *exchange,
			      enum failure_reason reason);

/* Frees the answer of the last attempt. */
void exchange_clear_answer(struct exchange *exchange);

/*
 * Sends the request to targets, with retries. On FAILURE_NONE the answer is in
 * exchange->answer.
 */
enum failure_reason exchange_run_attempts(struct exchange *exchange);

/* The retry budget of a service; called with the ingress lock held. */
struct retry_budget *ingress_budget(struct ingress *ingress, int service);

/*
 * Builds the message that is sent to a target. All its memory comes from
 * malloc(), since xdr_free() frees it.
 */
void message_build(struct exchange *exchange, struct traffic_request *request);

#endif

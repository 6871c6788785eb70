#ifndef GODWITSPUR_EXCHANGE_H
#define GODWITSPUR_EXCHANGE_H

#include <microhttpd.h>

#include "ingress.h"

/*
 * One HTTP request of a caller on its way through the ingress, shared by the
 * files that serve it: ingress.c reads it, exchange.c prepares and answers it,
 * attempt.c sends it to targets, message.c builds what is sent.
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
	int service; /* index in balance */
	struct retry_attempts attempts;
	char fresh_ticket[TICKET_TEXT_MAX];
	struct traffic_answer answer;
};

/* A header of the request; NULL when it is absent. */
const char *exchange_header(struct exchange *exchange, const char *name);

/* Serves a request that was read in full and queues its answer. */
enum MHD_Result exchange_serve(struct exchange *exchange);

/* Queues the answer to a request that failed. */
enum MHD_Result exchange_fail(struct exchange *exchange,
			      enum failure_reason reason);

/* Frees the answer of the last attempt. */
void exchange_clear_answer(struct exchange *exchange);

/* Sends the request to targets until it ends; FAILURE_NONE: see answer. */
enum failure_reason exchange_run_attempts(struct exchange *exchange);

/* The retry budget of a service, under the ingress lock. */
struct retry_budget *ingress_budget(struct ingress *ingress, int service);

/*
 * Builds the message of an attempt. All its memory comes from malloc(), since
 * xdr_free() frees it.
 */
void message_build(struct exchange *exchange, struct traffic_request *request);

#endif

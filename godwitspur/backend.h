#ifndef GODWITSPUR_BACKEND_H
#define GODWITSPUR_BACKEND_H

#include "net/address.h"
#include "retry/retry.h"
#include "wire/wire.h"

/*
 * HTTP calls of the local backend server by neon. One session belongs to one
 * slot worker and keeps its connection open.
 */

struct backend_session;

struct backend_session *backend_session_new(const struct net_address *address);
void backend_session_free(struct backend_session *session);

struct backend_call {
	const struct traffic_request *request;
	const char *request_id;
	int64_t deadline;		/* monotonic ns */
	struct request_context context; /* handed to the backend server */
	bool repeatable; /* neon may repeat it on a stale connection */
	/* Counts losses of the backend server; no connection outlives one. */
	uint64_t life;
	int64_t body_max; /* bytes; a longer response is an error */
};

/*
 * Sends the request and reads the whole response into answer (status, headers
 * and body, freed with xdr_free()). Returns FAILURE_NONE when the backend
 * server answered in full; *draining says whether it
 * told that it is leaving.
 */
enum failure_reason backend_run(struct backend_session *session,
				const struct backend_call *call,
				struct traffic_answer *answer, bool *draining);

/*
 * Whether the backend server refuses connections now or within the next 63 ms;
 * blocks until then.
 */
bool backend_refuses(const struct net_address *address);

/*
 * Opens a connection and blocks until the backend server closes it. Returns
 * whether the server has ended, as backend_refuses() tells; a server that only
 * closes idle connections has not.
 */
bool backend_wait_end(const struct net_address *address);

/* Headers that belong to one connection and are never passed on. */
bool header_is_hop_by_hop(const char *name);

/* Appends a header to an answer; the strings are copied. */
void answer_add_header(struct traffic_answer *answer, const char *name,
		       const char *value);

#endif

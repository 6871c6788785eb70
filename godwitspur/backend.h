#ifndef GODWITSPUR_BACKEND_H
#define GODWITSPUR_BACKEND_H

#include "net/address.h"
#include "retry/retry.h"
#include "wire/wire.h"

/*
 * HTTP client for the local backend server, which blocks. Each slot worker has
 * a session of its own, which keeps its connection open.
 */

struct backend_session;

struct backend_session *backend_session_new(const struct net_address *address);
void backend_session_free(struct backend_session *session);

struct backend_call {
	const struct traffic_request *request;
	const char *request_id;
	int64_t deadline;		/* monotonic ns */
	struct request_context context; /* sent to the backend server */
	bool may_resend; /* it is sent again if the connection was stale */
	/*
	 * Number of losses of the backend server so far. A connection opened
	 * under another number is not reused.
	 */
	uint64_t life;
	int64_t body_max; /* bytes; a longer response is an error */
};

/*
 * Sends the request and reads the whole response into answer (status, headers
 * and body, freed with xdr_free()). Returns FAILURE_NONE for a complete
 * response; *draining is whether it had Backend-Draining: 1.
 */
enum failure_reason backend_run(struct backend_session *session,
				const struct backend_call *call,
				struct traffic_answer *answer, bool *draining);

/*
 * Returns true as soon as the backend server refuses a connection, and false
 * when it has refused none after waits of 63 ms in total.
 */
bool backend_refuses(const struct net_address *address);

/*
 * Opens a connection and blocks until the backend server closes it. Returns
 * backend_refuses(), which distinguishes a server that has exited from one that
 * only closes idle connections.
 */
bool backend_wait_end(const struct net_address *address);

/* Whether a header applies to one connection only and isn't forwarded. */
bool header_is_hop_by_hop(const char *name);

/*
 * Appends a copy of a header to an answer. Headers beyond PEER_HEADERS_MAX and
 * those that are too long are dropped.
 */
void answer_add_header(struct traffic_answer *answer, const char *name,
		       const char *value);

#endif

#ifndef RELAY_PROBE_H
#define RELAY_PROBE_H

#include "admit/admit.h"
#include "relay/backend_pool.h"
#include "relay/relay.h"

/*
 * Health probes of the local backend server. They report its id and how long it
 * stays cold. The health status in the response is not relied on, since it lags
 * and misleads; whether the server is up follows from its connections. Only an
 * id that is not registered yet counts with a status of 200 alone.
 *
 * Answers to probes bear no request id. Probes therefore use a connection of
 * their own: a late second copy of such an answer could not be told from the
 * answer to a request on the same connection.
 */

struct probe;

/* The server rejected the probe, and its answer has no cold time. */
#define PROBE_COLD_UNKNOWN (-1)

struct probe_answer {
	const struct http_message *response;
	const char *backend_id; /* that the server reports; NULL: none */
	/* How long it stays cold; PROBE_COLD_UNKNOWN if it did not tell. */
	int64_t cold_left_ms;
	int64_t sent; /* when the probe was sent; monotonic ns */
};

struct probe_options {
	const struct relay_context *context;
	/* A server answered a probe. */
	void (*probed)(void *ctx, const struct probe_answer *answer);
	/* The server refuses connections, so its process has ended. */
	void (*ended)(void *ctx);
	/* The server answers neither probes nor requests. */
	void (*silent)(void *ctx);
	void *ctx;
};

struct probe *probe_new(const struct probe_options *options);

/* Sets the values of the service in the configuration in force. */
void probe_set_service(struct probe *probe, const char *health_path,
		       const struct admit_cold_rate *rate);

/* The server is new or may have become cold: cold until a probe reports. */
void probe_restart(struct probe *probe, struct admit *admit, int64_t now);

/*
 * Limits the starts of requests until the deadline, at the cold rate. A
 * deadline that is not after now ends the limit: the server is warm.
 */
void probe_set_cold(struct probe *probe, struct admit *admit,
		    int64_t cold_deadline, int64_t now);

/* Sends a probe as soon as possible, such as after a lost connection. */
void probe_now(struct probe *probe);

/* Records that a request arrived; an idle server is probed less often. */
void probe_note_request(struct probe *probe);

/*
 * Records that a request was sent to the server. The more it gets, the more
 * often it is probed: one that becomes cold must not get many more than its
 * cold rate before that is noticed.
 */
void probe_note_start(struct probe *probe);

/* Records that the server answered a request, with any status. */
void probe_note_answer(struct probe *probe);

/* Whether the server refuses connections or does not answer. */
bool probe_is_down(const struct probe *probe);

#endif

#ifndef RELAY_PROBE_H
#define RELAY_PROBE_H

#include "admit/admit.h"
#include "relay/backend_pool.h"
#include "relay/relay.h"

/*
 * Status checks of the own backend server. They tell who it is and how long it
 * stays cold. Whether it says that it is healthy is not used, since that lags
 * and misleads; what its connections do tells whether it is there.
 */

struct probe;

struct probe_options {
	const struct relay_context *context;
	struct backend_pool *pool;
	/* An answer: its id or NULL, and how long it is cold or -1. */
	void (*probed)(void *ctx, const char *backend_id, int64_t cold_left_ms);
	/* It refuses connections, or another process answers. */
	void (*ended)(void *ctx);
	void *ctx;
};

struct probe *probe_new(const struct probe_options *options);

/* Settings of the service in the configuration in force. */
void probe_set_service(struct probe *probe, const char *health_path,
		       const struct admit_cold_rate *rate);

/* The server is new or may have changed: cold until a probe tells. */
void probe_restart(struct probe *probe, struct admit *admit, int64_t now);

/* Applies what a probe told about being cold. */
void probe_set_cold(struct probe *probe, struct admit *admit,
		    int64_t cold_deadline, int64_t now);

/* Asks at once, such as after a lost connection. */
void probe_now(struct probe *probe);

/* A request came; an idle server is asked less often. */
void probe_note_use(struct probe *probe);

/* The server answered a request, whatever it said. */
void probe_note_answer(struct probe *probe);

/* The server refuses connections or answers nothing. */
bool probe_is_down(const struct probe *probe);

#endif

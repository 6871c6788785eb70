#ifndef RELAY_BACKEND_SIDE_H
#define RELAY_BACKEND_SIDE_H

#include <jansson.h>

#include "relay/job.h"
#include "relay/relay.h"

/*
 * The side of the backend server. Every request for it passes here, whichever
 * host it came from, so its slots, its cold rate, its leaving and the
 * availability zone's are kept here, exactly.
 */

struct backend_side;

struct backend_side *backend_side_new(const struct relay_context *context);

/* Takes a new view, which stays referenced until the next one. */
void backend_side_apply(struct backend_side *side, struct mesh_view *view);

/* Runs a job or refuses it; the answer may come before the call returns. */
void backend_side_submit(struct backend_side *side, struct relay_job *job);

/* Withdraws a job, whose memory the calling code keeps; done is not called. */
void backend_side_cancel(struct backend_side *side, struct relay_job *job);

/* The server sent a request of its own to this daemon. */
void backend_side_note_call(struct backend_side *side, int64_t now);
/* Such a request ended without success, so what the server runs may fail. */
void backend_side_note_failed_call(struct backend_side *side, int64_t now);

/* Refuses new jobs from now on. */
void backend_side_drain(struct backend_side *side);
bool backend_side_is_draining(const struct backend_side *side);

/* Jobs that wait or run. */
int backend_side_nr_jobs(const struct backend_side *side);

/* Called after each turn of the loop. */
void backend_side_turn(struct backend_side *side, int64_t now);
int64_t backend_side_next_deadline(const struct backend_side *side);

json_t *backend_side_dump(const struct backend_side *side);

#endif

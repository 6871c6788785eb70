#ifndef RELAY_BACKEND_SIDE_H
#define RELAY_BACKEND_SIDE_H

#include <jansson.h>

#include "relay/job.h"
#include "relay/relay.h"

/*
 * The part of the daemon that serves the local backend server. Every request to
 * the server passes through it, whichever host the request came from. It is
 * therefore where the server's slots, its cold rate and the draining of the
 * server and of its availability zone are enforced, exactly.
 */

struct backend_side;

struct backend_side *backend_side_new(const struct relay_context *context);

/* Applies a new view and keeps a reference to it until the next one. */
void backend_side_apply(struct backend_side *side, struct mesh_view *view);

/* Applies the view in force again, after the host's service has changed. */
void backend_side_reapply(struct backend_side *side);

/* Runs, queues or refuses a job; job->done may be called before it returns. */
void backend_side_submit(struct backend_side *side, struct relay_job *job);

/* Cancels a job, which the calling code still owns; done is not called. */
void backend_side_cancel(struct backend_side *side, struct relay_job *job);

/* Refuses a job whose key was revoked, unless it runs already. */
void backend_side_recall(struct backend_side *side, struct relay_job *job);

/* Records that the server sent a request of its own through this daemon. */
void backend_side_note_call(struct backend_side *side, int64_t now);
/*
 * Records that such a request failed, which can make the requests fail that the
 * server runs.
 */
void backend_side_note_failed_call(struct backend_side *side, int64_t now);

/* Refuses new jobs from now on. */
void backend_side_drain(struct backend_side *side);
bool backend_side_is_draining(const struct backend_side *side);

/*
 * Ends all jobs, because the process exits: those that wait are refused, and
 * the outcome of those that run is unknown.
 */
void backend_side_end_jobs(struct backend_side *side);

/* The number of jobs that wait or run. */
int backend_side_nr_jobs(const struct backend_side *side);

/*
 * Ends jobs whose deadline has passed and starts waiting ones. Called in each
 * iteration of the event loop.
 */
void backend_side_run_timers(struct backend_side *side, int64_t now);
int64_t backend_side_next_deadline(const struct backend_side *side);

json_t *backend_side_dump(const struct backend_side *side);

#endif

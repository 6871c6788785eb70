#ifndef RELAY_BACKEND_SIDE_INTERNAL_H
#define RELAY_BACKEND_SIDE_INTERNAL_H

#include "relay/backend_load.h"
#include "relay/backend_pool.h"
#include "relay/backend_side.h"
#include "relay/local_server.h"
#include "relay/losses.h"
#include "relay/probe.h"
#include "retry/retry.h"

/*
 * Shared by the files of the backend side: backend_side.c admits, runs and
 * answers requests, backend_outcome.c judges the server by their results,
 * backend_load.c estimates its speed and outstanding work,
 * backend_view.c applies the published configuration and the server's entry,
 * backend_probed.c the results of health probes.
 */

struct backend_side {
	const struct relay_context *context;
	struct mesh_view *view;
	struct backend_pool *pool;
	struct probe *probe;
	struct admit *admit;
	struct cds_list_head running;
	struct local_server server;
	int nr_jobs;
	size_t long_bytes; /* usual length of the long answers of its jobs */
	int slots;
	bool in_service;
	bool draining;
	uint64_t life;		   /* counts crashes of the server, from 1 */
	int64_t makes_calls_until; /* reported as making calls until then */
	int64_t call_failed;	   /* when one of its calls last failed */
	struct losses losses;
	struct sound sound;
	struct backend_load load;
	struct counter admitted;
	struct counter refused;
	struct counter crashes;
	struct histogram service_time;
};

/* Starts queued jobs as far as slots and the cold rate allow. */
void backend_side_start_next(struct backend_side *side);

/* Applies the result of a probe: which server answers, its load, cold time. */
void backend_side_probed(void *ctx, const struct probe_answer *answer);

/* Counts the result of a run; the status is 0 if there was no response. */
void backend_side_record_outcome(struct backend_side *side,
				 const struct relay_job *job,
				 enum failure_reason reason, int status);

/*
 * Counts runs that are overdue as failed. A server that runs requests and loses
 * their answers is noticed so before the first of them reaches its deadline.
 */
void backend_side_record_overdue(struct backend_side *side, int64_t now);

#endif

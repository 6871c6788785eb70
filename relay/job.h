#ifndef RELAY_JOB_H
#define RELAY_JOB_H

#include "admit/admit.h"
#include "admit/sound.h"
#include "base/rng.h"
#include "wire/wire.h"

/* Answers from this length on take the link of a host for long. */
#define RELAY_LONG_ANSWER_BYTES 16384

/* One request in so many that are served is logged on each host. */
#define RELAY_SAMPLE_ONE_IN 256

/* From this status on an answer tells that the backend server failed. */
#define HTTP_STATUS_FAILED 500

/* The server's own time limit for a run has passed. */
#define HTTP_STATUS_TIMEOUT 504

/* Whether a request that is served is logged, by its id. */
static inline bool relay_is_sampled(const char *request_id)
{
	return hash_string(request_id) % RELAY_SAMPLE_ONE_IN == 0;
}

struct backend_conn;
struct backend_side;

/*
 * A request at the daemon beside its backend server; embedded by the side that
 * submits it.
 */
struct relay_job {
	struct relay_request request; /* owned; freed with xdr_free() */
	/*
	 * Takes the answer, which the callee frees with xdr_free(). Called
	 * once, unless the job is cancelled first.
	 */
	void (*done)(struct relay_job *job, struct relay_answer *answer);

	/* Private to backend_side.c. */
	struct backend_side *side;
	struct admit_request admit;
	struct cds_list_head node; /* running jobs */
	struct backend_conn *conn;
	int64_t deadline;
};

#endif

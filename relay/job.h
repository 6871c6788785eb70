#ifndef RELAY_JOB_H
#define RELAY_JOB_H

#include "admit/admit.h"
#include "admit/sound.h"
#include "base/rng.h"
#include "wire/wire.h"

/*
 * Answers of at least this length occupy the network link of a host for long:
 * they get connections of their own between daemons.
 */
#define RELAY_LONG_ANSWER_BYTES 16384

/* One in this many served requests is logged, the same ones on each host. */
#define RELAY_SAMPLE_ONE_IN 256

/* Answers with at least this status count as failures of the server. */
#define HTTP_STATUS_FAILED 500

/* Status of an answer when the server's own time limit for a run is over. */
#define HTTP_STATUS_TIMEOUT 504

/* Whether a served request is logged, depending on its id. */
static inline bool relay_is_sampled(const char *request_id)
{
	return hash_string(request_id) % RELAY_SAMPLE_ONE_IN == 0;
}

struct backend_conn;
struct backend_side;

/*
 * A request for the backend server on this host, from a caller here or from
 * another daemon. Embedded in a struct of the submitting code.
 */
struct relay_job {
	struct relay_request request; /* owned; freed with xdr_free() */
	/*
	 * Receives the answer and frees it with xdr_free(). Called once,
	 * unless the job is cancelled first.
	 */
	void (*done)(struct relay_job *job, struct relay_answer *answer);

	/* Private to backend_side.c. */
	struct backend_side *side;
	struct admit_request admit;
	struct cds_list_head node; /* in the running jobs */
	struct backend_conn *conn;
	int64_t deadline;
	int64_t work_ns; /* counted as outstanding; see backend_load.h */
	bool overdue;	 /* counted as failed, as its answer may be lost */
};

#endif

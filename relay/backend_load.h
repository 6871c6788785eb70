#ifndef RELAY_BACKEND_LOAD_H
#define RELAY_BACKEND_LOAD_H

#include <jansson.h>

#include "base/counters.h"
#include "cost/server.h"
#include "http/message.h"
#include "relay/job.h"

/*
 * The speed and the outstanding work of the local backend server, as its daemon
 * knows them. Every request to the server passes through the daemon, so the
 * outstanding work is counted here and not taken from the server's report,
 * which may be false. The report shows that the server takes part, and the pace
 * of its machine.
 */
struct backend_load {
	struct cost_server server; /* its speed and pace */
	int64_t work_ns;	   /* expected, of all jobs present */
	struct counter nr_reports;
	struct counter nr_malformed;
};

void backend_load_add_metrics(struct backend_load *load,
			      struct metrics *metrics);

/* Forgets a server whose process has ended or was replaced. */
void backend_load_reset(struct backend_load *load);

/* Applies the load report of a response, if it has one; NULL: no response. */
void backend_load_note(struct backend_load *load,
		       const struct http_message *response, int64_t now);

/* Applies the run time of a request that the server answered. */
void backend_load_ran(struct backend_load *load, const struct relay_job *job,
		      int64_t run_ns, int64_t now);

/*
 * Counts a job as outstanding. The work of one whose sender does not know it is
 * assumed to be usual_ns.
 */
void backend_load_track(struct backend_load *load, struct relay_job *job,
			int64_t usual_ns);
void backend_load_untrack(struct backend_load *load, struct relay_job *job);

/*
 * Expected run time of a job on the server; 0 if its work is not known or the
 * server has not reported its load lately.
 */
int64_t backend_load_expect(const struct backend_load *load,
			    const struct relay_job *job, int64_t now);

/* Sets the pace and the backlog in an answer. */
void backend_load_fill(const struct backend_load *load, int slots,
		       struct relay_answer *answer, int64_t now);

/* Age of the last load report in milliseconds; -1: none. */
int64_t backend_load_age_ms(const struct backend_load *load, int64_t now);

json_t *backend_load_dump(const struct backend_load *load, int64_t now);

#endif

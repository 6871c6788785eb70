#ifndef ADMIT_SOUND_H
#define ADMIT_SOUND_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Outlier detection by the results of requests. A backend server may pass its
 * health probes and still fail many requests or lose their answers; it is then
 * not sound. While other servers can take the requests, it refuses those that
 * are marked unless_unsound. Its share of failures decays with time, so that
 * it gets single requests, whose results show whether it is sound again.
 */

/* All zero initially, which is sound. */
struct sound {
	double failing;	 /* smoothed share of requests that failed */
	int64_t updated; /* time of the last result (monotonic ns) */
};

/* Records the result of a request at the server. */
void sound_record(struct sound *sound, bool failed, int64_t now);

/* Whether the server is sound. */
bool sound_check(const struct sound *sound, int64_t now);

/*
 * Decides whether a sender marks its requests to a service unless_unsound, so
 * that unsound servers refuse them and another server is tried. When all
 * servers are unsound, these refusals only cost time and attempts; so the
 * sender stops marking requests for a while after most attempts were refused.
 * All zero initially.
 */
struct failover_control {
	struct sound attempts; /* a failure is a refusal as unsound */
	int64_t enabled_from;  /* failover is disabled before then */
};

/* Records the result of an attempt at a server of the service. */
void failover_record(struct failover_control *control, bool refused,
		     int64_t now);

/* Whether to mark requests unless_unsound now. */
bool failover_enabled(const struct failover_control *control, int64_t now);

#endif

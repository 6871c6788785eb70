#ifndef ADMIT_SOUND_H
#define ADMIT_SOUND_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Whether a backend server is sound, by how its last requests ended. A server
 * may be healthy by its status check and still fail many requests, or lose
 * their answers. It gets nothing then as long as others may take it, but one
 * request now and then that shows whether it is sound again.
 */

/* All zero at the start, which is sound. */
struct sound {
	double failing;	 /* smoothed share of requests that failed */
	int64_t counted; /* when the last one was counted (monotonic ns) */
};

/* Counts the end of a request at the server. */
void sound_count(struct sound *sound, bool failed, int64_t now);

bool sound_holds(const struct sound *sound, int64_t now);

/*
 * Whether a sender asks unsound servers of a service to refuse its requests.
 * When all servers are unsound that only costs time and places, so it stops
 * for a while once most offers were refused. All zero at the start.
 */
struct sound_asking {
	struct sound offers; /* failed: refused as unsound */
	int64_t resumes;     /* not asked before */
};

/* Counts the end of an offer to a server of the service. */
void sound_asking_count(struct sound_asking *asking, bool refused, int64_t now);

bool sound_asking_holds(const struct sound_asking *asking, int64_t now);

#endif

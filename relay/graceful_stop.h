#ifndef RELAY_GRACEFUL_STOP_H
#define RELAY_GRACEFUL_STOP_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Decides in which order a daemon that was asked to stop gives up its parts,
 * and when its process may end: once nothing can begin any more and all that
 * has begun is answered. It answers for the requests that arrive while the
 * process ends. No I/O, no clock: times are monotonic nanoseconds.
 */

struct graceful_stop_ops {
	/* Returns the number of callers' requests in progress. */
	int (*nr_calls)(void *ctx);
	/*
	 * Returns whether anything is in progress: a request of a caller or of
	 * another daemon, or a message that is not read or written whole.
	 */
	bool (*is_busy)(void *ctx);
	/* From now on the requests of other daemons are refused. */
	void (*refuse_daemons)(void *ctx);
	/*
	 * Closes the listening sockets and idle connections, after reading what
	 * has arrived; that may begin requests. Called repeatedly.
	 */
	void (*stop_accepting)(void *ctx);
	/* Ends all requests, with an answer. */
	void (*end_all)(void *ctx);
};

struct graceful_stop_options {
	int64_t now;	  /* when the daemon was asked to stop */
	int64_t grace_ns; /* the process is killed this long after it */
	const struct graceful_stop_ops *ops;
	void *ctx;
};

struct graceful_stop {
	const struct graceful_stop_ops *ops;
	void *ctx;
	/* Other daemons are refused from here on, if no call is left. */
	int64_t earliest;
	/* They are refused from here on in any case. */
	int64_t refuse_by;
	/* Nothing more is accepted from here on. */
	int64_t accept_until;
	/* All requests have an answer by then. */
	int64_t deadline;
	bool refuses;
	int64_t exit_from; /* once other daemons have been refused for long */
};

void graceful_stop_init(struct graceful_stop *stop,
			const struct graceful_stop_options *options);

/* Takes the steps that are due. Returns whether the process may end. */
bool graceful_stop_step(struct graceful_stop *stop, int64_t now);

#endif

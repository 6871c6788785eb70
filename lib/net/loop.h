#ifndef NET_LOOP_H
#define NET_LOOP_H

#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>
#include <urcu/list.h>

/*
 * An event loop on epoll, run by one thread. Any thread may register event
 * sources; callbacks run on the loop's thread.
 */

struct net_loop;

/* A file descriptor and its event callback; embedded in the owning object. */
struct net_source {
	int fd;
	void (*ready)(struct net_source *source, uint32_t events);
};

struct net_loop_options {
	/* Called after the events of each iteration with the monotonic time. */
	void (*on_iteration)(void *ctx, int64_t now);
	/*
	 * Returns when the next iteration is due even without events
	 * (monotonic ns), or DEADLINE_NEVER.
	 */
	int64_t (*next_deadline)(void *ctx);
	void *ctx;
};

struct net_loop *net_loop_new(const struct net_loop_options *options);
void net_loop_free(struct net_loop *loop);

/* Runs until net_loop_stop() is called. */
void net_loop_run(struct net_loop *loop);

/* Runs one iteration, for a thread that waits for single events. */
void net_loop_step(struct net_loop *loop);

/* Stops the loop after its current iteration; any thread. */
void net_loop_stop(struct net_loop *loop);

/* Wakes the loop for an iteration; any thread. */
void net_loop_wake(struct net_loop *loop);

/* Registers a source for events (EPOLLIN, EPOLLOUT); any thread. */
bool net_loop_add(struct net_loop *loop, struct net_source *source,
		  uint32_t events);

/* Changes the events of a source; any thread. */
void net_loop_modify(struct net_loop *loop, struct net_source *source,
		     uint32_t events);

/* Removes a source; on the loop's thread only. */
void net_loop_remove(struct net_loop *loop, struct net_source *source);

/*
 * Runs function on the loop's thread after the events of the current iteration;
 * any thread. Objects are freed this way, so that no event of the iteration
 * refers to a freed object.
 */
void net_loop_defer(struct net_loop *loop, void (*function)(void *), void *arg);

#endif

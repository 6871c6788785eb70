#ifndef NET_LOOP_H
#define NET_LOOP_H

#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>
#include <urcu/list.h>

/*
 * An epoll event loop run by one thread. Sources are registered and removed by
 * any thread; callbacks run on the loop's thread.
 */

struct net_loop;

/* A file descriptor with its callback; embedded in the object that owns it. */
struct net_source {
	int fd;
	void (*ready)(struct net_source *source, uint32_t events);
};

struct net_loop_options {
	/* Called after each turn of the loop with the monotonic time. */
	void (*turn)(void *ctx, int64_t now);
	/* The deadline of the next turn without events, or DEADLINE_NEVER. */
	int64_t (*next_deadline)(void *ctx);
	void *ctx;
};

struct net_loop *net_loop_new(const struct net_loop_options *options);
void net_loop_free(struct net_loop *loop);

/* Runs until net_loop_stop() is called. */
void net_loop_run(struct net_loop *loop);

/* Stops the loop after its current turn; any thread. */
void net_loop_stop(struct net_loop *loop);

/* Wakes the loop for a turn; any thread. */
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
 * Runs function on the loop's thread after the events of the current turn, so
 * that objects are freed when no event of the turn can refer to them.
 */
void net_loop_defer(struct net_loop *loop, void (*function)(void *), void *arg);

#endif

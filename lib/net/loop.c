#include <glib.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include "base/clock.h"
#include "net/loop.h"

#define EVENTS_PER_ITERATION 64

struct deferred {
	struct cds_list_head node;
	void (*function)(void *);
	void *arg;
};

struct net_loop {
	struct net_loop_options options;
	int epoll_fd;
	struct net_source wake;
	bool stopped;
	pthread_t thread;     /* runs the loop; atomic */
	pthread_mutex_t lock; /* guards deferred */
	struct cds_list_head deferred;
};

static void drain_wake(struct net_source *source, uint32_t events)
{
	uint64_t count;

	(void)events;
	if (read(source->fd, &count, sizeof(count)) < 0)
		return;
}

struct net_loop *net_loop_new(const struct net_loop_options *options)
{
	struct net_loop *loop = g_new0(struct net_loop, 1);

	loop->options = *options;
	loop->epoll_fd = epoll_create1(EPOLL_CLOEXEC);
	loop->wake.fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
	loop->wake.ready = drain_wake;
	pthread_mutex_init(&loop->lock, NULL);
	CDS_INIT_LIST_HEAD(&loop->deferred);
	if (loop->epoll_fd < 0 || loop->wake.fd < 0 ||
	    !net_loop_add(loop, &loop->wake, EPOLLIN)) {
		net_loop_free(loop);
		return NULL;
	}
	return loop;
}

static void run_deferred(struct net_loop *loop)
{
	struct deferred *entry, *next;
	struct cds_list_head entries;

	CDS_INIT_LIST_HEAD(&entries);
	pthread_mutex_lock(&loop->lock);
	cds_list_splice(&loop->deferred, &entries);
	CDS_INIT_LIST_HEAD(&loop->deferred);
	pthread_mutex_unlock(&loop->lock);
	cds_list_for_each_entry_safe (entry, next, &entries, node) {
		entry->function(entry->arg);
		g_free(entry);
	}
}

void net_loop_free(struct net_loop *loop)
{
	run_deferred(loop);
	if (loop->wake.fd >= 0)
		close(loop->wake.fd);
	if (loop->epoll_fd >= 0)
		close(loop->epoll_fd);
	pthread_mutex_destroy(&loop->lock);
	g_free(loop);
}

static bool has_deferred(struct net_loop *loop)
{
	bool has;

	pthread_mutex_lock(&loop->lock);
	has = !cds_list_empty(&loop->deferred);
	pthread_mutex_unlock(&loop->lock);
	return has;
}

static int wait_ms(struct net_loop *loop)
{
	int64_t deadline = DEADLINE_NEVER;
	int64_t now = clock_monotonic_ns();

	if (has_deferred(loop))
		return 0;
	if (loop->options.next_deadline)
		deadline = loop->options.next_deadline(loop->options.ctx);
	if (deadline == DEADLINE_NEVER)
		return -1;
	if (deadline <= now)
		return 0;
	/* Rounded up, so that no iteration starts before the deadline. */
	return (int)MIN((deadline - now + NS_PER_MS - 1) / NS_PER_MS, 60000);
}

void net_loop_step(struct net_loop *loop)
{
	struct epoll_event events[EVENTS_PER_ITERATION];
	int n;

	__atomic_store_n(&loop->thread, pthread_self(), __ATOMIC_RELEASE);
	n = epoll_wait(loop->epoll_fd, events, EVENTS_PER_ITERATION,
		       wait_ms(loop));
	for (int i = 0; i < n; i++) {
		struct net_source *source = events[i].data.ptr;

		source->ready(source, events[i].events);
	}
	run_deferred(loop);
	if (loop->options.on_iteration)
		loop->options.on_iteration(loop->options.ctx,
					   clock_monotonic_ns());
}

void net_loop_run(struct net_loop *loop)
{
	__atomic_store_n(&loop->thread, pthread_self(), __ATOMIC_RELEASE);
	while (!__atomic_load_n(&loop->stopped, __ATOMIC_ACQUIRE))
		net_loop_step(loop);
}

void net_loop_wake(struct net_loop *loop)
{
	uint64_t one = 1;

	if (write(loop->wake.fd, &one, sizeof(one)) < 0)
		return; /* The counter is full, so a wake-up is pending. */
}

void net_loop_stop(struct net_loop *loop)
{
	__atomic_store_n(&loop->stopped, true, __ATOMIC_RELEASE);
	net_loop_wake(loop);
}

bool net_loop_add(struct net_loop *loop, struct net_source *source,
		  uint32_t events)
{
	struct epoll_event event = { .events = events, .data.ptr = source };

	return !epoll_ctl(loop->epoll_fd, EPOLL_CTL_ADD, source->fd, &event);
}

void net_loop_modify(struct net_loop *loop, struct net_source *source,
		     uint32_t events)
{
	struct epoll_event event = { .events = events, .data.ptr = source };

	epoll_ctl(loop->epoll_fd, EPOLL_CTL_MOD, source->fd, &event);
}

void net_loop_remove(struct net_loop *loop, struct net_source *source)
{
	epoll_ctl(loop->epoll_fd, EPOLL_CTL_DEL, source->fd, NULL);
}

void net_loop_defer(struct net_loop *loop, void (*function)(void *), void *arg)
{
	struct deferred *entry = g_new0(struct deferred, 1);

	entry->function = function;
	entry->arg = arg;
	pthread_mutex_lock(&loop->lock);
	cds_list_add_tail(&entry->node, &loop->deferred);
	pthread_mutex_unlock(&loop->lock);
	/* The loop's own thread checks for deferred functions before a wait. */
	if (__atomic_load_n(&loop->thread, __ATOMIC_ACQUIRE) != pthread_self())
		net_loop_wake(loop);
}

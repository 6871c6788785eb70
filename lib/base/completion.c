#include <errno.h>
#include <time.h>

#include "base/clock.h"
#include "base/completion.h"

void completion_init(struct completion *completion)
{
	pthread_condattr_t attr;

	pthread_mutex_init(&completion->lock, NULL);
	/* Setting the wall clock must not change the duration of a wait. */
	pthread_condattr_init(&attr);
	pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
	pthread_cond_init(&completion->wake, &attr);
	pthread_condattr_destroy(&attr);
	completion->done = false;
}

void completion_release(struct completion *completion)
{
	pthread_cond_destroy(&completion->wake);
	pthread_mutex_destroy(&completion->lock);
}

void completion_signal(struct completion *completion)
{
	pthread_mutex_lock(&completion->lock);
	completion->done = true;
	pthread_cond_signal(&completion->wake);
	pthread_mutex_unlock(&completion->lock);
}

bool completion_wait(struct completion *completion, int64_t deadline)
{
	struct timespec ts = {
		.tv_sec = deadline / NS_PER_SEC,
		.tv_nsec = deadline % NS_PER_SEC,
	};
	int error = 0;
	bool done;

	pthread_mutex_lock(&completion->lock);
	while (!completion->done && error != ETIMEDOUT) {
		if (deadline == DEADLINE_NEVER)
			pthread_cond_wait(&completion->wake, &completion->lock);
		else
			error = pthread_cond_timedwait(&completion->wake,
						       &completion->lock, &ts);
	}
	done = completion->done;
	pthread_mutex_unlock(&completion->lock);
	return done;
}

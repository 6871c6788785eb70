#include <time.h>

#include "base/clock.h"

int64_t clock_monotonic_ns(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return ts.tv_sec * NS_PER_SEC + ts.tv_nsec;
}

int64_t clock_wall_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_REALTIME, &ts);
	return ts.tv_sec * INT64_C(1000) + ts.tv_nsec / NS_PER_MS;
}

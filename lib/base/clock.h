#ifndef BASE_CLOCK_H
#define BASE_CLOCK_H

#include <stdint.h>

/*
 * Access to the system clocks. Libraries that hold decision logic do not call
 * these functions; they take the time as an argument.
 */

#define NS_PER_US INT64_C(1000)
#define NS_PER_MS INT64_C(1000000)
#define NS_PER_SEC INT64_C(1000000000)

/* A deadline that is never reached. */
#define DEADLINE_NEVER INT64_MAX

/* Returns the monotonic time in nanoseconds. */
int64_t clock_monotonic_ns(void);

/* Returns the wall clock time in milliseconds since the Unix epoch. */
int64_t clock_wall_ms(void);

#endif

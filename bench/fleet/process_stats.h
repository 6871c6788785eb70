#ifndef FLEET_PROCESS_STATS_H
#define FLEET_PROCESS_STATS_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

/* CPU time and memory of a process that this program started. */
struct process_stats {
	int64_t cpu_ns;	    /* of all living threads */
	int64_t control_ns; /* of the threads "control" and "fetch" */
	int64_t rss_kb;
	int64_t peak_rss_kb;
};

/* Returns false if the process has ended. */
bool process_stats_read(struct process_stats *stats, pid_t pid);

/* Returns the load average of the last minute, or 0 if it is unknown. */
double load_average(void);

#endif

#ifndef FLEET_FLEET_H
#define FLEET_FLEET_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "fleet/generate.h"
#include "fleet/process_stats.h"
#include "support/process.h"

/*
 * A fleet of real daemons in three availability zones with one stand-in source
 * and one stand-in host list, without backend servers. Every error ends the
 * program with a message, and all processes of the fleet end with the program.
 */

struct fleet_options {
	const char *build;	/* build directory */
	const char *policy;	/* "gossip" or "direct" */
	int nr;			/* daemons */
	int nr_absent;		/* listed hosts without a daemon */
	int source_interval_ms; /* 0: the default of the daemon */
};

/* Counters of one daemon from /metrics and /proc. */
struct fleet_counters {
	double sent;	 /* bytes on control connections */
	double received; /* bytes on control connections */
	double records;	 /* sent and received on control connections */
	double source;	 /* bytes of response bodies of the source */
	double hosts;	 /* bytes of response bodies of the host list */
	double source_calls;
	struct process_stats process;
};

struct fleet_daemon {
	struct process process;
	/* Caller, traffic, control and operator. */
	char addresses[4][ADDRESS_CHARS];
	char *settings;
	char *log;
	long log_read;	     /* bytes of the log read so far */
	int64_t version;     /* in force, from the log */
	int64_t in_force_ms; /* wall time of its log line */
};

struct fleet {
	struct fleet_options options;
	char *directory; /* settings and logs; left in place after an error */
	struct process source, hosts;
	char source_address[ADDRESS_CHARS], source_control[ADDRESS_CHARS];
	char hosts_address[ADDRESS_CHARS], hosts_control[ADDRESS_CHARS];
	struct fleet_daemon *daemons;
	GHashTable *published; /* digests of parts at the source */
};

struct fleet *fleet_new(const struct fleet_options *options);
void fleet_free(struct fleet *fleet);

/* Starts or kills one daemon. */
void fleet_start(struct fleet *fleet, int i);
void fleet_kill(struct fleet *fleet, int i);

/*
 * Publishes a generated tree, parts first. Returns the wall time in ms at
 * which the writing of the manifest began.
 */
int64_t fleet_publish(struct fleet *fleet, const struct generate *generate);

/*
 * Reads the logs. Returns the number of daemons that have this version or a
 * later one in force.
 */
int fleet_poll(struct fleet *fleet, int64_t version);

/* Reads the number of calls of the source so far and in the last second. */
void fleet_source_calls(struct fleet *fleet, int64_t *total,
			int64_t *last_second);

/* Reads the counters of daemon i. Returns false if it does not respond. */
bool fleet_read_counters(struct fleet *fleet, int i,
			 struct fleet_counters *counters);

/* Returns the smallest interval that keeps nr daemons below 2,000 calls/s. */
int fleet_source_interval_ms(int nr);

void sleep_ms(int64_t ms);

/* Ends the program with a message. */
#define fleet_die(...) (g_printerr(__VA_ARGS__), fleet_exit())
G_GNUC_NORETURN void fleet_exit(void);

#endif

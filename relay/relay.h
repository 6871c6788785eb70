#ifndef RELAY_RELAY_H
#define RELAY_RELAY_H

#include "base/counters.h"
#include "base/timer.h"
#include "mesh/host.h"
#include "mesh/view.h"
#include "net/loop.h"
#include "net/pacer.h"
#include "quarantine/quarantine.h"

/*
 * The daemon of a host on the users' platform. One thread carries the traffic;
 * another reads the configuration and hands over views.
 */

/* What the files of the traffic thread share. */
struct relay_context {
	const struct mesh_host *host;
	uint64_t incarnation; /* of this process */
	struct net_loop *loop;
	struct timers *timers;
	struct net_pacer *pacer; /* NULL when the link is not known */
	struct metrics *metrics;
	struct quarantine *quarantine;
	/* Tells peers of a crash of the own backend server. */
	void (*crashed)(void *ctx, const struct quarantine_entry *entry);
	void *ctx;
};

/* Runs the daemon until it is stopped; false with an error at the start. */
bool relay_run(const char *settings_path, struct mesh_host *host,
	       GError **error);

#endif

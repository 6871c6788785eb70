#ifndef RELAY_RELAY_H
#define RELAY_RELAY_H

#include "base/clock.h"
#include "base/counters.h"
#include "base/memory_account.h"
#include "base/timer.h"
#include "mesh/host.h"
#include "mesh/view.h"
#include "net/loop.h"
#include "net/pacer.h"
#include "quarantine/quarantine.h"

/*
 * The daemon of a host on the users' platform. The traffic thread handles
 * requests; the control thread receives what is published and passes on views.
 */

/* Crashes after which a request is refused, and for how long. */
#define RELAY_QUARANTINE_CRASHES 2
#define RELAY_QUARANTINE_NS (60 * NS_PER_SEC)

/* Shared by the files of the traffic thread. */
struct relay_context {
	const struct mesh_host *host;
	uint64_t incarnation; /* random id of this process */
	struct net_loop *loop;
	struct timers *timers;
	struct net_pacer *pacer; /* NULL: the link's rate is not known */
	struct metrics *metrics;
	/* Of the traffic thread; NULL: the memory has no limit. */
	struct memory_account *account;
	struct quarantine *quarantine;
	/*
	 * When the process has to have answered all requests (monotonic ns);
	 * DEADLINE_NEVER until it is asked to stop.
	 */
	int64_t stop_deadline;
	/* Reports a crash of the local backend server to the other daemons. */
	void (*report_crash)(void *ctx, const struct quarantine_entry *entry);
	/*
	 * Applies the settings if their file has changed; false if it can't be
	 * read, so that they may be those of before.
	 */
	bool (*refresh_settings)(void *ctx);
	void *ctx;
};

/* Runs the daemon until it is stopped; false and an error if it cannot start.
 */
bool relay_run(const char *settings_path, struct mesh_host *host,
	       GError **error);

#endif

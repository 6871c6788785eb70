#include <glib.h>

#include "base/clock.h"
#include "relay/graceful_stop.h"

/*
 * A stopping daemon keeps serving for at least this time, until callers and
 * other daemons have noticed that it is not ready. Readiness is probed once a
 * second, and a daemon counts as not ready after two failed probes.
 */
#define EARLIEST_NS (2300 * NS_PER_MS)

/*
 * Other daemons may use the backend server until this daemon has no more
 * requests of callers, and for at most this time. The stop does not affect the
 * server itself, and the requests that it runs then end well before the process
 * has to exit.
 */
#define REFUSE_BY_NS (3 * NS_PER_SEC)

/* Before it exits, the daemon refuses the requests of others for this time. */
#define REFUSE_NS (150 * NS_PER_MS)

/*
 * After this time the daemon accepts no requests of callers, so that those that
 * it has read can end in time.
 */
#define ACCEPT_NS (2500 * NS_PER_MS)

/*
 * All requests are answered this long before the platform would kill the
 * process, and it exits as soon as the answers are written, or else after the
 * second time.
 */
#define MARGIN_NS (500 * NS_PER_MS)
#define FLUSH_NS (200 * NS_PER_MS)

void graceful_stop_init(struct graceful_stop *stop,
			const struct graceful_stop_options *options)
{
	*stop = (struct graceful_stop){
		.ops = options->ops,
		.ctx = options->ctx,
		.earliest = options->now + EARLIEST_NS,
		/* What the server runs then has half of the time to end. */
		.refuse_by =
			options->now + MIN(REFUSE_BY_NS, options->grace_ns / 2),
		.accept_until = options->now + ACCEPT_NS,
		.deadline = options->now + options->grace_ns - MARGIN_NS,
	};
}

static bool may_refuse(const struct graceful_stop *stop, int64_t now)
{
	return now >= stop->refuse_by ||
	       (now >= stop->earliest && !stop->ops->nr_calls(stop->ctx));
}

/* Whether other daemons know by now, and nothing is left to do for anyone. */
static bool is_done(const struct graceful_stop *stop, int64_t now)
{
	return stop->refuses && now >= stop->exit_from &&
	       !stop->ops->is_busy(stop->ctx);
}

bool graceful_stop_step(struct graceful_stop *stop, int64_t now)
{
	const struct graceful_stop_ops *ops = stop->ops;

	if (now >= stop->deadline)
		ops->end_all(stop->ctx);
	if (now >= stop->deadline + FLUSH_NS)
		return true;
	if (!stop->refuses && may_refuse(stop, now)) {
		stop->refuses = true;
		stop->exit_from = now + REFUSE_NS;
		ops->refuse_daemons(stop->ctx);
	}
	if (now < stop->accept_until && !is_done(stop, now))
		return false;
	/* What this reads may begin requests, so the end is decided after it.
	 */
	ops->stop_accepting(stop->ctx);
	return is_done(stop, now);
}

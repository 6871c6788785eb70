#include <inttypes.h>
#include <pthread.h>
#include <signal.h>
#include <string.h>
#include <sys/random.h>
#include <time.h>

#include "base/clock.h"
#include "base/log.h"
#include "control.h"
#include "daemon.h"
#include "ingress.h"
#include "links.h"
#include "operator.h"
#include "target.h"

/* Interval at which a draining daemon checks for requests in flight. */
#define DRAIN_POLL_MS 20

/*
 * Minimum duration of a drain, so that peers and callers receive refusals
 * before the listening sockets close.
 */
#define DRAIN_MIN_MS 300

/* How long a drained daemon waits for peers that don't read its answers. */
#define DRAIN_FLUSH_MS 5000

struct daemon {
	const struct settings *settings;
	uint64_t incarnation;
	struct metrics metrics;
	struct counter version;
	struct net_loop *link_loop;
	struct control *control;
	struct target *target;
	struct links *links;
	struct ingress *ingress;
	struct operator_server *operator;
	int draining; /* accessed atomically */
};

/* Callbacks of the control thread. */

static void on_apply(void *ctx, struct table *table)
{
	struct daemon *daemon = ctx;
	int64_t number = table->id.number;
	struct snapshot *snapshot;

	/*
	 * The load balancer gets the new targets before the routes to them are
	 * published, so that no route refers to a service unknown to it.
	 */
	ingress_apply(daemon->ingress, table);
	snapshot_publish(table);
	counter_set(&daemon->version, (uint64_t)number);
	snapshot = snapshot_get();
	target_apply(daemon->target, snapshot);
	snapshot_put(snapshot);
	log_event(LOG_NOTICE, "config_in_force", "version=%" PRId64, number);
}

static void on_serve(void *ctx)
{
	struct daemon *daemon = ctx;

	ingress_serve(daemon->ingress);
	log_event(LOG_NOTICE, "serving", "host=%s", daemon->settings->host);
}

static void on_mark_leaving(void *ctx, const char *host, bool leaving)
{
	struct daemon *daemon = ctx;

	ingress_mark_leaving(daemon->ingress, host, leaving);
}

static void on_merge_crashes(void *ctx, const struct quarantine_entry *entries,
			     size_t nr)
{
	struct daemon *daemon = ctx;

	target_merge_crashes(daemon->target, entries, nr);
	ingress_merge_crashes(daemon->ingress, entries, nr);
}

static size_t on_export_crashes(void *ctx, struct quarantine_entry *entries,
				size_t max)
{
	struct daemon *daemon = ctx;

	return target_export_crashes(daemon->target, entries, max);
}

static const struct control_ops control_ops = {
	.export_crashes = on_export_crashes,
	.apply = on_apply,
	.serve = on_serve,
	.mark_leaving = on_mark_leaving,
	.merge_crashes = on_merge_crashes,
};

/* Runs on a worker thread that detected a crash of the backend server. */
static void on_crash(void *ctx, const struct quarantine_entry *entry)
{
	struct daemon *daemon = ctx;

	log_event(LOG_WARNING, "backend_crashed",
		  "fingerprint=%016" PRIx64 " count=%" PRIu32,
		  entry->fingerprint, entry->count);
	ingress_merge_crashes(daemon->ingress, entry, 1);
	control_announce_crashes(daemon->control);
}

/* Callbacks of the operator interface. */

static json_t *on_status(void *ctx)
{
	struct daemon *daemon = ctx;
	json_t *status = control_query(daemon->control, CONTROL_STATUS);

	if (!status)
		return NULL;
	/*
	 * The control thread reports serving slightly before the ingress
	 * serves callers, so the state of the ingress replaces it.
	 */
	json_object_set_new(status, "serving",
			    json_boolean(ingress_is_serving(daemon->ingress)));
	json_object_set_new(status, "draining",
			    json_boolean(g_atomic_int_get(&daemon->draining)));
	json_object_set_new(status, "in_flight",
			    json_integer(ingress_in_flight(daemon->ingress) +
					 target_in_flight(daemon->target)));
	return status;
}

static json_t *on_fleet(void *ctx)
{
	struct daemon *daemon = ctx;

	return control_query(daemon->control, CONTROL_FLEET);
}

static json_t *on_dump(void *ctx)
{
	struct daemon *daemon = ctx;
	json_t *control = control_query(daemon->control, CONTROL_DUMP);

	if (!control)
		control = json_string("the control thread did not answer");
	return json_pack("{s:s, s:o, s:o, s:o, s:o}", "host",
			 daemon->settings->host, "control", control, "ingress",
			 ingress_dump(daemon->ingress), "target",
			 target_dump(daemon->target), "links",
			 links_dump(daemon->links));
}

static json_t *on_explain(void *ctx, const struct operator_explain *request,
			  GError **error)
{
	struct daemon *daemon = ctx;
	struct explain_query query = {
		.path = request->path,
		.method = request->method,
		.ingress_zone = daemon->settings->zone,
		.target_host = request->target,
	};

	return control_explain(daemon->control, &query, error);
}

static void start_drain(struct daemon *daemon)
{
	if (!g_atomic_int_compare_and_exchange(&daemon->draining, 0, 1))
		return;
	log_event(LOG_NOTICE, "draining", "host=%s", daemon->settings->host);
	ingress_drain(daemon->ingress);
	links_drain(daemon->links);
	target_drain(daemon->target);
}

static void on_drain(void *ctx)
{
	start_drain(ctx);
}

static const struct operator_ops operator_ops = {
	.status = on_status,
	.fleet = on_fleet,
	.dump = on_dump,
	.explain = on_explain,
	.drain = on_drain,
};

/* Event loop of the connections between daemons (links). */

static void link_iteration(void *ctx, int64_t now)
{
	struct daemon *daemon = ctx;

	links_tick(daemon->links, now);
	if (target_next_deadline(daemon->target) <= now)
		target_tick(daemon->target, now);
}

static int64_t link_deadline(void *ctx)
{
	struct daemon *daemon = ctx;
	/*
	 * Ingress threads queue requests without waking this loop, so it
	 * checks deadlines at least every 100 ms.
	 */
	int64_t latest = clock_monotonic_ns() + 100 * NS_PER_MS;

	return MIN(target_next_deadline(daemon->target), latest);
}

static void *link_thread(void *arg)
{
	struct daemon *daemon = arg;

	/* Operators and benchmarks read CPU time by thread name. */
	pthread_setname_np(pthread_self(), "links");
	net_loop_run(daemon->link_loop);
	return NULL;
}

static void *control_thread(void *arg)
{
	struct daemon *daemon = arg;

	pthread_setname_np(pthread_self(), "control");
	control_run(daemon->control);
	return NULL;
}

/* Start and stop. */

static uint64_t random_number(void)
{
	uint64_t value = 0;

	if (getrandom(&value, sizeof(value), 0) != sizeof(value))
		value = (uint64_t)clock_wall_ms();
	return value;
}

static gboolean make_traffic(struct daemon *daemon, GError **error)
{
	const struct settings *settings = daemon->settings;
	struct net_loop_options loop = {
		.on_iteration = link_iteration,
		.next_deadline = link_deadline,
		.ctx = daemon,
	};
	struct target_options target = {
		.host = settings->host,
		.incarnation = daemon->incarnation,
		.has_backend = settings->has_backend,
		.backend = settings->backend,
		.limit_policy = settings->limit_policy,
		.metrics = &daemon->metrics,
		.crashed = on_crash,
		.ctx = daemon,
	};
	struct links_options links = {
		.host = settings->host,
		.incarnation = daemon->incarnation,
		.listen = settings->traffic,
	};
	struct ingress_options ingress = {
		.host = settings->host,
		.zone = settings->zone,
		.region = settings->region,
		.incarnation = daemon->incarnation,
		.policy = settings->balance_policy,
		.seed = random_number(),
		.listen = settings->caller,
		.metrics = &daemon->metrics,
	};

	daemon->link_loop = net_loop_new(&loop);
	target.loop = daemon->link_loop;
	daemon->target = target_new(&target);
	links.target = daemon->target;
	daemon->links = links_new(&links, daemon->link_loop, error);
	if (!daemon->links)
		return FALSE;
	ingress.links = daemon->links;
	ingress.target = daemon->target;
	daemon->ingress = ingress_new(&ingress, error);
	return daemon->ingress != NULL;
}

static gboolean make_control(struct daemon *daemon, GError **error)
{
	struct control_options control = {
		.settings = daemon->settings,
		.incarnation = daemon->incarnation,
		.seed = random_number(),
		.policy = daemon->settings->policy,
		.metrics = &daemon->metrics,
		.ops = &control_ops,
		.ctx = daemon,
	};
	struct operator_options operator= {
		.listen = daemon->settings->operator,
		.metrics = & daemon->metrics,
		.ops = &operator_ops,
		.ctx = daemon,
	};

	daemon->control = control_new(&control, error);
	if (!daemon->control)
		return FALSE;
	daemon->operator= operator_server_new(&operator, error);
	return daemon->operator!= NULL;
}

static gboolean start_thread(void *(*function)(void *), struct daemon *daemon,
			     GError **error)
{
	pthread_t thread;

	if (!pthread_create(&thread, NULL, function, daemon)) {
		pthread_detach(thread);
		return TRUE;
	}
	g_set_error(error, NET_ERROR, NET_ERROR_SOCKET,
		    "cannot create a thread");
	return FALSE;
}

static void write_dump(struct daemon *daemon)
{
	json_t *dump = on_dump(daemon);
	char *text = json_dumps(dump, JSON_COMPACT);

	log_event(LOG_INFO, "dump", "state=%s", text);
	free(text);
	json_decref(dump);
}

static void sleep_ms(int64_t ms)
{
	struct timespec ts = { .tv_sec = ms / 1000,
			       .tv_nsec = ms % 1000 * NS_PER_MS };

	nanosleep(&ts, NULL);
}

/* Terminates because every request in flight has a deadline. */
static void wait_until_idle(struct daemon *daemon)
{
	int64_t earliest = clock_monotonic_ns() + DRAIN_MIN_MS * NS_PER_MS;

	while (clock_monotonic_ns() < earliest ||
	       ingress_in_flight(daemon->ingress) ||
	       target_in_flight(daemon->target))
		sleep_ms(DRAIN_POLL_MS);
}

/* An answer that has left its target may still wait for the socket to a peer.
 */
static void wait_until_sent(struct daemon *daemon)
{
	int64_t latest = clock_monotonic_ns() + DRAIN_FLUSH_MS * NS_PER_MS;

	while (links_is_transferring(daemon->links) &&
	       clock_monotonic_ns() < latest)
		sleep_ms(DRAIN_POLL_MS);
}

static void block_signals(sigset_t *set)
{
	sigemptyset(set);
	sigaddset(set, SIGTERM);
	sigaddset(set, SIGINT);
	sigaddset(set, SIGUSR1);
	pthread_sigmask(SIG_BLOCK, set, NULL);
	signal(SIGPIPE, SIG_IGN);
}

/* Waits until a signal or an operator starts a drain. */
static void wait_for_stop(struct daemon *daemon, const sigset_t *set)
{
	const struct timespec poll = { .tv_nsec = 100 * NS_PER_MS };

	while (!g_atomic_int_get(&daemon->draining)) {
		int number = sigtimedwait(set, NULL, &poll);

		if (number == SIGUSR1)
			write_dump(daemon);
		else if (number > 0)
			start_drain(daemon);
	}
}

gboolean daemon_run(const struct settings *settings, GError **error)
{
	struct daemon *daemon = g_new0(struct daemon, 1);
	sigset_t set;

	daemon->settings = settings;
	daemon->incarnation = random_number();
	metrics_init(&daemon->metrics);
	daemon->version.name = "godwitspur_config_version";
	daemon->version.help = "Number of the version in force.";
	daemon->version.is_gauge = 1;
	metrics_add_counter(&daemon->metrics, &daemon->version);
	block_signals(&set);
	if (!make_traffic(daemon, error) || !make_control(daemon, error) ||
	    !start_thread(link_thread, daemon, error) ||
	    !start_thread(control_thread, daemon, error))
		return FALSE;
	log_event(LOG_NOTICE, "started",
		  "host=%s zone=%s incarnation=%016" PRIx64, settings->host,
		  settings->zone, daemon->incarnation);
	wait_for_stop(daemon, &set);
	wait_until_idle(daemon);
	wait_until_sent(daemon);
	ingress_stop(daemon->ingress);
	log_event(LOG_NOTICE, "stopped", "host=%s", settings->host);
	/* The caller exits the process, which ends the other threads. */
	return TRUE;
}

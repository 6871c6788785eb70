#include <inttypes.h>
#include <signal.h>
#include <sys/epoll.h>
#include <sys/random.h>
#include <sys/signalfd.h>
#include <sys/stat.h>
#include <unistd.h>

#include "base/clock.h"
#include "base/log.h"
#include "platform/platform.h"
#include "relay/admin_server.h"
#include "relay/backend_side.h"
#include "relay/caller_side.h"
#include "relay/graceful_stop.h"
#include "relay/memory_limits.h"
#include "relay/mesh_control.h"
#include "relay/peer_links.h"
#include "relay/peers.h"
#include "relay/relay.h"

/* How often the settings file is checked for changes. */
#define SETTINGS_INTERVAL_NS (1 * NS_PER_SEC)

/* How often a stopping daemon checks whether it can exit. */
#define STOP_CHECK_NS (50 * NS_PER_MS)

struct relay {
	struct relay_context context;
	struct timers timers;
	struct metrics metrics;
	const char *settings_path;
	struct timespec settings_changed;
	bool settings_are_read; /* the last time that they changed */
	struct backend_side *backend_side;
	struct peers *peers;
	struct peer_links *links;
	struct quota_side *quota;
	struct caller_side *caller_side;
	struct mesh_control *control;
	struct admin_server *admin_server;
	struct net_source signals;
	struct timer settings_timer;
	struct timer stop_timer;
	bool configured;
	bool stopping;
	struct graceful_stop stop; /* valid while stopping */
};

/* Callbacks of the control thread. */

struct deferred_view {
	struct relay *relay;
	struct mesh_view *view;
};

static void apply_view(void *arg)
{
	struct deferred_view *deferred = arg;
	struct relay *relay = deferred->relay;

	if (deferred->view->config && !relay->configured)
		log_event(LOG_NOTICE, "serving", "host=%s version=%" PRId64,
			  relay->context.host->name,
			  deferred->view->config->version);
	relay->configured = deferred->view->config != NULL;
	quota_side_apply(relay->quota, deferred->view);
	caller_side_apply(relay->caller_side, deferred->view);
	backend_side_apply(relay->backend_side, deferred->view);
	mesh_view_unref(deferred->view);
	g_free(deferred);
}

static void on_apply(void *ctx, struct mesh_view *view)
{
	struct relay *relay = ctx;
	struct deferred_view *deferred = g_new0(struct deferred_view, 1);

	deferred->relay = relay;
	deferred->view = view;
	net_loop_defer(relay->context.loop, apply_view, deferred);
}

struct deferred_crashes {
	struct relay *relay;
	GArray *entries; /* struct quarantine_entry */
};

static void merge_crashes(void *arg)
{
	struct deferred_crashes *deferred = arg;
	int64_t now = clock_monotonic_ns();

	for (guint i = 0; i < deferred->entries->len; i++)
		quarantine_merge(deferred->relay->context.quarantine,
				 &g_array_index(deferred->entries,
						struct quarantine_entry, i),
				 now);
	g_array_unref(deferred->entries);
	g_free(deferred);
}

static void on_crashes(void *ctx, const struct quarantine_entry *entries,
		       size_t nr)
{
	struct relay *relay = ctx;
	struct deferred_crashes *deferred = g_new0(struct deferred_crashes, 1);

	deferred->relay = relay;
	deferred->entries =
		g_array_new(FALSE, FALSE, sizeof(struct quarantine_entry));
	g_array_append_vals(deferred->entries, entries, (guint)nr);
	net_loop_defer(relay->context.loop, merge_crashes, deferred);
}

static const struct mesh_control_ops mesh_control_ops = {
	.apply = on_apply,
	.crashes = on_crashes,
};

static void on_crashed(void *ctx, const struct quarantine_entry *entry)
{
	struct relay *relay = ctx;

	mesh_control_report_crash(relay->control, entry);
}

/* Callbacks of the admin server. */

static bool on_is_ready(void *ctx)
{
	struct relay *relay = ctx;

	return relay->configured && !relay->stopping;
}

static char *on_dump(void *ctx)
{
	struct relay *relay = ctx;
	g_autofree char *control_text = mesh_control_dump_text(relay->control);
	json_t *dump =
		json_pack("{s:s, s:s, s:b, s:b, s:o, s:o, s:o, s:o, s:o}",
			  "host", relay->context.host->name, "zone",
			  relay->context.host->zone, "ready",
			  on_is_ready(relay), "stopping", relay->stopping,
			  "control", json_loads(control_text, 0, NULL),
			  "callers", caller_side_dump(relay->caller_side),
			  "backend", backend_side_dump(relay->backend_side),
			  "peers", peer_links_dump(relay->links), "quarantine",
			  quarantine_dump(relay->context.quarantine,
					  clock_monotonic_ns()));
	char *json = json_dumps(dump, JSON_INDENT(2) | JSON_SORT_KEYS);
	char *text = g_strdup(json ? json : "{}");

	free(json);
	json_decref(dump);
	return text;
}

static char *on_explain(void *ctx, const char *host, const char *path)
{
	const struct mesh_explain_query query = { .host = host, .path = path };
	struct relay *relay = ctx;

	return caller_side_explain(relay->caller_side, &query);
}

static void on_render_metrics(void *ctx, GString *out)
{
	struct relay *relay = ctx;

	caller_side_render_metrics(relay->caller_side, out);
}

static const struct admin_server_ops admin_server_ops = {
	.is_ready = on_is_ready,
	.dump = on_dump,
	.explain = on_explain,
	.render_metrics = on_render_metrics,
};

/* Stopping. */

static int stop_nr_calls(void *ctx)
{
	struct relay *relay = ctx;

	return caller_side_nr_calls(relay->caller_side);
}

static bool stop_is_busy(void *ctx)
{
	struct relay *relay = ctx;

	return caller_side_nr_calls(relay->caller_side) ||
	       backend_side_nr_jobs(relay->backend_side) ||
	       caller_side_is_transferring(relay->caller_side) ||
	       peers_is_busy(relay->peers);
}

static void stop_refuse_daemons(void *ctx)
{
	struct relay *relay = ctx;

	backend_side_drain(relay->backend_side);
}

static void stop_accepting(void *ctx)
{
	struct relay *relay = ctx;

	caller_side_stop(relay->caller_side);
	peers_read_pending(relay->peers);
}

static void stop_end_all(void *ctx)
{
	struct relay *relay = ctx;

	caller_side_end_calls(relay->caller_side);
	backend_side_end_jobs(relay->backend_side);
}

static const struct graceful_stop_ops stop_ops = {
	.nr_calls = stop_nr_calls,
	.is_busy = stop_is_busy,
	.refuse_daemons = stop_refuse_daemons,
	.stop_accepting = stop_accepting,
	.end_all = stop_end_all,
};

static void on_stop_timer(struct timer *timer, int64_t now)
{
	struct relay *relay = caa_container_of(timer, struct relay, stop_timer);

	if (!graceful_stop_step(&relay->stop, now)) {
		timers_set(&relay->timers, timer, now + STOP_CHECK_NS);
		return;
	}
	log_event(LOG_NOTICE, "stopped", "host=%s busy=%d",
		  relay->context.host->name,
		  caller_side_nr_calls(relay->caller_side) +
			  backend_side_nr_jobs(relay->backend_side));
	net_loop_stop(relay->context.loop);
}

static void begin_shutdown(struct relay *relay)
{
	int64_t now = clock_monotonic_ns();
	struct graceful_stop_options options = {
		.now = now,
		.grace_ns = relay->context.host->stop_grace_ms * NS_PER_MS,
		.ops = &stop_ops,
		.ctx = relay,
	};

	if (relay->stopping)
		return;
	log_event(LOG_NOTICE, "stopping", "host=%s", relay->context.host->name);
	relay->stopping = true;
	graceful_stop_init(&relay->stop, &options);
	relay->context.stop_deadline = relay->stop.deadline;
	caller_side_drain(relay->caller_side);
	timers_set(&relay->timers, &relay->stop_timer, now + STOP_CHECK_NS);
}

/* Settings. */

/*
 * Applies the settings that can change in a running daemon. Addresses do not
 * change until it restarts. Returns whether the file could be read.
 */
static bool reload_settings(struct relay *relay)
{
	struct mesh_host *host = (struct mesh_host *)relay->context.host;
	CLEANUP(mesh_host_freep) struct mesh_host *read = NULL;
	struct findings findings;

	findings_init(&findings);
	read = platform_settings_read(relay->settings_path, &findings);
	if (!read)
		log_event(LOG_ERR, "settings_refused", "errors=%zu",
			  findings.nr_errors);
	findings_release(&findings);
	relay->settings_are_read = read != NULL;
	if (!read)
		return false;
	host->retry_ratio = read->retry_ratio;
	host->retry_slack = read->retry_slack;
	host->cold_overage = read->cold_overage;
	host->cold_slack = read->cold_slack;
	host->stop_grace_ms = read->stop_grace_ms;
	host->reuse_after_ms = read->reuse_after_ms;
	if (g_strcmp0(host->service, read->service) != 0) {
		g_free(host->service);
		host->service = g_strdup(read->service);
		/* The server that is in use is of the former service. */
		backend_side_reapply(relay->backend_side);
	}
	log_event(LOG_NOTICE, "settings_read", "host=%s service=%s", host->name,
		  host->service);
	return true;
}

static bool check_settings(struct relay *relay)
{
	struct stat info;

	if (stat(relay->settings_path, &info))
		return false;
	if (info.st_mtim.tv_sec == relay->settings_changed.tv_sec &&
	    info.st_mtim.tv_nsec == relay->settings_changed.tv_nsec)
		return relay->settings_are_read;
	relay->settings_changed = info.st_mtim;
	return reload_settings(relay);
}

static bool refresh_settings(void *ctx)
{
	return check_settings(ctx);
}

static void on_settings_timer(struct timer *timer, int64_t now)
{
	struct relay *relay =
		caa_container_of(timer, struct relay, settings_timer);

	check_settings(relay);
	timers_set(&relay->timers, timer, now + SETTINGS_INTERVAL_NS);
}

static void on_signal(struct net_source *source, uint32_t events)
{
	struct relay *relay = caa_container_of(source, struct relay, signals);
	struct signalfd_siginfo info;

	(void)events;
	while (read(source->fd, &info, sizeof(info)) == sizeof(info)) {
		if (info.ssi_signo == SIGTERM || info.ssi_signo == SIGINT)
			begin_shutdown(relay);
		else if (info.ssi_signo == SIGHUP)
			reload_settings(relay);
	}
}

/* Signals are events of the loop; both threads inherit the mask. */
static void watch_signals(struct relay *relay)
{
	sigset_t set;

	sigemptyset(&set);
	sigaddset(&set, SIGTERM);
	sigaddset(&set, SIGINT);
	sigaddset(&set, SIGHUP);
	pthread_sigmask(SIG_BLOCK, &set, NULL);
	signal(SIGPIPE, SIG_IGN);
	relay->signals.fd = signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC);
	relay->signals.ready = on_signal;
	net_loop_add(relay->context.loop, &relay->signals, EPOLLIN);
}

/* Creation and event loop. */

static void on_turn(void *ctx, int64_t now)
{
	struct relay *relay = ctx;

	timers_run(&relay->timers, now);
	peers_start_arrivals(relay->peers);
	backend_side_run_timers(relay->backend_side, now);
}

static int64_t on_next_deadline(void *ctx)
{
	struct relay *relay = ctx;

	return MIN(timers_next(&relay->timers),
		   backend_side_next_deadline(relay->backend_side));
}

static uint64_t make_incarnation(void)
{
	uint64_t incarnation = 0;

	if (getrandom(&incarnation, sizeof(incarnation), 0) !=
	    sizeof(incarnation))
		incarnation = (uint64_t)clock_monotonic_ns();
	return incarnation;
}

static bool build(struct relay *relay, GError **error)
{
	struct relay_context *context = &relay->context;
	struct quarantine_options quarantine = {
		.origin = quarantine_origin(context->host->name,
					    context->incarnation),
		.crashes = RELAY_QUARANTINE_CRASHES,
		.quarantine_ns = RELAY_QUARANTINE_NS,
	};

	context->quarantine = quarantine_new(&quarantine);
	relay->backend_side = backend_side_new(context);
	relay->links = peer_links_new(context, relay->backend_side);
	relay->quota = quota_side_new(context, relay->links);
	relay->peers =
		peers_new(context, relay->backend_side, relay->quota, error);
	if (!relay->peers)
		return false;
	relay->caller_side = caller_side_new(context, relay->backend_side,
					     relay->links, relay->quota, error);
	if (!relay->caller_side)
		return false;
	relay->admin_server =
		admin_server_new(context, &admin_server_ops, relay, error);
	if (!relay->admin_server)
		return false;
	relay->control = mesh_control_new(context->host, &mesh_control_ops,
					  relay, error);
	return relay->control != NULL;
}

bool relay_run(const char *settings_path, struct mesh_host *host,
	       GError **error)
{
	struct relay *relay = g_new0(struct relay, 1);
	struct net_loop_options loop = {
		.on_iteration = on_turn,
		.next_deadline = on_next_deadline,
		.ctx = relay,
	};
	struct net_pacer_options pacer = { .timers = &relay->timers };
	struct stat info;

	log_set_output(STDOUT_FILENO);
	relay->settings_path = settings_path;
	if (!stat(settings_path, &info))
		relay->settings_changed = info.st_mtim;
	relay->settings_are_read = true;
	timers_init(&relay->timers);
	metrics_init(&relay->metrics);
	relay->context.host = host;
	relay->context.incarnation = make_incarnation();
	relay->context.loop = net_loop_new(&loop);
	relay->context.timers = &relay->timers;
	if (host->link_bytes_per_s > 0) {
		pacer.bytes_per_s = host->link_bytes_per_s;
		relay->context.pacer =
			net_pacer_new(&pacer, clock_monotonic_ns());
	}
	relay->context.metrics = &relay->metrics;
	relay->context.account = memory_limits_new(host, &relay->metrics);
	relay->context.stop_deadline = DEADLINE_NEVER;
	relay->context.report_crash = on_crashed;
	relay->context.refresh_settings = refresh_settings;
	relay->context.ctx = relay;
	relay->stop_timer.fire = on_stop_timer;
	relay->settings_timer.fire = on_settings_timer;
	watch_signals(relay);
	if (!build(relay, error))
		return false;
	log_event(LOG_NOTICE, "started",
		  "host=%s zone=%s service=%s incarnation=%016" PRIx64,
		  host->name, host->zone, host->service,
		  relay->context.incarnation);
	timers_set(&relay->timers, &relay->settings_timer,
		   clock_monotonic_ns() + SETTINGS_INTERVAL_NS);
	mesh_control_start(relay->control);
	net_loop_run(relay->context.loop);
	return true;
}

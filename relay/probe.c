#include "base/clock.h"
#include "base/log.h"
#include "platform/platform.h"
#include "relay/probe.h"

/*
 * Longest time between probes of a server in use. A server that becomes cold is
 * noticed with this delay, or sooner if it gets many requests.
 */
#define INTERVAL_NS (1 * NS_PER_SEC)

/* Time between probes of a server that gets no requests. */
#define IDLE_INTERVAL_NS (5 * NS_PER_SEC)

/* Time between probes of a server that is down. */
#define DOWN_INTERVAL_NS (250 * NS_PER_MS)

/* Minimum time between two probes. */
#define MIN_INTERVAL_NS (100 * NS_PER_MS)

/*
 * Share of the requests that a cold server may get in a second after which the
 * next probe is sent. The rest allows for those that are sent until its answer
 * arrives, which may wait for a slot of the server.
 */
#define STARTS_SHARE 0.6

/* Time limit of a probe. */
#define TIMEOUT_NS (1 * NS_PER_SEC)

/* How long a server counts as cold while no probe has reported. */
#define COLD_UNKNOWN_NS (3 * NS_PER_SEC)

/* Maximum length of the body of an answer to a probe. */
#define BODY_MAX_BYTES 65536

struct probe {
	struct probe_options options;
	struct backend_pool *pool; /* of the probes only */
	char *path;
	struct admit_cold_rate rate;
	struct backend_conn *conn; /* of the probe in flight; NULL: none */
	struct timer timer; /* the next probe, or the time limit of this one */
	int64_t started;
	int64_t last_request;
	int64_t last_answer; /* to any request */
	int64_t last_warm;   /* when a probe was sent that found it warm */
	int starts;	     /* requests sent since the last probe was sent */
	bool down;
	bool requested; /* send another probe after the one in flight */
};

static void set_timer(struct probe *probe, int64_t deadline)
{
	timers_set(probe->options.context->timers, &probe->timer, deadline);
}

static void schedule_next(struct probe *probe, int64_t now)
{
	int64_t wait = now - probe->last_request < INTERVAL_NS
			       ? INTERVAL_NS
			       : IDLE_INTERVAL_NS;

	if (probe->down)
		wait = DOWN_INTERVAL_NS;
	if (probe->requested)
		wait = MIN_INTERVAL_NS;
	probe->requested = false;
	set_timer(probe, now + wait);
}

/*
 * A warm server may leave its cold time out. One that is full rejects a probe
 * like any other request, and such an answer has no cold time either.
 */
static int64_t get_cold_left_ms(const struct http_message *response)
{
	bool rejected = http_message_value(response, HTTP_ROLE_NOT_RUN) != NULL;

	return http_message_number(response, HTTP_ROLE_COLD_LEFT_MS,
				   rejected ? PROBE_COLD_UNKNOWN : 0);
}

static void handle_answer(struct probe *probe,
			  const struct http_message *response)
{
	const struct probe_answer answer = {
		.response = response,
		.backend_id =
			http_message_value(response, HTTP_ROLE_BACKEND_ID),
		.cold_left_ms = get_cold_left_ms(response),
		.sent = probe->started,
	};

	if (probe->down)
		log_event(LOG_NOTICE, "backend_back", "host=%s",
			  probe->options.context->host->name);
	probe->down = false;
	probe->last_answer = clock_monotonic_ns();
	probe->options.probed(probe->options.ctx, &answer);
}

static void on_answer(enum http_end end, struct http_message *response,
		      void *ctx)
{
	CLEANUP(http_message_freep) struct http_message *owned = response;
	struct probe *probe = ctx;
	int64_t now = clock_monotonic_ns();

	probe->conn = NULL;
	if (end == HTTP_END_ANSWERED) {
		handle_answer(probe, response);
	} else if (end == HTTP_END_NOT_SENT) {
		if (!probe->down)
			probe->options.ended(probe->options.ctx);
		probe->down = true;
	}
	schedule_next(probe, now);
}

static void send_probe(struct probe *probe, int64_t now)
{
	GString *head = g_string_new(NULL);

	g_string_printf(head, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n",
			probe->path,
			probe->options.context->host->backend_text);
	probe->started = now;
	probe->starts = 0;
	/* While the server is down, an idle connection may be dead. */
	probe->conn = backend_pool_send(probe->pool, head, "", 0, NULL,
					probe->down, on_answer, probe);
	g_string_free(head, TRUE);
	set_timer(probe, now + (probe->conn ? TIMEOUT_NS : DOWN_INTERVAL_NS));
}

/*
 * A server that has answered no request at all since the probe was sent has
 * lost power or its network connection.
 */
static void handle_timeout(struct probe *probe)
{
	if (probe->down || probe->last_answer >= probe->started)
		return;
	log_event(LOG_WARNING, "backend_silent", "host=%s",
		  probe->options.context->host->name);
	probe->down = true;
	backend_pool_close_idle(probe->pool);
	probe->options.silent(probe->options.ctx);
}

static void on_timer(struct timer *timer, int64_t now)
{
	struct probe *probe = caa_container_of(timer, struct probe, timer);

	if (probe->conn) {
		backend_pool_cancel(probe->pool, probe->conn);
		probe->conn = NULL;
		handle_timeout(probe);
		schedule_next(probe, now);
	} else if (probe->path) {
		send_probe(probe, now);
	}
}

struct probe *probe_new(const struct probe_options *options)
{
	struct probe *probe = g_new0(struct probe, 1);

	probe->options = *options;
	probe->pool = backend_pool_new(options->context);
	backend_pool_set_body_max(probe->pool, BODY_MAX_BYTES);
	probe->timer.fire = on_timer;
	return probe;
}

void probe_set_service(struct probe *probe, const char *health_path,
		       const struct admit_cold_rate *rate)
{
	bool is_first = !probe->path;

	g_free(probe->path);
	probe->path = g_strdup(health_path);
	probe->rate = *rate;
	if (is_first)
		probe_now(probe);
}

void probe_restart(struct probe *probe, struct admit *admit, int64_t now)
{
	/* The probe in flight was sent to the server before this one. */
	if (probe->conn)
		backend_pool_cancel(probe->pool, probe->conn);
	probe->conn = NULL;
	probe->down = false;
	/* It is new or was out of service, and has got no requests lately. */
	probe->last_warm = now;
	backend_pool_close_idle(probe->pool);
	probe_set_cold(probe, admit, now + COLD_UNKNOWN_NS, now);
	probe_now(probe);
}

void probe_set_cold(struct probe *probe, struct admit *admit,
		    int64_t cold_deadline, int64_t now)
{
	if (cold_deadline <= now)
		probe->last_warm = probe->started;
	if (probe->rate.per_s > 0)
		admit_set_cold(admit, &probe->rate, cold_deadline,
			       probe->last_warm, now);
}

void probe_now(struct probe *probe)
{
	int64_t now = clock_monotonic_ns();

	if (!probe->path)
		return;
	if (probe->conn)
		probe->requested = true;
	else
		set_timer(probe, MAX(now, probe->started + MIN_INTERVAL_NS));
}

void probe_note_request(struct probe *probe)
{
	int64_t now = clock_monotonic_ns();

	/* The first request after a pause is followed by a probe at once. */
	if (now - probe->last_request > IDLE_INTERVAL_NS)
		probe_now(probe);
	probe->last_request = now;
}

void probe_note_start(struct probe *probe)
{
	const struct admit_cold_rate *rate = &probe->rate;

	probe->starts++;
	if (rate->per_s > 0 && !probe->conn &&
	    probe->starts >= STARTS_SHARE * (rate->per_s + rate->burst))
		probe_now(probe);
}

void probe_note_answer(struct probe *probe)
{
	probe->last_answer = clock_monotonic_ns();
}

bool probe_is_down(const struct probe *probe)
{
	return probe->down;
}

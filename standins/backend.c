/*
 * Test double of a backend server. Runs requests in a limited number of slots,
 * is cold for a time after its start, sheds, drains and cancels requests, and
 * records every execution so that a test can count them.
 */
#include <errno.h>
#include <fcntl.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include <urcu/list.h>

#include "base/clock.h"
#include "base/digest.h"
#include "base/log.h"
#include "base/rng.h"
#include "content.h"
#include "standin.h"

#define BODY_MAX_BYTES (64 * 1024 * 1024)
#define PATTERN_MAX_BYTES (1024 * 1024 * 1024)
#define BLOCK_BYTES (64 * 1024)
#define TICK_NS (5 * NS_PER_MS)
/* A cold server crashes after an overload of this time. */
#define OVERLOAD_NS (100 * NS_PER_MS)
#define CRASH_STATUS 3

enum {
	FAULT_NONE,
	FAULT_SLOW,
	FAULT_RESET,
	FAULT_TRUNCATE,
	FAULT_HANG,
	FAULT_COLD
};
static const char *const modes[] = { "none", "slow", "reset", "truncate",
				     "hang", "cold", NULL };

/* A request in a slot. */
struct run {
	struct cds_list_head node;
	const char *id; /* header Request-Id, or "" */
	json_t *record; /* entry of the execution log, or NULL */
	int64_t deadline;
	bool cancelled;
	bool reset; /* its connection was reset by a soft crash */
};

struct connection {
	struct cds_list_head node;
	int fd;
};

/* What the health and load endpoints report. */
struct sample {
	const char *health;
	int load;
};

enum {
	NAME,
	SLOTS,
	CONNECTIONS,
	SERVICE_MS,
	JITTER_MS,
	SEED,
	COLD_MS,
	COLD_SLOTS,
	LAG_MS,
	SOFT_CRASH,
	NO_FALL_OVER,
	LOG,
	NR_SETTINGS
};
static struct setting settings[NR_SETTINGS + 1] = {
	[NAME] = { "name", "NAME", "header Backend-Name", 0, "backend" },
	[SLOTS] = { "slots", "N", "concurrent requests", 10, NULL },
	[CONNECTIONS] = { "connections", "N", "most open connections", 130,
			  NULL },
	[SERVICE_MS] = { "service-ms", "N", "service time of a request", 0,
			 NULL },
	[JITTER_MS] = { "jitter-ms", "N", "most random extra service time", 0,
			NULL },
	[SEED] = { "seed", "N", "seed of the random service time", 1, NULL },
	[COLD_MS] = { "cold-ms", "N", "cold time after start", 0, NULL },
	[COLD_SLOTS] = { "cold-slots", "N", "concurrent requests while cold", 1,
			 NULL },
	[LAG_MS] = { "lag-ms", "N", "age of the reported health and load", 0,
		     NULL },
	[SOFT_CRASH] = { "soft-crash", NULL,
			 "on a crash, reset connections and turn cold" },
	[NO_FALL_OVER] = { "no-fall-over", NULL,
			   "never crash from load while cold" },
	[LOG] = { "log", "FILE", "append executions to FILE", 0, NULL },
};

/* Everything below is protected by standin.lock. */
static struct rng rng;
static int log_fd = -1; /* without --log */
static CDS_LIST_HEAD(runs);
static CDS_LIST_HEAD(connections);
static json_t *executions;
static int nr_running, max_running, nr_connections;
static int64_t nr_shed, nr_crashes;
static int64_t cold_until, overload_since = DEADLINE_NEVER;
static bool draining;
static const char *health_override; /* NULL: report the real health */
static int64_t load_override = -1;  /* negative: report the real load */
static struct sample *samples;	    /* ring of one sample for each tick */
static size_t nr_samples, next_sample;

static bool is_cold(void)
{
	return clock_monotonic_ns() < cold_until;
}

static void start_cold_period(void)
{
	cold_until =
		clock_monotonic_ns() + settings[COLD_MS].number * NS_PER_MS;
	overload_since = DEADLINE_NEVER;
}

/* Records since when more requests run than a cold server can take. */
static void update_overload_start(void)
{
	if (nr_running <= settings[COLD_SLOTS].number)
		overload_since = DEADLINE_NEVER;
	else if (overload_since == DEADLINE_NEVER)
		overload_since = clock_monotonic_ns();
}

/* Connecting to AF_UNSPEC ends a TCP connection with RST at once. */
static void reset_socket(int fd)
{
	struct sockaddr unspecified = { .sa_family = AF_UNSPEC };

	if (connect(fd, &unspecified, sizeof(unspecified)))
		log_event(LOG_WARNING, "reset_failed", "fd=%d", fd);
}

static void crash(const char *reason)
{
	struct connection *connection;
	struct run *run;

	log_event(LOG_NOTICE, "crash", "reason=%s running=%d soft=%d", reason,
		  nr_running, settings[SOFT_CRASH].number);
	if (!settings[SOFT_CRASH].number)
		_exit(CRASH_STATUS);
	nr_crashes++;
	cds_list_for_each_entry (run, &runs, node)
		run->reset = true;
	cds_list_for_each_entry (connection, &connections, node)
		reset_socket(connection->fd);
	start_cold_period();
	standin_notify();
}

static const char *health(void)
{
	if (health_override)
		return health_override;
	if (draining)
		return "draining";
	return is_cold() ? "cold" : "ok";
}

/* Samples health and load, and crashes a cold server that is overloaded. */
static void *run_ticks(void *arg)
{
	int64_t next = clock_monotonic_ns();

	(void)arg;
	pthread_mutex_lock(&standin.lock);
	while (!standin.stopping) {
		samples[next_sample].health = health();
		samples[next_sample].load =
			load_override < 0 ? nr_running : (int)load_override;
		next_sample = (next_sample + 1) % nr_samples;
		if (!settings[NO_FALL_OVER].number && is_cold() &&
		    overload_since <= clock_monotonic_ns() - OVERLOAD_NS)
			crash("overload");
		next += TICK_NS;
		while (standin_wait(next))
			;
	}
	pthread_mutex_unlock(&standin.lock);
	return NULL;
}

static bool is_execution(const char *method)
{
	return !g_str_equal(method, "GET") && !g_str_equal(method, "HEAD") &&
	       !g_str_equal(method, "OPTIONS");
}

/* Writes each line with one write(), so that SIGKILL loses and splits none. */
static void log_execution(const json_t *record)
{
	g_autoptr(GString) line = NULL;
	char *text;

	if (log_fd < 0)
		return;
	text = json_dumps(record, JSON_COMPACT);
	line = g_string_new(text);
	free(text);
	g_string_append_c(line, '\n');
	if (write(log_fd, line->str, line->len) != (ssize_t)line->len)
		log_event(LOG_ERR, "log_failed", "reason=%s",
			  log_quote(strerror(errno)));
}

static json_t *new_record(const struct request *request)
{
	char hex[DIGEST_HEX_CHARS + 1];
	struct digest digest;
	json_t *record;

	digest_compute(&digest, request->body->data, request->body->len);
	digest_to_hex(&digest, hex);
	record =
		json_pack("{s:o, s:o, s:s, s:o, s:s, s:I, s:n, s:n}", "id",
			  json_text(request_header(request, "Request-Id")),
			  "ticket",
			  json_text(request_header(request, "Idempotency-Key")),
			  "method", request->method, "path",
			  json_text(request->target), "body_digest", hex,
			  "started", (json_int_t)clock_wall_ms(), "finished",
			  "outcome");
	json_array_append_new(executions, record);
	return record;
}

/* Takes a slot. Returns false when the request is shed and has not run. */
static bool start_run(const struct request *request, struct run *run)
{
	if (draining || nr_running >= settings[SLOTS].number) {
		nr_shed++;
		return false;
	}
	cds_list_add_tail(&run->node, &runs);
	nr_running++;
	max_running = MAX(max_running, nr_running);
	update_overload_start();
	if (is_execution(request->method)) {
		run->record = new_record(request);
		log_execution(run->record);
	}
	if (strstr(request->path, "crash-me"))
		crash("request");
	return true;
}

static void finish_run(struct run *run, const char *outcome)
{
	cds_list_del(&run->node);
	nr_running--;
	update_overload_start();
	if (!run->record)
		return;
	json_object_set_new(run->record, "finished",
			    json_integer(clock_wall_ms()));
	json_object_set_new(run->record, "outcome", json_string(outcome));
	log_execution(run->record);
}

/* Waits for the service time and returns the outcome of the run. */
static const char *wait_service_time(struct run *run)
{
	int64_t until =
		clock_monotonic_ns() + settings[SERVICE_MS].number * NS_PER_MS;

	until += (int64_t)rng_below(&rng,
				    settings[JITTER_MS].number * NS_PER_MS + 1);
	if (standin.fault.mode == FAULT_SLOW)
		until += standin.fault.ms * NS_PER_MS;
	while (!run->cancelled && !run->reset &&
	       standin_wait(MIN(until, run->deadline)))
		;
	/* A hanging server ignores deadlines and cancellation. */
	while (standin.fault.mode == FAULT_HANG && !run->reset &&
	       standin_wait(clock_monotonic_ns() + NS_PER_SEC))
		;
	if (run->reset || standin.stopping || standin.fault.mode == FAULT_RESET)
		return "reset";
	if (run->cancelled)
		return "cancelled";
	return run->deadline < until ? "deadline" : "done";
}

/* Describes the request, so that a test can match answers to requests. */
static char *echo(const struct request *request, const char *id)
{
	json_t *json = json_pack("{s:s, s:s, s:o, s:o, s:I}", "name",
				 settings[NAME].text, "method", request->method,
				 "path", json_text(request->target),
				 "request_id", json_text(id), "body_bytes",
				 (json_int_t)request->body_len);
	char *text = json_dumps(json, JSON_COMPACT);

	json_decref(json);
	return text;
}

/* Answers an executed request, with half of the body if truncate is true. */
static enum MHD_Result reply_done(const struct request *request, const char *id,
				  int64_t bytes, bool truncate)
{
	struct content *content = g_new0(struct content, 1);
	struct MHD_Response *response;
	uint64_t len = (uint64_t)bytes;

	content->seed = hash_string(id) % CONTENT_PERIOD;
	if (bytes < 0) {
		content->text = echo(request, id);
		len = strlen(content->text);
	}
	content->stop = truncate ? len / 2 : len;
	response = MHD_create_response_from_callback(len, BLOCK_BYTES,
						     content_read, content,
						     content_free);
	MHD_add_response_header(response, "Backend-Request-Id", id);
	MHD_add_response_header(response, "Content-Type",
				bytes < 0 ? "application/json"
					  : "application/octet-stream");
	return reply_with(request, 200, response);
}

static enum MHD_Result reply_shed(const struct request *request,
				  bool is_draining)
{
	struct MHD_Response *response =
		MHD_create_response_from_buffer(4, (void *)"shed",
						MHD_RESPMEM_PERSISTENT);

	MHD_add_response_header(response, "Backend-Shed", "1");
	if (is_draining)
		MHD_add_response_header(response, "Backend-Draining", "1");
	return reply_with(request, 503, response);
}

/* Sends RST instead of an answer. */
static enum MHD_Result reply_reset(const struct request *request)
{
	const union MHD_ConnectionInfo *info =
		MHD_get_connection_info(request->connection,
					MHD_CONNECTION_INFO_CONNECTION_FD);

	reset_socket(info->connect_fd);
	return MHD_NO;
}

/* Reads the header Deadline-Ms; returns false if it is not a number. */
static bool parse_deadline(const struct request *request, int64_t *deadline)
{
	const char *text = request_header(request, "Deadline-Ms");
	int64_t ms;

	*deadline = DEADLINE_NEVER;
	if (!text)
		return true;
	if (!parse_number(text, 3600000, &ms))
		return false;
	*deadline = clock_monotonic_ns() + ms * NS_PER_MS;
	return true;
}

static enum MHD_Result run_request(const struct request *request)
{
	const char *id = request_header(request, "Request-Id");
	struct run run = { .id = id ? id : "" };
	const char *outcome = "shed";
	bool is_draining, truncate;
	int64_t bytes;

	if (!parse_deadline(request, &run.deadline) ||
	    !request_number(request, "bytes", PATTERN_MAX_BYTES, -1, &bytes))
		return reply_text(request, 400,
				  "Deadline-Ms or bytes is no valid number");
	pthread_mutex_lock(&standin.lock);
	if (start_run(request, &run)) {
		outcome = wait_service_time(&run);
		finish_run(&run, outcome);
	}
	is_draining = draining;
	truncate = standin.fault.mode == FAULT_TRUNCATE;
	pthread_mutex_unlock(&standin.lock);

	if (g_str_equal(outcome, "shed"))
		return reply_shed(request, is_draining);
	if (g_str_equal(outcome, "reset"))
		return reply_reset(request);
	if (g_str_equal(outcome, "cancelled"))
		return reply(request, 499, "cancelled", 9, "Backend-Cancelled",
			     "1");
	if (g_str_equal(outcome, "deadline"))
		return reply_text(request, 504, "deadline passed");
	return reply_done(request, run.id, bytes, truncate);
}

static enum MHD_Result cancel(const struct request *request)
{
	const char *id = request_query(request, "id");
	struct run *run;
	int nr = 0;

	if (!id || !*id)
		return reply_text(request, 400, "parameter id is missing");
	pthread_mutex_lock(&standin.lock);
	cds_list_for_each_entry (run, &runs, node) {
		if (!g_str_equal(run->id, id))
			continue;
		run->cancelled = true;
		nr++;
	}
	standin_notify();
	pthread_mutex_unlock(&standin.lock);
	return nr ? reply_text(request, 200, "cancelled")
		  : reply_text(request, 404, "not running");
}

/* Answers with the oldest sample in the ring, which is --lag-ms old. */
static enum MHD_Result reply_sample(const struct request *request)
{
	bool is_load = g_str_equal(request->path, "/-/load");
	g_autofree char *text = NULL;
	struct sample sample;

	pthread_mutex_lock(&standin.lock);
	sample = samples[next_sample];
	if (!sample.health)
		sample.health = "cold";
	text = is_load ? g_strdup_printf("{\"load\":%d,\"slots\":%d}",
					 sample.load, settings[SLOTS].number)
		       : g_strdup_printf("{\"health\":\"%s\"}", sample.health);
	pthread_mutex_unlock(&standin.lock);
	return reply_text(request, 200, text);
}

static enum MHD_Result on_call(struct request *request)
{
	if (request_is(request, "POST", "/-/cancel"))
		return cancel(request);
	if (request_is(request, "GET", "/-/health") ||
	    request_is(request, "GET", "/-/load"))
		return reply_sample(request);
	return run_request(request);
}

static void on_fault(void)
{
	if (standin.fault.mode == FAULT_COLD)
		start_cold_period();
}

static enum MHD_Result post_drain(const struct request *request)
{
	pthread_mutex_lock(&standin.lock);
	draining = true;
	pthread_mutex_unlock(&standin.lock);
	return reply_text(request, 200, "draining");
}

static enum MHD_Result post_override(const struct request *request)
{
	const char *reported = request_query(request, "health");
	int64_t load;

	if (!request_number(request, "load", INT32_MAX, -1, &load) ||
	    (reported && !g_str_equal(reported, "ok") &&
	     !g_str_equal(reported, "cold") &&
	     !g_str_equal(reported, "draining")))
		return reply_text(request, 400, "health or load is invalid");
	pthread_mutex_lock(&standin.lock);
	/* Samples keep the pointer, and the request's text is freed. */
	health_override = reported ? g_intern_string(reported) : NULL;
	load_override = load;
	pthread_mutex_unlock(&standin.lock);
	return reply_text(request, 200, "set");
}

static enum MHD_Result get_executions(const struct request *request)
{
	json_t *copy;

	pthread_mutex_lock(&standin.lock);
	copy = json_deep_copy(executions);
	pthread_mutex_unlock(&standin.lock);
	return reply_json(request, 200, copy);
}

static enum MHD_Result get_state(const struct request *request)
{
	json_t *json;

	pthread_mutex_lock(&standin.lock);
	json = json_pack("{s:i, s:i, s:i, s:I, s:I, s:I, s:b, s:b}", "running",
			 nr_running, "max_running", max_running, "connections",
			 nr_connections, "executions",
			 (json_int_t)json_array_size(executions), "shed",
			 (json_int_t)nr_shed, "crashes", (json_int_t)nr_crashes,
			 "cold", is_cold(), "draining", draining);
	pthread_mutex_unlock(&standin.lock);
	return reply_json(request, 200, json);
}

static enum MHD_Result on_control(struct request *request)
{
	if (request_is(request, "POST", "/fault"))
		return fault_control(request, modes, on_fault);
	if (request_is(request, "POST", "/drain"))
		return post_drain(request);
	if (request_is(request, "POST", "/lie"))
		return post_override(request);
	if (request_is(request, "GET", "/executions"))
		return get_executions(request);
	if (request_is(request, "GET", "/state"))
		return get_state(request);
	return reply_text(request, 404, "unknown control request");
}

/* Applies --connections; libmicrohttpd closes a refused connection. */
static enum MHD_Result
accept_connection(void *cls, const struct sockaddr *address, socklen_t len)
{
	enum MHD_Result result;

	(void)cls;
	(void)address;
	(void)len;
	pthread_mutex_lock(&standin.lock);
	result = nr_connections < settings[CONNECTIONS].number ? MHD_YES
							       : MHD_NO;
	pthread_mutex_unlock(&standin.lock);
	return result;
}

static void on_connection(void *cls, struct MHD_Connection *mhd, void **context,
			  enum MHD_ConnectionNotificationCode code)
{
	struct connection *connection = *context;

	(void)cls;
	pthread_mutex_lock(&standin.lock);
	if (code == MHD_CONNECTION_NOTIFY_STARTED) {
		connection = g_new0(struct connection, 1);
		connection->fd = MHD_get_connection_info(
					 mhd, MHD_CONNECTION_INFO_CONNECTION_FD)
					 ->connect_fd;
		cds_list_add_tail(&connection->node, &connections);
		nr_connections++;
		*context = connection;
	} else if (connection) {
		cds_list_del(&connection->node);
		nr_connections--;
		g_free(connection);
		*context = NULL;
	}
	pthread_mutex_unlock(&standin.lock);
}

static void init(void)
{
	const char *log = settings[LOG].text;
	pthread_t ticker;

	standin.common[0] = "Backend-Name";
	standin.common[1] = settings[NAME].text;
	rng_init(&rng, (uint64_t)settings[SEED].number);
	executions = json_array();
	nr_samples = settings[LAG_MS].number * NS_PER_MS / TICK_NS + 1;
	samples = g_new0(struct sample, nr_samples);
	if (log)
		log_fd = open(log, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC,
			      0644);
	if (log && log_fd < 0) {
		log_event(LOG_ERR, "cannot_open", "file=%s reason=%s",
			  log_quote(log), log_quote(strerror(errno)));
		exit(1);
	}
	start_cold_period();
	pthread_create(&ticker, NULL, run_ticks, NULL);
	pthread_detach(ticker);
}

int main(int argc, char **argv)
{
	static const struct server listen = { .body_max = BODY_MAX_BYTES,
					      .handle = on_call,
					      .accept = accept_connection,
					      .notify = on_connection };
	static const struct server control = { .handle = on_control };

	return standin_main(argc, argv, settings, init, &listen, &control);
}

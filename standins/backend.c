/*
 * Stand-in of a backend server: runs requests in a limited number of slots,
 * is cold after its start, sheds, drains, cancels, and records every execution
 * so that a test can count them.
 */
#include <argtable2.h>
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
#include "standin.h"

#define BODY_MAX_BYTES (64 * 1024 * 1024)
#define PATTERN_MAX_BYTES (1024 * 1024 * 1024)
#define PATTERN_PERIOD 251 /* prime, so that swapped chunks are seen */
#define BLOCK_BYTES (64 * 1024)
#define TICK_NS (5 * NS_PER_MS)
#define OVERLOAD_NS (100 * NS_PER_MS) /* a cold server bears this long */
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

/* What the health and load endpoints tell. */
struct sample {
	const char *health;
	int load;
};

/* An answer that is made while it is sent: a text or a pattern of bytes. */
struct content {
	char *text; /* NULL for the pattern */
	uint64_t seed;
	uint64_t stop; /* position at which the connection is broken off */
};

static struct {
	const char *name;
	int slots, connections, service_ms, jitter_ms, cold_slots;
	int64_t cold_ns;
	bool fall_over, soft_crash;
	int log_fd; /* -1 without --log */
} options;

/* Everything below is protected by standin.lock. */
static struct rng rng;
static CDS_LIST_HEAD(runs);
static CDS_LIST_HEAD(connections);
static json_t *executions;
static int nr_running, max_running, nr_connections;
static int64_t nr_shed, nr_crashes;
static int64_t cold_until, overload_since = DEADLINE_NEVER;
static bool draining;
static const char *lie_health; /* NULL tells the truth */
static int64_t lie_load = -1;  /* negative tells the truth */
static struct sample *samples; /* ring of one sample for each tick */
static size_t nr_samples, next_sample;

static bool is_cold(void)
{
	return clock_monotonic_ns() < cold_until;
}

static void turn_cold(void)
{
	cold_until = clock_monotonic_ns() + options.cold_ns;
	overload_since = DEADLINE_NEVER;
}

/* Remembers since when a cold server has had more requests than it bears. */
static void watch_overload(void)
{
	if (nr_running <= options.cold_slots)
		overload_since = DEADLINE_NEVER;
	else if (overload_since == DEADLINE_NEVER)
		overload_since = clock_monotonic_ns();
}

/* Dissolving the association of a TCP socket sends RST at once. */
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
		  nr_running, options.soft_crash);
	if (!options.soft_crash)
		_exit(CRASH_STATUS);
	nr_crashes++;
	cds_list_for_each_entry (run, &runs, node)
		run->reset = true;
	cds_list_for_each_entry (connection, &connections, node)
		reset_socket(connection->fd);
	turn_cold();
	standin_notify();
}

static const char *health(void)
{
	if (lie_health)
		return lie_health;
	if (draining)
		return "draining";
	return is_cold() ? "cold" : "ok";
}

/* Takes samples of health and load, and lets an overloaded server fall over. */
static void *run_ticks(void *arg)
{
	int64_t next = clock_monotonic_ns();

	(void)arg;
	pthread_mutex_lock(&standin.lock);
	while (!standin.stopping) {
		samples[next_sample].health = health();
		samples[next_sample].load =
			lie_load < 0 ? nr_running : (int)lie_load;
		next_sample = (next_sample + 1) % nr_samples;
		if (options.fall_over && is_cold() &&
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
	return strcmp(method, "GET") && strcmp(method, "HEAD") &&
	       strcmp(method, "OPTIONS");
}

/* One write() for each line, so that kill -9 loses and tears none. */
static void log_execution(const json_t *record)
{
	g_autoptr(GString) line = NULL;
	char *text;

	if (options.log_fd < 0)
		return;
	text = json_dumps(record, JSON_COMPACT);
	line = g_string_new(text);
	free(text);
	g_string_append_c(line, '\n');
	if (write(options.log_fd, line->str, line->len) != (ssize_t)line->len)
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

/* Takes a slot. False when the request is shed and truly not run. */
static bool begin(const struct request *request, struct run *run)
{
	if (draining || nr_running >= options.slots) {
		nr_shed++;
		return false;
	}
	cds_list_add_tail(&run->node, &runs);
	nr_running++;
	max_running = MAX(max_running, nr_running);
	watch_overload();
	if (is_execution(request->method)) {
		run->record = new_record(request);
		log_execution(run->record);
	}
	if (strstr(request->path, "crash-me"))
		crash("request");
	return true;
}

static void finish(struct run *run, const char *outcome)
{
	cds_list_del(&run->node);
	nr_running--;
	watch_overload();
	if (!run->record)
		return;
	json_object_set_new(run->record, "finished",
			    json_integer(clock_wall_ms()));
	json_object_set_new(run->record, "outcome", json_string(outcome));
	log_execution(run->record);
}

/* Spends the service time; says how the run ended. */
static const char *serve(struct run *run)
{
	int64_t until = clock_monotonic_ns() + options.service_ms * NS_PER_MS;

	until += (int64_t)rng_below(&rng, options.jitter_ms * NS_PER_MS + 1);
	if (standin.fault.mode == FAULT_SLOW)
		until += standin.fault.ms * NS_PER_MS;
	while (!run->cancelled && !run->reset &&
	       standin_wait(MIN(until, run->deadline)))
		;
	/* A hanging server minds neither deadlines nor cancellation. */
	while (standin.fault.mode == FAULT_HANG && !run->reset &&
	       standin_wait(clock_monotonic_ns() + NS_PER_SEC))
		;
	if (run->reset || standin.fault.mode == FAULT_RESET)
		return "reset";
	if (run->cancelled)
		return "cancelled";
	return run->deadline < until ? "deadline" : "done";
}

static ssize_t read_content(void *cls, uint64_t position, char *buffer,
			    size_t max)
{
	const struct content *content = cls;
	uint64_t left = content->stop - position;
	size_t len = (size_t)MIN(left, max);

	if (!left)
		return MHD_CONTENT_READER_END_WITH_ERROR;
	if (content->text) {
		memcpy(buffer, content->text + position, len);
		return (ssize_t)len;
	}
	for (size_t i = 0; i < len; i++)
		buffer[i] =
			(char)((position + i + content->seed) % PATTERN_PERIOD);
	return (ssize_t)len;
}

static void free_content(void *cls)
{
	struct content *content = cls;

	free(content->text);
	g_free(content);
}

/* The echo of a request, by which a test sees whose answer it is. */
static char *echo(const struct request *request, const char *id)
{
	json_t *json = json_pack("{s:s, s:s, s:o, s:o, s:I}", "name",
				 options.name, "method", request->method,
				 "path", json_text(request->target),
				 "request_id", json_text(id), "body_bytes",
				 (json_int_t)request->body_len);
	char *text = json_dumps(json, JSON_COMPACT);

	json_decref(json);
	return text;
}

/* Answers an executed request; breaks off half way when truncate is true. */
static enum MHD_Result reply_done(const struct request *request, const char *id,
				  int64_t bytes, bool truncate)
{
	struct content *content = g_new0(struct content, 1);
	struct MHD_Response *response;
	enum MHD_Result result;
	uint64_t len = (uint64_t)bytes;

	content->seed = hash_string(id) % PATTERN_PERIOD;
	if (bytes < 0) {
		content->text = echo(request, id);
		len = strlen(content->text);
	}
	content->stop = truncate ? len / 2 : len;
	response = MHD_create_response_from_callback(len, BLOCK_BYTES,
						     read_content, content,
						     free_content);
	MHD_add_response_header(response, "Backend-Name", options.name);
	MHD_add_response_header(response, "Backend-Request-Id", id);
	MHD_add_response_header(response, "Content-Type",
				bytes < 0 ? "application/json"
					  : "application/octet-stream");
	result = MHD_queue_response(request->connection, 200, response);
	MHD_destroy_response(response);
	return result;
}

static enum MHD_Result reply_short(const struct request *request,
				   unsigned int status, const char *text,
				   const char *header)
{
	return reply(request, status, text, strlen(text), "Backend-Name",
		     options.name, header, header ? "1" : NULL, NULL);
}

static enum MHD_Result reply_shed(const struct request *request, bool drains)
{
	if (!drains)
		return reply_short(request, 503, "shed\n", "Backend-Shed");
	return reply(request, 503, "draining\n", 9, "Backend-Name",
		     options.name, "Backend-Shed", "1", "Backend-Draining", "1",
		     NULL);
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

/* Reads the header Deadline-Ms; false when it is not a number. */
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
	bool drains, truncate;
	int64_t bytes;

	if (!parse_deadline(request, &run.deadline) ||
	    !request_number(request, "bytes", PATTERN_MAX_BYTES, -1, &bytes))
		return reply_short(request, 400, "bad deadline or bytes\n",
				   NULL);
	pthread_mutex_lock(&standin.lock);
	if (begin(request, &run)) {
		outcome = serve(&run);
		finish(&run, outcome);
	}
	drains = draining;
	truncate = standin.fault.mode == FAULT_TRUNCATE;
	pthread_mutex_unlock(&standin.lock);

	if (!strcmp(outcome, "shed"))
		return reply_shed(request, drains);
	if (!strcmp(outcome, "reset"))
		return reply_reset(request);
	if (!strcmp(outcome, "cancelled"))
		return reply_short(request, 499, "cancelled\n",
				   "Backend-Cancelled");
	if (!strcmp(outcome, "deadline"))
		return reply_short(request, 504, "deadline passed\n", NULL);
	return reply_done(request, run.id, bytes, truncate);
}

static enum MHD_Result cancel(const struct request *request)
{
	const char *id = request_query(request, "id");
	struct run *run;
	int nr = 0;

	if (!id || !*id)
		return reply_short(request, 400, "no id\n", NULL);
	pthread_mutex_lock(&standin.lock);
	cds_list_for_each_entry (run, &runs, node) {
		if (strcmp(run->id, id))
			continue;
		run->cancelled = true;
		nr++;
	}
	standin_notify();
	pthread_mutex_unlock(&standin.lock);
	return nr ? reply_short(request, 200, "cancelled\n", NULL)
		  : reply_short(request, 404, "not running\n", NULL);
}

/* Answers from the oldest sample of the ring, which is --lag-ms old. */
static enum MHD_Result reply_sample(const struct request *request)
{
	bool is_load = !strcmp(request->path, "/-/load");
	g_autofree char *text = NULL;
	struct sample sample;

	pthread_mutex_lock(&standin.lock);
	sample = samples[next_sample];
	if (!sample.health)
		sample.health = "cold";
	text = is_load ? g_strdup_printf("{\"load\":%d,\"slots\":%d}",
					 sample.load, options.slots)
		       : g_strdup_printf("{\"health\":\"%s\"}", sample.health);
	pthread_mutex_unlock(&standin.lock);
	return reply_short(request, 200, text, NULL);
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
		turn_cold();
}

static enum MHD_Result post_drain(const struct request *request)
{
	pthread_mutex_lock(&standin.lock);
	draining = true;
	pthread_mutex_unlock(&standin.lock);
	return reply_text(request, 200, "draining");
}

static enum MHD_Result post_lie(const struct request *request)
{
	const char *told = request_query(request, "health");
	int64_t load;

	if (!request_number(request, "load", INT32_MAX, -1, &load) ||
	    (told && strcmp(told, "ok") && strcmp(told, "cold") &&
	     strcmp(told, "draining")))
		return reply_text(request, 400, "bad health or load");
	pthread_mutex_lock(&standin.lock);
	/* Samples keep the pointer, so it must not be the request's. */
	lie_health = told ? g_intern_string(told) : NULL;
	lie_load = load;
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
		return post_lie(request);
	if (request_is(request, "GET", "/executions"))
		return get_executions(request);
	if (request_is(request, "GET", "/state"))
		return get_state(request);
	return reply_text(request, 404, "unknown control request");
}

/* The library closes a connection that this refuses. */
static enum MHD_Result
accept_connection(void *cls, const struct sockaddr *address, socklen_t len)
{
	enum MHD_Result result;

	(void)cls;
	(void)address;
	(void)len;
	pthread_mutex_lock(&standin.lock);
	result = nr_connections < options.connections ? MHD_YES : MHD_NO;
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

/* A number of the command line, not negative. */
static struct arg_int *number(const char *name, int fallback, const char *help)
{
	struct arg_int *arg = arg_int0(NULL, name, "N", help);

	if (arg)
		arg->ival[0] = fallback;
	return arg;
}

static void open_log(const char *path)
{
	options.log_fd =
		open(path, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
	if (options.log_fd >= 0)
		return;
	log_event(LOG_ERR, "cannot_open", "file=%s reason=%s", log_quote(path),
		  log_quote(strerror(errno)));
	exit(1);
}

int main(int argc, char **argv)
{
	struct arg_lit *help = arg_lit0(NULL, "help", "print this and exit");
	struct arg_str *listen = arg_str1(NULL, "listen", "ADDRESS:PORT",
					  "address for requests");
	struct arg_str *control = arg_str1(NULL, "control", "ADDRESS:PORT",
					   "address for the test");
	struct arg_str *name = arg_str1(NULL, "name", "NAME",
					"value of the header Backend-Name");
	struct arg_int *slots = number("slots", 10, "requests run at once");
	struct arg_int *limit = number("connections", 130, "open connections");
	struct arg_int *service = number("service-ms", 0, "time of a request");
	struct arg_int *jitter =
		number("jitter-ms", 0, "largest random time added to it");
	struct arg_int *cold_ms = number("cold-ms", 0, "cold time after start");
	struct arg_int *cold_slots =
		number("cold-slots", 1, "requests at once that it bears cold");
	struct arg_int *lag_ms =
		number("lag-ms", 0, "age of answers on health and load");
	struct arg_int *seed = number("seed", 1, "seed of the jitter");
	struct arg_lit *soft = arg_lit0(NULL, "soft-crash",
					"reset connections and turn cold "
					"instead of exiting");
	struct arg_lit *steady =
		arg_lit0(NULL, "no-fall-over", "bear any load while cold");
	struct arg_file *log = arg_file0(NULL, "log", "FILE",
					 "append a line for each start and "
					 "end of an execution");
	void *table[] = { help,	   listen, control, name,	slots,	limit,
			  service, jitter, cold_ms, cold_slots, lag_ms, seed,
			  soft,	   steady, log,	    arg_end(5) };
	pthread_t ticker;
	int status;

	standin_parse(argc, argv, table);
	options.name = name->sval[0];
	options.slots = slots->ival[0];
	options.connections = limit->ival[0];
	options.service_ms = MAX(service->ival[0], 0);
	options.jitter_ms = MAX(jitter->ival[0], 0);
	options.cold_slots = cold_slots->ival[0];
	options.cold_ns = cold_ms->ival[0] * NS_PER_MS;
	options.soft_crash = soft->count;
	options.fall_over = !steady->count;
	options.log_fd = -1;
	if (log->count)
		open_log(log->filename[0]);

	rng_init(&rng, (uint64_t)seed->ival[0]);
	executions = json_array();
	nr_samples =
		(size_t)(MAX(lag_ms->ival[0], 0) * NS_PER_MS / TICK_NS) + 1;
	samples = g_new0(struct sample, nr_samples);
	turn_cold();

	struct server servers[] = {
		{ .name = "listen",
		  .address = listen->sval[0],
		  .body_max = BODY_MAX_BYTES,
		  .handle = on_call,
		  .accept = accept_connection,
		  .notify = on_connection },
		{ .name = "control",
		  .address = control->sval[0],
		  .handle = on_control },
	};
	pthread_create(&ticker, NULL, run_ticks, NULL);
	status = standin_run(servers, G_N_ELEMENTS(servers));
	pthread_join(ticker, NULL);
	return status;
}

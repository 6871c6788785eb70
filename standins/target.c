/*
 * Test double of a backend server on the users' platform. Runs requests unless
 * they expect another instance, one in each slot, and reports its instance id,
 * its load and its remaining cold time.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/clock.h"
#include "standin.h"

#define BODY_MAX_BYTES (64 * 1024 * 1024)

enum {
	FAULT_NONE,
	FAULT_SLOW,	    /* adds fault.ms to the service time */
	FAULT_SHED,	    /* answers 503 without running */
	FAULT_FAIL,	    /* runs and answers 500 */
	FAULT_NO_SIGNATURE, /* runs and answers without signature */
	FAULT_CLOSE,	    /* runs and closes without an answer */
	FAULT_OTHER_ID,	    /* runs and answers with a wrong request id */
	FAULT_ENCODED,	    /* runs and answers with Content-Encoding */
	FAULT_CRASH,	    /* the process ends as a request begins to run */
	/* Turns cold for fault.ms just after its next answer to a probe. */
	FAULT_COLD,
	FAULT_PACE,    /* takes fault.ms % of the time, and reports it */
	FAULT_BAD_LOAD /* reports a malformed load */
};
static const char *const modes[] = {
	"none",	   "slow",  "shed", "fail", "no-proof", "close", "other-id",
	"encoded", "crash", "cold", "pace", "bad-load", NULL
};

static struct setting settings[] = {
	{ "id", "TEXT", "instance id of this process", 0, "i-1" },
	{ "service-ms", "N", "service time of a request", 5, NULL },
	{ "slots", "N", "concurrent requests", 4, NULL },
	{ "cold-ms", "N", "cold time after start", 0, NULL },
	{ "body-bytes", "N", "body length of answers", 5, NULL },
	{ "cold-early-ms", "N", "report this much less cold time", 0, NULL },
	{ "forget-idle-ms", "N", "close connections that were idle longer", 0,
	  NULL },
	{ NULL },
};

/* Everything below is protected by standin.lock. */
static json_t *runs; /* array of the requests that ran */
static int nr_running, max_running, nr_shed, nr_misdirected;
static int64_t started;
static int64_t cold_end;    /* of the cold time that a fault set */
static GArray *cold_starts; /* int64_t: monotonic ns of starts while cold */

static void init(void)
{
	runs = json_array();
	cold_starts = g_array_new(FALSE, FALSE, sizeof(int64_t));
	started = clock_monotonic_ns();
}

static int64_t cold_left_ms(void)
{
	int64_t end = MAX(cold_end, started + settings[3].number * NS_PER_MS);

	return MAX(0, end - clock_monotonic_ns()) / NS_PER_MS;
}

static int64_t reported_cold_ms(void)
{
	return MAX(0, cold_left_ms() - settings[5].number);
}

/* Returns the most requests that started within one second while cold. */
static int max_cold_starts(void)
{
	guint first = 0;
	int max = 0;

	for (guint i = 0; i < cold_starts->len; i++) {
		int64_t at = g_array_index(cold_starts, int64_t, i);

		while (g_array_index(cold_starts, int64_t, first) <=
		       at - NS_PER_SEC)
			first++;
		max = MAX(max, (int)(i - first) + 1);
	}
	return max;
}

static enum MHD_Result answer(const struct request *request, unsigned status,
			      const char *signature, const char *id,
			      const char *encoding)
{
	size_t len = (size_t)settings[4].number;
	g_autofree char *body = g_malloc(len + 1);
	struct MHD_Response *response;
	char load[64], cold[32];

	memset(body, 'x', len);
	if (standin.fault.mode == FAULT_PACE)
		snprintf(load, sizeof(load), "%d,0,%d,%d", nr_running,
			 settings[2].number, (int)standin.fault.ms);
	else if (standin.fault.mode == FAULT_BAD_LOAD)
		snprintf(load, sizeof(load), "%d,none", nr_running);
	else
		snprintf(load, sizeof(load), "%d,0,%d", nr_running,
			 settings[2].number);
	snprintf(cold, sizeof(cold), "%lld", (long long)reported_cold_ms());
	response = MHD_create_response_from_buffer(len, body,
						   MHD_RESPMEM_MUST_COPY);
	MHD_add_response_header(response, "X-Instance-Id", settings[0].text);
	MHD_add_response_header(response, "X-Server-Load", load);
	MHD_add_response_header(response, "X-Warmup-Ms", cold);
	if (id)
		MHD_add_response_header(response, "X-Request-Id", id);
	if (signature)
		MHD_add_response_header(response, "X-Server-Signature",
					signature);
	if (encoding)
		MHD_add_response_header(response, "Content-Encoding", encoding);
	if (status == 503)
		MHD_add_response_header(response, "X-Not-Executed", "1");
	return reply_with(request, status, response);
}

static void record_run(const struct request *request, const char *id)
{
	json_array_append_new(
		runs,
		json_pack("{s:o, s:s, s:o, s:o, s:o, s:o, s:o, s:o, s:I}", "id",
			  json_text(id), "method", request->method, "target",
			  json_text(request->target), "caller",
			  json_text(
				  request_header(request, "X-Caller-Service")),
			  "time_left_ms",
			  json_text(request_header(request, "X-Timeout-Ms")),
			  "other",
			  json_text(request_header(request, "X-Other")),
			  "organisation",
			  json_text(request_header(request, "X-Tenant")), "key",
			  json_text(request_header(request, "X-Key")),
			  "body_bytes", (json_int_t)request->body_len));
}

/* Runs the request; call with the lock held. */
static enum MHD_Result run(struct request *request, const char *id)
{
	int64_t wait_ms = settings[1].number;
	int64_t end;

	if (standin.fault.mode == FAULT_CRASH)
		_exit(EXIT_FAILURE);
	nr_running++;
	max_running = MAX(max_running, nr_running);
	record_run(request, id);
	if (cold_left_ms() > 0) {
		int64_t now = clock_monotonic_ns();

		g_array_append_val(cold_starts, now);
	}
	if (standin.fault.mode == FAULT_SLOW)
		wait_ms += standin.fault.ms;
	if (standin.fault.mode == FAULT_PACE)
		wait_ms = wait_ms * standin.fault.ms / 100;
	end = clock_monotonic_ns() + wait_ms * NS_PER_MS;
	while (standin_wait(end))
		;
	nr_running--;
	switch (standin.fault.mode) {
	case FAULT_FAIL:
		return answer(request, 500, "proof", id, NULL);
	case FAULT_NO_SIGNATURE:
		return answer(request, 200, NULL, id, NULL);
	case FAULT_CLOSE:
		return MHD_NO;
	case FAULT_OTHER_ID:
		return answer(request, 200, "proof", "another", NULL);
	case FAULT_ENCODED:
		return answer(request, 200, "proof", id, "gzip");
	default:
		return answer(request, 200, "proof", id, NULL);
	}
}

/* The socket context holds the connection's last use, 0 before the first. */
static void on_connection(void *cls, struct MHD_Connection *connection,
			  void **context,
			  enum MHD_ConnectionNotificationCode code)
{
	(void)cls;
	(void)connection;
	if (code == MHD_CONNECTION_NOTIFY_STARTED)
		*context = g_new0(int64_t, 1);
	else
		g_free(*context);
}

static int64_t *last_use(const struct request *request)
{
	return MHD_get_connection_info(request->connection,
				       MHD_CONNECTION_INFO_SOCKET_CONTEXT)
		->socket_context;
}

static bool is_idle_too_long(const struct request *request)
{
	int64_t last = *last_use(request);

	return settings[6].number && last &&
	       clock_monotonic_ns() - last > settings[6].number * NS_PER_MS;
}

static enum MHD_Result answer_probe(const struct request *request)
{
	enum MHD_Result result;

	pthread_mutex_lock(&standin.lock);
	result = answer(request, 200, NULL, NULL, NULL);
	if (standin.fault.mode == FAULT_COLD) {
		standin.fault.mode = FAULT_NONE;
		cold_end = clock_monotonic_ns() + standin.fault.ms * NS_PER_MS;
	}
	pthread_mutex_unlock(&standin.lock);
	return result;
}

static enum MHD_Result serve_request(struct request *request)
{
	const char *expected = request_header(request, "X-Expected-Instance");
	const char *id = request_header(request, "X-Request-Id");
	enum MHD_Result result;

	if (!strcmp(request->path, "/health"))
		return answer_probe(request);
	pthread_mutex_lock(&standin.lock);
	if (expected && strcmp(expected, settings[0].text) != 0) {
		nr_misdirected++;
		result = answer(request, 421, NULL, id, NULL);
	} else if (standin.fault.mode == FAULT_SHED ||
		   nr_running >= settings[2].number) {
		nr_shed++;
		result = answer(request, 503, NULL, id, NULL);
	} else {
		result = run(request, id);
	}
	pthread_mutex_unlock(&standin.lock);
	return result;
}

static enum MHD_Result on_request(struct request *request)
{
	enum MHD_Result result;

	if (is_idle_too_long(request))
		return MHD_NO;
	result = serve_request(request);
	*last_use(request) = clock_monotonic_ns();
	return result;
}

static enum MHD_Result on_control(struct request *request)
{
	json_t *state, *copy;

	if (request_is(request, "POST", "/fault"))
		return fault_control(request, modes, NULL);
	if (!request_is(request, "GET", "/state"))
		return reply_text(request, 404, "unknown control request");
	pthread_mutex_lock(&standin.lock);
	state = json_pack("{s:O, s:i, s:i, s:i, s:i, s:i}", "runs", runs,
			  "running", nr_running, "most_running", max_running,
			  "shed", nr_shed, "misdirected", nr_misdirected,
			  "most_cold_starts", max_cold_starts());
	copy = json_deep_copy(state);
	json_decref(state);
	pthread_mutex_unlock(&standin.lock);
	return reply_json(request, 200, copy);
}

int main(int argc, char **argv)
{
	static const struct server listen = { .body_max = BODY_MAX_BYTES,
					      .handle = on_request,
					      .notify = on_connection };
	static const struct server control = { .handle = on_control };

	return standin_main(argc, argv, settings, init, &listen, &control);
}

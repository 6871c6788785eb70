#include <arpa/inet.h>
#include <glib.h>
#include <ne_request.h>
#include <ne_session.h>
#include <ne_socket.h>
#include <ne_uri.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "base/clock.h"
#include "load/load.h"
#include "retry/retry.h"

#define TICKET_MAX 256
#define READ_BYTES 16384

/* State that all threads of a run share. */
struct run {
	const struct load_options *options;
	char *body;
	char *ticket_path;
	int64_t start;
	int64_t end;
	int64_t next; /* number of the next request; atomic */
};

struct worker {
	pthread_t thread;
	struct run *run;
	ne_session *session;
	struct load_result result;
};

/* The outcome of one HTTP request. */
struct response {
	enum load_end end;
	char ticket[TICKET_MAX]; /* "" if the response has none */
};

bool load_parse_address(const char *text, char host[16], unsigned *port)
{
	const char *colon = strchr(text, ':');
	struct in_addr address;
	char *end;
	long number;

	if (!colon || colon - text >= 16)
		return false;
	g_strlcpy(host, text, (gsize)(colon - text) + 1);
	/* Load may be sent to daemons on this host only. */
	if (inet_pton(AF_INET, host, &address) != 1 ||
	    strncmp(host, "127.0.0.", 8) != 0)
		return false;
	if (!g_ascii_isdigit(colon[1]))
		return false;
	number = strtol(colon + 1, &end, 10);
	if (*end || number < 1 || number > 65535)
		return false;
	*port = (unsigned)number;
	return true;
}

static void sleep_until(int64_t at)
{
	struct timespec time = {
		.tv_sec = at / NS_PER_SEC,
		.tv_nsec = at % NS_PER_SEC,
	};

	while (clock_nanosleep(CLOCK_MONOTONIC, TIMER_ABSTIME, &time, NULL))
		;
}

static enum load_end end_of_error(int error)
{
	switch (error) {
	case NE_CONNECT:
	case NE_LOOKUP:
		return LOAD_CONNECT;
	case NE_TIMEOUT:
		return LOAD_TIMEOUT;
	default:
		return LOAD_BROKEN;
	}
}

static enum load_end end_of_answer(ne_request *request)
{
	const char *text =
		ne_get_response_header(request, "Godwitspur-Outcome");
	enum outcome outcome;

	if (ne_get_status(request)->klass == 2)
		return LOAD_SUCCESS;
	if (!text || !outcome_parse(&outcome, text))
		return LOAD_NO_OUTCOME;
	switch (outcome) {
	case OUTCOME_RAN:
		return LOAD_RAN;
	case OUTCOME_NOT_RUN:
		return LOAD_NOT_RUN;
	case OUTCOME_UNKNOWN:
		break;
	}
	return LOAD_UNKNOWN;
}

/* Reads the whole body, so that a truncated response is detected. */
static int read_body(struct worker *worker, ne_request *request)
{
	char buffer[READ_BYTES];
	ssize_t n;

	while ((n = ne_read_response_block(request, buffer, sizeof(buffer))) >
	       0)
		worker->result.bytes += (uint64_t)n;
	return n < 0 ? NE_ERROR : NE_OK;
}

static int dispatch(struct worker *worker, ne_request *request)
{
	int error;

	do {
		error = ne_begin_request(request);
		if (!error)
			error = read_body(worker, request);
		if (!error)
			error = ne_end_request(request);
	} while (error == NE_RETRY);
	return error;
}

static void send_request(struct worker *worker, const char *method,
			 const char *path, const char *ticket,
			 size_t body_bytes, struct response *response)
{
	const struct load_options *options = worker->run->options;
	ne_request *request = ne_request_create(worker->session, method, path);
	bool for_ticket = path == worker->run->ticket_path;
	const char *given;
	int error;

	/*
	 * neon repeats a request when it finds a persistent connection closed.
	 * The flag is cleared for methods that must not be repeated, and neon
	 * then opens a connection for each request. Repeating is harmless for
	 * requests with a ticket and for requests for tickets.
	 */
	if (!method_is_idempotent(method) && !ticket && !for_ticket)
		ne_set_request_flag(request, NE_REQFLAG_IDEMPOTENT, 0);
	if (options->caller)
		ne_add_request_header(request, "Godwitspur-Caller",
				      options->caller);
	if (ticket)
		ne_add_request_header(request, "Idempotency-Key", ticket);
	if (body_bytes)
		ne_set_request_body_buffer(request, worker->run->body,
					   body_bytes);
	response->ticket[0] = '\0';
	error = dispatch(worker, request);
	if (error) {
		response->end = end_of_error(error);
		/* The next request must not read the rest of this one. */
		ne_close_connection(worker->session);
	} else {
		response->end = end_of_answer(request);
		given = ne_get_response_header(request, "Godwitspur-Ticket");
		if (given)
			g_strlcpy(response->ticket, given, TICKET_MAX);
		if (ne_get_response_header(request, "Godwitspur-Replayed"))
			worker->result.replays++;
	}
	ne_request_destroy(request);
}

static bool should_resend(enum load_end end)
{
	return end != LOAD_SUCCESS && end != LOAD_RAN;
}

/* Sends a request with its own ticket, with up to options->resends resends. */
static enum load_end send_with_ticket(struct worker *worker)
{
	const struct load_options *options = worker->run->options;
	char ticket[TICKET_MAX];
	struct response response;

	send_request(worker, "POST", worker->run->ticket_path, NULL, 0,
		     &response);
	if (response.end != LOAD_SUCCESS || !response.ticket[0])
		return LOAD_NO_TICKET;
	g_strlcpy(ticket, response.ticket, sizeof(ticket));
	for (int i = 0;; i++) {
		send_request(worker, options->method, options->path, ticket,
			     options->body_bytes, &response);
		if (!should_resend(response.end) || i == options->resends)
			return response.end;
		worker->result.resends++;
	}
}

static void one_request(struct worker *worker, int64_t due)
{
	const struct load_options *options = worker->run->options;
	struct load_result *result = &worker->result;
	struct response response;
	int64_t latency;

	if (options->tickets)
		response.end = send_with_ticket(worker);
	else
		send_request(worker, options->method, options->path, NULL,
			     options->body_bytes, &response);
	latency = clock_monotonic_ns() - due;
	result->requests++;
	result->ends[response.end]++;
	quantiles_add(&result->all, latency);
	if (response.end == LOAD_SUCCESS)
		quantiles_add(&result->success, latency);
}

static void *work(void *data)
{
	struct worker *worker = data;
	struct run *run = worker->run;
	const struct load_options *options = run->options;

	for (;;) {
		int64_t number =
			__atomic_fetch_add(&run->next, 1, __ATOMIC_RELAXED);
		int64_t due = clock_monotonic_ns();

		if (options->count && number >= options->count)
			break;
		if (options->rate > 0)
			due = run->start +
			      (int64_t)((double)number * NS_PER_SEC /
					options->rate);
		if (due >= run->end || clock_monotonic_ns() >= run->end)
			break;
		if (options->rate > 0)
			sleep_until(due);
		one_request(worker, due);
	}
	return NULL;
}

static void count_connection(void *data, ne_session_status status,
			     const ne_session_status_info *info)
{
	struct worker *worker = data;

	(void)info;
	if (status == ne_status_connected)
		worker->result.connections++;
}

static bool open_session(struct worker *worker, int index)
{
	const struct load_options *options = worker->run->options;
	const char *address = options->addresses[index % options->nr_addresses];
	char host[16];
	unsigned port;

	if (!load_parse_address(address, host, &port)) {
		fprintf(stderr, "%s: not an address 127.0.0.X:PORT\n", address);
		return false;
	}
	worker->session = ne_session_create("http", host, port);
	ne_set_read_timeout(worker->session, options->timeout);
	ne_set_connect_timeout(worker->session, options->timeout);
	ne_set_notifier(worker->session, count_connection, worker);
	return true;
}

static void merge(struct load_result *into, const struct load_result *from)
{
	into->requests += from->requests;
	for (int i = 0; i < NR_LOAD_ENDS; i++)
		into->ends[i] += from->ends[i];
	into->resends += from->resends;
	into->replays += from->replays;
	into->connections += from->connections;
	into->bytes += from->bytes;
	quantiles_merge(&into->success, &from->success);
	quantiles_merge(&into->all, &from->all);
}

static bool run_workers(struct run *run, struct worker *workers,
			struct load_result *result)
{
	int concurrency = run->options->concurrency, started = 0;

	for (int i = 0; i < concurrency; i++) {
		workers[i].run = run;
		if (!open_session(&workers[i], i))
			return false;
	}
	run->start = clock_monotonic_ns();
	run->end = run->start + run->options->seconds * NS_PER_SEC;
	for (; started < concurrency; started++) {
		if (pthread_create(&workers[started].thread, NULL, work,
				   &workers[started]))
			break;
	}
	if (started < concurrency) {
		fprintf(stderr, "cannot start thread %d of %d\n", started + 1,
			concurrency);
		/* Stops the threads that were started. */
		__atomic_store_n(&run->next, INT64_MAX / 2, __ATOMIC_RELAXED);
	}
	for (int i = 0; i < started; i++) {
		pthread_join(workers[i].thread, NULL);
		merge(result, &workers[i].result);
	}
	result->seconds =
		(double)(clock_monotonic_ns() - run->start) / NS_PER_SEC;
	return started == concurrency;
}

bool load_run(const struct load_options *options, struct load_result *result)
{
	struct run run = { .options = options };
	struct worker *workers = g_new0(struct worker, options->concurrency);
	char *escaped = g_uri_escape_string(options->path, "/", FALSE);
	bool done;

	memset(result, 0, sizeof(*result));
	ne_sock_init();
	run.ticket_path =
		g_strconcat("/.godwitspur/tickets?path=", escaped, NULL);
	run.body = g_malloc(options->body_bytes + 1);
	memset(run.body, 'b', options->body_bytes);
	done = run_workers(&run, workers, result);
	for (int i = 0; i < options->concurrency; i++) {
		if (workers[i].session)
			ne_session_destroy(workers[i].session);
	}
	ne_sock_exit();
	g_free(run.body);
	g_free(run.ticket_path);
	g_free(escaped);
	g_free(workers);
	return done;
}

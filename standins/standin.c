#include <argtable2.h>
#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "standin.h"

/*
 * The connection limit of the library only bounds threads; a stand-in that
 * limits connections itself uses struct server.accept.
 */
#define MAX_CONNECTIONS 4000
#define THREAD_STACK_BYTES (256 * 1024)

static sigset_t stop_signals;

struct standin standin = { .lock = PTHREAD_MUTEX_INITIALIZER };

/* Blocks the stop signals before any thread starts and inherits the mask. */
static void prepare(void)
{
	pthread_condattr_t attr;

	pthread_condattr_init(&attr);
	pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
	pthread_cond_init(&standin.changed, &attr);
	signal(SIGPIPE, SIG_IGN);
	sigemptyset(&stop_signals);
	sigaddset(&stop_signals, SIGTERM);
	sigaddset(&stop_signals, SIGINT);
	pthread_sigmask(SIG_BLOCK, &stop_signals, NULL);
}

void standin_parse(int argc, char **argv, void **argtable)
{
	struct arg_lit *help = argtable[0];
	struct arg_end *end;
	int nr = 0, nr_errors;

	if (arg_nullcheck(argtable)) {
		fprintf(stderr, "%s: out of memory\n", argv[0]);
		exit(1);
	}
	while (!(((struct arg_hdr *)argtable[nr])->flag & ARG_TERMINATOR))
		nr++;
	end = argtable[nr];
	nr_errors = arg_parse(argc, argv, argtable);
	if (!help->count && !nr_errors) {
		prepare();
		return;
	}
	if (!help->count)
		arg_print_errors(stderr, end, argv[0]);
	fprintf(stderr, "usage: %s", argv[0]);
	arg_print_syntax(stderr, argtable, "\n");
	arg_print_glossary(stderr, argtable, "  %-28s %s\n");
	exit(help->count ? 0 : 2);
}

/* Only loopback addresses: a stand-in is never offered to other hosts. */
static bool parse_address(const char *text, struct sockaddr_in *address)
{
	g_auto(GStrv) parts = g_strsplit(text, ":", 2);
	int64_t port;

	memset(address, 0, sizeof(*address));
	address->sin_family = AF_INET;
	if (g_strv_length(parts) != 2 ||
	    inet_pton(AF_INET, parts[0], &address->sin_addr) != 1 ||
	    ntohl(address->sin_addr.s_addr) >> 8 != 0x7f0000 ||
	    !parse_number(parts[1], 65535, &port))
		return false;
	address->sin_port = htons((uint16_t)port);
	return true;
}

/* Called first for a request; its result becomes *context of on_request(). */
static void *on_target(void *cls, const char *target,
		       struct MHD_Connection *connection)
{
	struct request *request = g_new0(struct request, 1);

	(void)cls;
	request->connection = connection;
	request->target = g_strdup(target);
	request->body = g_byte_array_new();
	return request;
}

static void on_completed(void *cls, struct MHD_Connection *connection,
			 void **context, enum MHD_RequestTerminationCode code)
{
	struct request *request = *context;

	(void)cls;
	(void)connection;
	(void)code;
	if (!request)
		return;
	g_byte_array_unref(request->body);
	g_free(request->target);
	g_free(request);
	*context = NULL;
}

static enum MHD_Result on_request(void *cls, struct MHD_Connection *connection,
				  const char *path, const char *method,
				  const char *version, const char *upload,
				  size_t *upload_len, void **context)
{
	const struct server *server = cls;
	struct request *request = *context;
	size_t room;

	(void)connection;
	(void)version;
	if (!request->method) {
		request->method = method;
		request->path = path;
		return MHD_YES;
	}
	if (*upload_len) {
		room = server->body_max - request->body->len;
		g_byte_array_append(request->body, (const guint8 *)upload,
				    (guint)MIN(room, *upload_len));
		request->body_len += *upload_len;
		*upload_len = 0;
		return MHD_YES;
	}
	if (request->body_len > server->body_max)
		return reply_text(request, MHD_HTTP_CONTENT_TOO_LARGE,
				  "the body is too large");
	return server->handle(request);
}

static bool start_server(struct server *server)
{
	struct sockaddr_in address;

	if (!parse_address(server->address, &address)) {
		log_event(LOG_ERR, "bad_address",
			  "server=%s address=%s reason=\"not 127.0.0.x:port\"",
			  server->name, log_quote(server->address));
		return false;
	}
	server->daemon = MHD_start_daemon(
		MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_POLL |
			MHD_USE_THREAD_PER_CONNECTION,
		0, server->accept, NULL, on_request, server,
		MHD_OPTION_SOCK_ADDR, &address, MHD_OPTION_CONNECTION_LIMIT,
		(unsigned int)MAX_CONNECTIONS, MHD_OPTION_THREAD_STACK_SIZE,
		(size_t)THREAD_STACK_BYTES, MHD_OPTION_URI_LOG_CALLBACK,
		on_target, NULL, MHD_OPTION_NOTIFY_COMPLETED, on_completed,
		NULL, MHD_OPTION_NOTIFY_CONNECTION, server->notify, NULL,
		MHD_OPTION_END);
	if (!server->daemon) {
		log_event(LOG_ERR, "cannot_listen",
			  "server=%s address=%s reason=%s", server->name,
			  server->address, log_quote(strerror(errno)));
		return false;
	}
	log_event(LOG_INFO, "listening", "server=%s address=%s", server->name,
		  server->address);
	return true;
}

int standin_run(struct server *servers, size_t nr)
{
	bool started = true;
	int signal_nr;

	for (size_t i = 0; started && i < nr; i++)
		started = start_server(&servers[i]);
	if (started)
		sigwait(&stop_signals, &signal_nr);

	pthread_mutex_lock(&standin.lock);
	standin.stopping = true;
	standin_notify();
	pthread_mutex_unlock(&standin.lock);
	for (size_t i = 0; i < nr; i++)
		if (servers[i].daemon)
			MHD_stop_daemon(servers[i].daemon);
	return started ? 0 : 1;
}

bool standin_wait(int64_t deadline)
{
	struct timespec ts = { .tv_sec = deadline / NS_PER_SEC,
			       .tv_nsec = deadline % NS_PER_SEC };

	if (standin.stopping || clock_monotonic_ns() >= deadline)
		return false;
	pthread_cond_timedwait(&standin.changed, &standin.lock, &ts);
	return !standin.stopping;
}

void standin_notify(void)
{
	pthread_cond_broadcast(&standin.changed);
}

bool request_is(const struct request *request, const char *method,
		const char *path)
{
	return !strcmp(request->method, method) && !strcmp(request->path, path);
}

const char *request_header(const struct request *request, const char *name)
{
	return MHD_lookup_connection_value(request->connection, MHD_HEADER_KIND,
					   name);
}

const char *request_query(const struct request *request, const char *name)
{
	return MHD_lookup_connection_value(request->connection,
					   MHD_GET_ARGUMENT_KIND, name);
}

bool parse_number(const char *text, int64_t max, int64_t *value)
{
	guint64 number;

	if (!g_ascii_string_to_unsigned(text, 10, 0, (guint64)max, &number,
					NULL))
		return false;
	*value = (int64_t)number;
	return true;
}

bool request_number(const struct request *request, const char *name,
		    int64_t max, int64_t fallback, int64_t *value)
{
	const char *text = request_query(request, name);

	*value = fallback;
	return !text || parse_number(text, max, value);
}

enum MHD_Result reply(const struct request *request, unsigned int status,
		      const void *body, size_t len, ...)
{
	struct MHD_Response *response =
		MHD_create_response_from_buffer(len, (void *)body,
						MHD_RESPMEM_MUST_COPY);
	enum MHD_Result result;
	const char *name;
	va_list args;

	va_start(args, len);
	while ((name = va_arg(args, const char *)))
		MHD_add_response_header(response, name,
					va_arg(args, const char *));
	va_end(args);
	result = MHD_queue_response(request->connection, status, response);
	MHD_destroy_response(response);
	return result;
}

enum MHD_Result reply_text(const struct request *request, unsigned int status,
			   const char *text)
{
	g_autofree char *line = g_strdup_printf("%s\n", text);

	return reply(request, status, line, strlen(line), "Content-Type",
		     "text/plain", NULL);
}

enum MHD_Result reply_json(const struct request *request, unsigned int status,
			   json_t *json)
{
	char *text = json_dumps(json, JSON_COMPACT);
	enum MHD_Result result;

	json_decref(json);
	if (!text)
		return MHD_NO;
	result = reply(request, status, text, strlen(text), "Content-Type",
		       "application/json", NULL);
	free(text);
	return result;
}

json_t *json_text(const char *text)
{
	g_autofree char *valid = text ? g_utf8_make_valid(text, -1) : NULL;

	return valid ? json_string(valid) : json_null();
}

enum MHD_Result fault_control(const struct request *request,
			      const char *const *modes, void (*changed)(void))
{
	const char *name = request_query(request, "mode");
	struct fault fault = { 0 };
	int64_t hang;

	while (name && modes[fault.mode] && strcmp(modes[fault.mode], name))
		fault.mode++;
	if (!name || !modes[fault.mode])
		return reply_text(request, 400, "unknown mode");
	if (!request_number(request, "ms", 600000, 0, &fault.ms) ||
	    !request_number(request, "hang", 1, 0, &hang))
		return reply_text(request, 400, "bad ms or hang");
	fault.hang = hang;

	pthread_mutex_lock(&standin.lock);
	standin.fault = fault;
	if (changed)
		changed();
	standin_notify();
	pthread_mutex_unlock(&standin.lock);
	return reply_text(request, 200, name);
}

void fault_delay(void)
{
	int64_t until = clock_monotonic_ns() + standin.fault.ms * NS_PER_MS;
	int mode = standin.fault.mode;

	while (standin.fault.mode == mode && standin_wait(until))
		;
}

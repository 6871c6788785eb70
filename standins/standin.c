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
 * Connection limit of libmicrohttpd, which bounds the number of threads. A
 * stand-in that limits connections itself uses accept of struct server.
 */
#define MAX_CONNECTIONS 4000
#define MAX_SETTINGS 20
#define THREAD_STACK_BYTES (256 * 1024)

struct standin standin = { .lock = PTHREAD_MUTEX_INITIALIZER };

static void *make_argument(const struct setting *setting)
{
	struct arg_int *number;

	if (!setting->unit)
		return arg_lit0(NULL, setting->name, setting->help);
	if (!g_str_equal(setting->unit, "N"))
		return arg_str0(NULL, setting->name, setting->unit,
				setting->help);
	number = arg_int0(NULL, setting->name, "N", setting->help);
	if (number)
		number->ival[0] = setting->number;
	return number;
}

/* Copies an argument into its setting; returns false if it is negative. */
static bool take_argument(struct setting *setting, const void *argument)
{
	if (!setting->unit)
		setting->number = ((const struct arg_lit *)argument)->count;
	else if (g_str_equal(setting->unit, "N"))
		setting->number = *((const struct arg_int *)argument)->ival;
	else if (((const struct arg_str *)argument)->count)
		setting->text = *((const struct arg_str *)argument)->sval;
	return setting->number >= 0;
}

/* Parses the command line; exits if it is wrong or has --help. */
static void parse(int argc, char **argv, struct setting *settings,
		  const char **listen, const char **control)
{
	struct arg_lit *help = arg_lit0(NULL, "help", "print this and exit");
	struct arg_str *first = arg_str1(NULL, "listen", "ADDRESS:PORT",
					 "service address, 127.0.0.x:port");
	struct arg_str *second = arg_str1(NULL, "control", "ADDRESS:PORT",
					  "control address, 127.0.0.x:port");
	struct arg_end *end = arg_end(5);
	void *table[MAX_SETTINGS + 4] = { help, first, second };
	bool valid;
	size_t nr;

	for (nr = 0; nr < MAX_SETTINGS && settings[nr].name; nr++)
		table[nr + 3] = make_argument(&settings[nr]);
	table[nr + 3] = end;
	if (arg_nullcheck(table))
		exit(1);
	valid = !arg_parse(argc, argv, table);
	for (size_t i = 0; valid && i < nr; i++)
		valid = take_argument(&settings[i], table[i + 3]);
	if (valid && !help->count) {
		*listen = *first->sval;
		*control = *second->sval;
		/* Texts point into argv and remain valid. */
		arg_freetable(table, nr + 4);
		return;
	}
	arg_print_errors(stderr, end, argv[0]);
	fprintf(stderr, "usage: %s", argv[0]);
	arg_print_syntax(stderr, table, "\n");
	arg_print_glossary(stderr, table, "  %-24s %s\n");
	exit(help->count ? 0 : 2);
}

/* Accepts only 127.0.0.x, so that other hosts cannot reach a test double. */
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

/* First callback of a request; the result becomes *context in on_request(). */
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
				  "request body is too large");
	return server->handle(request);
}

/* Returns NULL if the address is invalid or in use. */
static struct MHD_Daemon *start_server(const struct server *server,
				       const char *text)
{
	struct sockaddr_in address;
	struct MHD_Daemon *daemon;

	errno = EINVAL;
	if (!parse_address(text, &address))
		return NULL;
	daemon = MHD_start_daemon(
		MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_POLL |
			MHD_USE_THREAD_PER_CONNECTION,
		0, server->accept, NULL, on_request, (void *)server,
		MHD_OPTION_SOCK_ADDR, &address, MHD_OPTION_CONNECTION_LIMIT,
		(unsigned int)MAX_CONNECTIONS, MHD_OPTION_THREAD_STACK_SIZE,
		(size_t)THREAD_STACK_BYTES, MHD_OPTION_URI_LOG_CALLBACK,
		on_target, NULL, MHD_OPTION_NOTIFY_COMPLETED, on_completed,
		NULL, MHD_OPTION_NOTIFY_CONNECTION, server->notify, NULL,
		MHD_OPTION_END);
	if (daemon)
		log_event(LOG_INFO, "listening", "address=%s", text);
	else
		log_event(LOG_ERR, "cannot_listen", "address=%s reason=%s",
			  log_quote(text), log_quote(strerror(errno)));
	return daemon;
}

/* Blocks the stop signals before any thread starts and inherits the mask. */
static void prepare_threads(sigset_t *stop_signals)
{
	pthread_condattr_t attr;

	pthread_condattr_init(&attr);
	pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
	pthread_cond_init(&standin.changed, &attr);
	signal(SIGPIPE, SIG_IGN);
	sigemptyset(stop_signals);
	sigaddset(stop_signals, SIGTERM);
	sigaddset(stop_signals, SIGINT);
	pthread_sigmask(SIG_BLOCK, stop_signals, NULL);
}

int standin_main(int argc, char **argv, struct setting *settings,
		 void (*init)(void), const struct server *listen,
		 const struct server *control)
{
	struct MHD_Daemon *first, *second = NULL;
	const char *address, *control_address;
	sigset_t stop_signals;
	int signal_nr;

	parse(argc, argv, settings, &address, &control_address);
	prepare_threads(&stop_signals);
	if (init)
		init();
	first = start_server(listen, address);
	if (first)
		second = start_server(control, control_address);
	if (second)
		sigwait(&stop_signals, &signal_nr);

	pthread_mutex_lock(&standin.lock);
	standin.stopping = true;
	standin_notify();
	pthread_mutex_unlock(&standin.lock);
	if (first)
		MHD_stop_daemon(first);
	if (second)
		MHD_stop_daemon(second);
	return second ? 0 : 1;
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
	return g_str_equal(request->method, method) &&
	       g_str_equal(request->path, path);
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

enum MHD_Result reply_with(const struct request *request, unsigned int status,
			   struct MHD_Response *response)
{
	enum MHD_Result result;

	if (standin.common[0])
		MHD_add_response_header(response, standin.common[0],
					standin.common[1]);
	result = MHD_queue_response(request->connection, status, response);
	MHD_destroy_response(response);
	return result;
}

enum MHD_Result reply(const struct request *request, unsigned int status,
		      const void *body, size_t len, const char *name,
		      const char *value)
{
	struct MHD_Response *response =
		MHD_create_response_from_buffer(len, (void *)body,
						MHD_RESPMEM_MUST_COPY);

	if (name)
		MHD_add_response_header(response, name, value);
	return reply_with(request, status, response);
}

enum MHD_Result reply_text(const struct request *request, unsigned int status,
			   const char *text)
{
	return reply(request, status, text, strlen(text), NULL, NULL);
}

enum MHD_Result reply_json(const struct request *request, unsigned int status,
			   json_t *json)
{
	char *text = json_dumps(json, JSON_COMPACT | JSON_ENCODE_ANY);
	enum MHD_Result result;

	json_decref(json);
	if (!text)
		return MHD_NO;
	result = reply(request, status, text, strlen(text), "Content-Type",
		       "application/json");
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

	while (name && modes[fault.mode] &&
	       !g_str_equal(modes[fault.mode], name))
		fault.mode++;
	if (!name || !modes[fault.mode])
		return reply_text(request, 400, "unknown mode");
	if (!request_number(request, "ms", 600000, 0, &fault.ms) ||
	    !request_number(request, "hang", 1, 0, &hang))
		return reply_text(request, 400, "ms or hang is invalid");
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

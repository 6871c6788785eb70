/*
 * Stand-in of a target, as PROTOCOL.md describes it: runs a number of requests
 * at once, queues a few more, rejects the rest, refuses requests that expect
 * another instance, and stops work when the connection closes or the time
 * budget has passed. It may turn cold again and again, and says in its health
 * answers for how long. The log has a line for each run.
 */
#include <errno.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "tool-2.h"

#define QUEUE_PER_SLOT 4
#define ID_BYTES 256
#define DEFAULT_TIMEOUT_MS 60000

/* The options; set before the first connection. */
static const char *instance, *service;
static long slots, work_ms, answer_bytes;
static bool spread;	       /* requests take 20 to 180% of work_ms */
static bool brief;	       /* log only runs, and only while cold */
static const char *crash_path; /* a request with it ends the process */
static long cold_first_ms, cold_ms, cold_every_ms;
static int64_t started;
static char *answer_body;

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t slot_freed = PTHREAD_COND_INITIALIZER;
static long nr_running, nr_waiting; /* guarded by lock */

/*
 * How much longer the target is cold; 0: it is warm. Each cold time begins up
 * to 256 ms later than its interval, so that it comes at any moment for others.
 */
static int64_t cold_left_ms(void)
{
	int64_t since = now_ms() - started - cold_first_ms;
	int64_t number = cold_every_ms ? since / cold_every_ms : 0;

	if (!cold_ms || since < 0)
		return 0;
	since -= number * cold_every_ms + number * 167 % 256;
	return since >= 0 && since < cold_ms ? cold_ms - since : 0;
}

/* Takes a slot, after a wait in the queue; false when the queue is full. */
static bool take_slot(void)
{
	bool taken = false;

	pthread_mutex_lock(&lock);
	if (nr_running < slots || nr_waiting < slots * QUEUE_PER_SLOT) {
		nr_waiting++;
		while (nr_running >= slots)
			pthread_cond_wait(&slot_freed, &lock);
		nr_waiting--;
		nr_running++;
		taken = true;
	}
	pthread_mutex_unlock(&lock);
	return taken;
}

static void free_slot(void)
{
	pthread_mutex_lock(&lock);
	nr_running--;
	pthread_cond_signal(&slot_freed);
	pthread_mutex_unlock(&lock);
}

static bool reply(int fd, const char *status, const char *id,
		  const char *fields, const char *body, size_t len)
{
	char head[1024];
	int n = snprintf(head, sizeof(head),
			 "HTTP/1.1 %s\r\nX-Instance-Id: %s\r\n%s%s%s%s"
			 "Keep-Alive: timeout=10\r\nContent-Length: %zu\r\n"
			 "\r\n",
			 status, instance, *id ? "X-Request-Id: " : "", id,
			 *id ? "\r\n" : "", fields, len);

	return write_all(fd, head, (size_t)n) && write_all(fd, body, len);
}

static bool reject(int fd, const char *status, const char *id)
{
	log_line("reject id=%s status=%.3s", *id ? id : "-", status);
	return reply(fd, status, id, "X-Not-Executed: 1\r\n", "", 0);
}

static bool answer_health(int fd)
{
	char fields[64];
	bool ok;

	if (!take_slot())
		return reject(fd, "503 Service Unavailable", "");
	snprintf(fields, sizeof(fields), "X-Warmup-Ms: %lld\r\n",
		 (long long)cold_left_ms());
	ok = reply(fd, "200 OK", "", fields, "", 0);
	free_slot();
	return ok;
}

/* Works until a time; false when the connection closes meanwhile. */
static bool work_until(int fd, int64_t end)
{
	struct pollfd wait = { .fd = fd, .events = POLLRDHUP };

	while (now_ms() < end) {
		int n = poll(&wait, 1, (int)(end - now_ms()));

		if (n > 0)
			return false;
		if (n < 0 && errno != EINTR)
			return false;
	}
	return true;
}

static void log_run(const struct message *message, const char *id)
{
	char caller[ID_BYTES], expected[ID_BYTES], line[512];

	if (brief && !cold_left_ms())
		return;
	get_header(message, "X-Caller-Service", caller, sizeof(caller));
	get_header(message, "X-Expected-Instance", expected, sizeof(expected));
	snprintf(line, sizeof(line), "%.*s",
		 (int)strcspn(message->data, "\r\n"), message->data);
	log_line("run id=%s service=%s instance=%s cold=%d caller=%s "
		 "expected=%s body=%zu %.300s",
		 id, service, instance, cold_left_ms() > 0, caller, expected,
		 message->body_len, line);
}

/* How long a request takes; the same one always takes as long. */
static int64_t run_ms(const char *id)
{
	uint32_t hash = 2166136261U;

	if (!spread)
		return work_ms;
	for (; *id; id++)
		hash = (hash ^ (unsigned char)*id) * 16777619U;
	return work_ms * (20 + hash % 161) / 100;
}

static bool run(int fd, const struct message *message, const char *id)
{
	int64_t arrival = now_ms(), needed = run_ms(id);
	int64_t budget_ms = DEFAULT_TIMEOUT_MS;
	char timeout[32];
	bool open, late;

	if (get_header(message, "X-Timeout-Ms", timeout, sizeof(timeout)))
		budget_ms = strtol(timeout, NULL, 10);
	if (!take_slot())
		return reject(fd, "503 Service Unavailable", id);
	if (now_ms() >= arrival + budget_ms) {
		free_slot();
		return reject(fd, "503 Service Unavailable", id);
	}
	log_run(message, id);
	if (*crash_path && strstr(message->data, crash_path)) {
		log_line("crash id=%s", id);
		_exit(1);
	}
	late = now_ms() + needed > arrival + budget_ms;
	open = work_until(fd, late ? arrival + budget_ms : now_ms() + needed);
	free_slot();
	if (!brief)
		log_line("end id=%s result=%s", id,
			 !open	? "cut"
			 : late ? "504"
				: "200");
	if (!open)
		return false;
	if (late)
		return reply(fd, "504 Gateway Timeout", id,
			     "X-Server-Signature: late\r\n", "", 0);
	return reply(fd, "200 OK", id, "X-Server-Signature: signed\r\n",
		     answer_body, (size_t)answer_bytes);
}

static bool serve(int fd, const struct message *message)
{
	char id[ID_BYTES], expected[ID_BYTES];

	if (!strncmp(message->data, "GET /health ", 12))
		return answer_health(fd);
	if (!get_header(message, "X-Request-Id", id, sizeof(id)))
		return reject(fd, "400 Bad Request", "");
	if (get_header(message, "X-Expected-Instance", expected,
		       sizeof(expected)) &&
	    strcmp(expected, instance) != 0)
		return reject(fd, "421 Misdirected Request", id);
	return run(fd, message, id);
}

static void *serve_connection(void *arg)
{
	struct message message = { 0 };
	int fd = (int)(intptr_t)arg;
	int on = 1;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));

	while (read_message(fd, &message) && serve(fd, &message))
		next_message(&message);
	free(message.data);
	close(fd);
	return NULL;
}

static int listen_at(const char *text)
{
	struct sockaddr_in address = parse_address(text);
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	int on = 1;

	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(fd, (struct sockaddr *)&address, sizeof(address)) ||
	    listen(fd, 512)) {
		perror(text);
		exit(2);
	}
	return fd;
}

int main(int argc, char **argv)
{
	pthread_attr_t attr;
	int listener;

	signal(SIGPIPE, SIG_IGN);
	instance = option(argc, argv, "--id", "i-1");
	service = option(argc, argv, "--service", "shop");
	slots = number_option(argc, argv, "--slots", 9);
	work_ms = number_option(argc, argv, "--work-ms", 30);
	spread = number_option(argc, argv, "--spread", 0);
	crash_path = option(argc, argv, "--crash-path", "");
	brief = number_option(argc, argv, "--brief", 0);
	answer_bytes = number_option(argc, argv, "--answer-bytes", 400);
	cold_first_ms = number_option(argc, argv, "--cold-first-ms", 0);
	cold_ms = number_option(argc, argv, "--cold-ms", 0);
	cold_every_ms = number_option(argc, argv, "--cold-every-ms", 0);
	answer_body = malloc((size_t)answer_bytes + 1);
	if (!answer_body)
		return 2;
	memset(answer_body, 'x', (size_t)answer_bytes);
	log_open(option(argc, argv, "--log", "/dev/null"));
	listener = listen_at(option(argc, argv, "--listen", "127.0.0.1:7105"));
	started = now_ms();
	pthread_attr_init(&attr);
	pthread_attr_setdetachstate(&attr, PTHREAD_CREATE_DETACHED);
	pthread_attr_setstacksize(&attr, 256 * 1024);
	for (;;) {
		int fd = accept(listener, NULL, NULL);
		pthread_t thread;

		if (fd >= 0 && pthread_create(&thread, &attr, serve_connection,
					      (void *)(intptr_t)fd))
			close(fd);
	}
}

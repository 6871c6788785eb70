/*
 * Stand-in of consumers: a number of clients, each on a kept connection of its
 * own. A client sends its next request after the answer to the last one, at its
 * share of a rate on the average, or at once. The log has a line for each
 * request and one for its end: the answer's status and whether its body is
 * whole, or that the connection has ended without it. With --count, the exit
 * status is 1 unless all answers had status 200.
 */
#include <netinet/tcp.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include "tool-2.h"

/* Time after which a consumer gives a request up, beyond its time budget. */
#define SLACK_MS 3000

/* Pause after a connection that failed or an answer that is no success. */
#define PAUSE_MS 100

#define CLIENTS_MAX 256

static struct sockaddr_in address;
static const char *method, *path, *prefix, *host;
static long nr_clients, rate, timeout_ms, count, body_bytes, pause_ms;
static bool small_first; /* a client's first request has no body */
static bool brief;	 /* log the answers of each second, not each one */
static int64_t end_ms;
static char *body;
static bool numbered; /* each request has a path of its own */
static bool failed;   /* a counted request had no answer with status 200 */

struct client {
	int number;
	int fd; /* -1: not connected */
	struct message message;
	pthread_t thread;
};

static bool connect_client(struct client *client)
{
	long wait_ms = timeout_ms + SLACK_MS;
	struct timeval wait = { .tv_sec = wait_ms / 1000,
				.tv_usec = wait_ms % 1000 * 1000 };
	int on = 1;

	if (client->fd >= 0)
		return true;
	client->message.have = 0;
	client->message.head_len = 0;
	if (client->message.data)
		client->message.data[0] = '\0';
	client->fd = socket(AF_INET, SOCK_STREAM, 0);
	setsockopt(client->fd, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof(wait));
	setsockopt(client->fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	if (!connect(client->fd, (const struct sockaddr *)&address,
		     sizeof(address)))
		return true;
	close(client->fd);
	client->fd = -1;
	return false;
}

static void disconnect(struct client *client)
{
	close(client->fd);
	client->fd = -1;
}

static bool send_request(struct client *client, const char *id, long number)
{
	size_t len = small_first && number == 1 ? 0 : (size_t)body_bytes;
	char head[8192], suffix[64] = "";
	int n;

	if (numbered)
		snprintf(suffix, sizeof(suffix), "%d/%ld", client->number,
			 number);
	n = snprintf(head, sizeof(head),
		     "%s %s%s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\n"
		     "X-Timeout-Ms: %ld\r\nContent-Length: %zu\r\n\r\n",
		     method, path, suffix, host, id, timeout_ms, len);
	return write_all(client->fd, head, (size_t)n) &&
	       write_all(client->fd, body, len);
}

/* Counts an answer; logs the counts of the second that has ended. */
static void count_answer(int status)
{
	static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
	static long second, served, refused, other;

	pthread_mutex_lock(&lock);
	if (second && now_ms() / 1000 != second) {
		log_line("answers prefix=%s status=200:%ld status=503:%ld "
			 "other:%ld",
			 prefix, served, refused, other);
		served = refused = other = 0;
	}
	second = now_ms() / 1000;
	if (status == 200)
		served++;
	else if (status == 503)
		refused++;
	else
		other++;
	pthread_mutex_unlock(&lock);
}

/* Sends a request and reads its answer. Returns its status, 0 if none came. */
static int exchange(struct client *client, long number)
{
	struct message *message = &client->message;
	char id[128], signature[64], connection[32];
	bool sent, whole;
	int status;

	snprintf(id, sizeof(id), "%s-%d-%ld", prefix, client->number, number);
	if (!brief)
		log_line("sent id=%s", id);
	sent = send_request(client, id, number);
	/* A refusal may come before all of the body was sent. */
	whole = read_message(client->fd, message);
	if (!whole && !message->head_len) {
		log_line("closed id=%s sent=%d", id, sent);
		disconnect(client);
		return 0;
	}
	status = (int)strtol(message->data + strlen("HTTP/1.1 "), NULL, 10);
	get_header(message, "X-Server-Signature", signature, sizeof(signature));
	get_header(message, "Connection", connection, sizeof(connection));
	if (brief)
		count_answer(status);
	else
		log_line("answer id=%s status=%d whole=%d signature=%s", id,
			 status, whole, *signature ? signature : "-");
	if (!whole || !strcmp(connection, "close"))
		disconnect(client);
	else
		next_message(message);
	return status;
}

static void *run_client(void *arg)
{
	struct client *client = arg;
	unsigned seed = (unsigned)client->number + 1;
	int64_t next = now_ms();

	/* The clients begin evenly over the interval of one of them. */
	if (rate)
		next += 1000 * client->number / rate;
	for (long number = 1; !count || number <= count; number++) {
		if (end_ms && now_ms() >= end_ms)
			break;
		if (rate)
			sleep_until(next);
		if (rate)
			next += 500 * nr_clients / rate +
				rand_r(&seed) % (1000 * nr_clients / rate + 1);
		if (next < now_ms())
			next = now_ms();
		if (!connect_client(client)) {
			failed |= count > 0;
			sleep_until(now_ms() + PAUSE_MS);
			continue;
		}
		if (exchange(client, number) != 200) {
			failed |= count > 0;
			sleep_until(now_ms() + PAUSE_MS);
		}
		if (pause_ms && (!count || number < count))
			sleep_until(now_ms() + pause_ms);
	}
	return NULL;
}

int main(int argc, char **argv)
{
	static struct client clients[CLIENTS_MAX];
	const char *text = option(argc, argv, "--body", NULL);
	long seconds;

	signal(SIGPIPE, SIG_IGN);
	address = parse_address(option(argc, argv, "--to", "127.0.0.1:7101"));
	method = option(argc, argv, "--method", "GET");
	path = option(argc, argv, "--path", "/");
	host = option(argc, argv, "--host", "mesh.example");
	prefix = option(argc, argv, "--prefix", "c");
	nr_clients = number_option(argc, argv, "--clients", 1);
	rate = number_option(argc, argv, "--rate", 0);
	timeout_ms = number_option(argc, argv, "--timeout-ms", 2000);
	count = number_option(argc, argv, "--count", 0);
	pause_ms = number_option(argc, argv, "--pause-ms", 0);
	numbered = number_option(argc, argv, "--numbered", 1);
	small_first = number_option(argc, argv, "--small-first", 0);
	brief = number_option(argc, argv, "--brief", 0);
	body_bytes = text ? (long)strlen(text)
			  : number_option(argc, argv, "--body-bytes", 0);
	body = malloc((size_t)body_bytes + 1);
	if (!body || nr_clients > CLIENTS_MAX)
		return 2;
	memset(body, 'b', (size_t)body_bytes);
	if (text)
		memcpy(body, text, (size_t)body_bytes);
	log_open(option(argc, argv, "--log", "/dev/null"));
	seconds = number_option(argc, argv, "--seconds", 0);
	end_ms = seconds ? now_ms() + seconds * 1000 : 0;
	for (int i = 0; i < nr_clients; i++) {
		clients[i].number = i;
		clients[i].fd = -1;
		if (pthread_create(&clients[i].thread, NULL, run_client,
				   &clients[i]))
			return 2;
	}
	for (int i = 0; i < nr_clients; i++)
		pthread_join(clients[i].thread, NULL);
	return failed;
}

/*
 * A target for the scripts of the review. It runs one request at a time on a
 * connection, and writes one line for each request that begins to run.
 *
 * target ADDRESS:PORT ID WORK_MS LOG [CRASH_PATH]
 *
 * GET /health is the status check. A request that expects another instance gets
 * 421 and does not run. A request for CRASH_PATH ends the process as it begins
 * to run.
 */
#include <arpa/inet.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define HEAD_MAX 65536
#define MS_PER_SEC 1000
#define NS_PER_MS 1000000L

static const char *instance_id, *log_path, *crash_path;
static long work_ms;

static long now_ms(void)
{
	struct timespec now;

	clock_gettime(CLOCK_REALTIME, &now);
	return now.tv_sec * MS_PER_SEC + now.tv_nsec / NS_PER_MS;
}

static void copy_header(const char *head, const char *name, char *value,
			size_t size)
{
	size_t len = strlen(name);
	const char *line = head;

	*value = '\0';
	while ((line = strstr(line, "\r\n"))) {
		line += 2;
		if (strncasecmp(line, name, len) != 0 || line[len] != ':')
			continue;
		line += len + 1;
		line += strspn(line, " ");
		len = strcspn(line, "\r");
		if (len >= size)
			len = size - 1;
		memcpy(value, line, len);
		value[len] = '\0';
		return;
	}
}

/* Reads a head and its body; false when the connection has ended. */
static bool read_request(int fd, char *head)
{
	char length[32], body[4096];
	size_t len = 0, left, got;
	char *end = NULL;
	ssize_t n;

	while (!end) {
		n = recv(fd, head + len, HEAD_MAX - len, 0);
		if (n <= 0)
			return false;
		len += (size_t)n;
		head[len] = '\0';
		end = strstr(head, "\r\n\r\n");
		if (!end && len == HEAD_MAX)
			return false;
	}
	end += 4;
	got = len - (size_t)(end - head);
	end[-2] = '\0';
	copy_header(head, "Content-Length", length, sizeof(length));
	left = strtoul(length, NULL, 10);
	left -= got < left ? got : left;
	while (left) {
		n = recv(fd, body, left < sizeof(body) ? left : sizeof(body),
			 0);
		if (n <= 0)
			return false;
		left -= (size_t)n;
	}
	return true;
}

static bool answer(int fd, const char *status, const char *id, const char *more)
{
	char text[1024];
	int len =
		snprintf(text, sizeof(text),
			 "HTTP/1.1 %s\r\nX-Instance-Id: %s\r\n"
			 "X-Request-Id: %s\r\n%sContent-Length: 3\r\n\r\nok\n",
			 status, instance_id, id, more);

	return send(fd, text, (size_t)len, MSG_NOSIGNAL) == len;
}

/* Writes a line at once, as the process may end right after it. */
static void note_run(const char *method, const char *path, const char *id)
{
	char line[512];
	int len = snprintf(line, sizeof(line), "%ld %s %s %s %s\n", now_ms(),
			   instance_id, method, path, id);
	FILE *file = fopen(log_path, "a");

	if (!file)
		return;
	fwrite(line, 1, (size_t)len, file);
	fclose(file);
}

static bool serve_request(int fd, const char *head)
{
	struct timespec work = { .tv_sec = work_ms / MS_PER_SEC,
				 .tv_nsec = work_ms % MS_PER_SEC * NS_PER_MS };
	char method[16], path[256], id[128], expected[128];

	if (sscanf(head, "%15s %255s", method, path) != 2)
		return false;
	copy_header(head, "X-Request-Id", id, sizeof(id));
	copy_header(head, "X-Expected-Instance", expected, sizeof(expected));
	if (!strcmp(path, "/health"))
		return answer(fd, "200 OK", "", "X-Warmup-Ms: 0\r\n");
	if (*expected && strcmp(expected, instance_id) != 0)
		return answer(fd, "421 Misdirected Request", id, "");
	note_run(method, path, id);
	if (crash_path && !strcmp(path, crash_path))
		_exit(1);
	nanosleep(&work, NULL);
	return answer(fd, "200 OK", id, "X-Server-Signature: proof\r\n");
}

static void *serve(void *arg)
{
	char *head = malloc(HEAD_MAX + 1);
	int fd = (int)(intptr_t)arg;

	while (head && read_request(fd, head) && serve_request(fd, head))
		;
	free(head);
	close(fd);
	return NULL;
}

static int open_listener(const char *text)
{
	struct sockaddr_in address = { .sin_family = AF_INET };
	int fd = socket(AF_INET, SOCK_STREAM, 0), on = 1;
	char ip[64];
	unsigned port;

	if (sscanf(text, "%63[^:]:%u", ip, &port) != 2 ||
	    inet_pton(AF_INET, ip, &address.sin_addr) != 1)
		return -1;
	address.sin_port = htons((unsigned short)port);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(fd, (struct sockaddr *)&address, sizeof(address)) ||
	    listen(fd, 128))
		return -1;
	return fd;
}

int main(int argc, char **argv)
{
	int listener;

	if (argc < 5)
		return 2;
	instance_id = argv[2];
	work_ms = strtol(argv[3], NULL, 10);
	log_path = argv[4];
	crash_path = argc > 5 ? argv[5] : NULL;
	listener = open_listener(argv[1]);
	if (listener < 0)
		return 2;
	for (;;) {
		int fd = accept(listener, NULL, NULL);
		pthread_t thread;

		if (fd < 0 ||
		    pthread_create(&thread, NULL, serve, (void *)(intptr_t)fd))
			return 2;
		pthread_detach(thread);
	}
}

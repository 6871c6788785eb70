/* Code that the stand-ins of the second review share. */
#include "tool-2.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define READ_BYTES 65536
#define LINE_BYTES 2048

static int log_fd = -1;

int64_t now_ms(void)
{
	struct timespec now;

	clock_gettime(CLOCK_REALTIME, &now);
	return (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

void sleep_until(int64_t at_ms)
{
	int64_t left = at_ms - now_ms();
	struct timespec wait = { .tv_sec = left / 1000,
				 .tv_nsec = left % 1000 * 1000000 };

	if (left > 0)
		nanosleep(&wait, NULL);
}

void log_open(const char *path)
{
	log_fd = open(path, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
	if (log_fd < 0) {
		perror(path);
		exit(2);
	}
}

void log_line(const char *format, ...)
{
	char line[LINE_BYTES];
	va_list args;
	int len = snprintf(line, sizeof(line), "%lld ", (long long)now_ms());

	va_start(args, format);
	len += vsnprintf(line + len, sizeof(line) - (size_t)len, format, args);
	va_end(args);
	if (len > LINE_BYTES - 2)
		len = LINE_BYTES - 2;
	line[len++] = '\n';
	/* A single write keeps the lines of different threads apart. */
	if (log_fd >= 0 && write(log_fd, line, (size_t)len) < 0)
		perror("log");
}

struct sockaddr_in parse_address(const char *text)
{
	struct sockaddr_in address = { .sin_family = AF_INET };
	const char *colon = strchr(text, ':');
	char ip[32];

	snprintf(ip, sizeof(ip), "%.*s", colon ? (int)(colon - text) : 0, text);
	if (!colon || strncmp(ip, "127.", 4) != 0 ||
	    inet_pton(AF_INET, ip, &address.sin_addr) != 1) {
		fprintf(stderr, "%s: not 127.x.x.x:PORT\n", text);
		exit(2);
	}
	address.sin_port = htons((uint16_t)strtoul(colon + 1, NULL, 10));
	return address;
}

bool write_all(int fd, const char *data, size_t len)
{
	while (len) {
		ssize_t n = send(fd, data, len, MSG_NOSIGNAL);

		if (n < 0 && errno == EINTR)
			continue;
		if (n <= 0)
			return false;
		data += n;
		len -= (size_t)n;
	}
	return true;
}

static bool read_more(int fd, struct message *message)
{
	ssize_t n;

	if (message->capacity < message->have + READ_BYTES + 1) {
		message->capacity = 2 * message->capacity + READ_BYTES + 1;
		message->data = realloc(message->data, message->capacity);
		if (!message->data)
			abort();
	}
	do
		n = recv(fd, message->data + message->have, READ_BYTES, 0);
	while (n < 0 && errno == EINTR);
	if (n <= 0)
		return false;
	message->have += (size_t)n;
	message->data[message->have] = '\0';
	return true;
}

static void find_head(struct message *message)
{
	char length[32];
	char *end = message->data ? strstr(message->data, "\r\n\r\n") : NULL;

	if (!end)
		return;
	message->head_len = (size_t)(end + 4 - message->data);
	message->body_len = 0;
	if (get_header(message, "Content-Length", length, sizeof(length)))
		message->body_len = strtoul(length, NULL, 10);
}

bool read_message(int fd, struct message *message)
{
	message->head_len = 0;
	find_head(message);
	while (!message->head_len) {
		if (!read_more(fd, message))
			return false;
		find_head(message);
	}
	while (message->have < message->head_len + message->body_len)
		if (!read_more(fd, message))
			return false;
	return true;
}

void next_message(struct message *message)
{
	size_t used = message->head_len + message->body_len;

	message->have -= used;
	memmove(message->data, message->data + used, message->have + 1);
	message->head_len = 0;
}

bool get_header(const struct message *message, const char *name, char *value,
		size_t size)
{
	const char *end = message->data + message->head_len - 2;
	const char *line = strstr(message->data, "\r\n");
	size_t len = strlen(name);

	value[0] = '\0';
	while (line && (line += 2) < end) {
		const char *stop = strstr(line, "\r\n");

		if (!strncasecmp(line, name, len) && line[len] == ':') {
			line += len + 1;
			while (*line == ' ')
				line++;
			snprintf(value, size, "%.*s", (int)(stop - line), line);
			return true;
		}
		line = stop;
	}
	return false;
}

const char *option(int argc, char **argv, const char *name,
		   const char *fallback)
{
	for (int i = 1; i + 1 < argc; i++)
		if (!strcmp(argv[i], name))
			return argv[i + 1];
	return fallback;
}

long number_option(int argc, char **argv, const char *name, long fallback)
{
	const char *text = option(argc, argv, name, NULL);

	return text ? strtol(text, NULL, 10) : fallback;
}

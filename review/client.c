/*
 * A consumer for the scripts of the review: sends requests on one connection
 * and prints one line for each answer.
 *
 * client [OPTION]... ADDRESS:PORT STEP...
 *   STEP        METHOD:PATH:BODY_BYTES, or wait:MS
 *   -H HOST     value of the Host header
 *   -i ID       request ids are ID-1, ID-2 and so on
 *   -d TEXT     body of all requests, instead of BODY_BYTES bytes
 *   -t MS       time limit of a request, also sent as X-Timeout-Ms
 *   -b BYTES    size of the receive buffer
 *   -m BYTES    maximum segment size of the connection
 *   -r BYTES    most bytes that are read in a second
 *   -o FILE     appends the bodies of the answers to a file
 *   -f          only checks that the address is free
 */
#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define HEAD_MAX 65536
#define READ_BYTES 16384
#define MS_PER_SEC 1000
#define NS_PER_MS 1000000L

static const char *host = "mesh.example";
static const char *id_prefix = "r";
static const char *body_text;
static const char *output;
static long timeout_ms = 3000;
static int receive_bytes, segment_bytes;
static long rate;

/* An answer; length is -1 if it was not announced. */
struct answer {
	int status;
	long length, received;
	const char *end;
	char signature[128], instance[128];
};

static long now_ms(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return now.tv_sec * MS_PER_SEC + now.tv_nsec / NS_PER_MS;
}

static void sleep_ms(long ms)
{
	struct timespec time = { .tv_sec = ms / MS_PER_SEC,
				 .tv_nsec = ms % MS_PER_SEC * NS_PER_MS };

	nanosleep(&time, NULL);
}

static bool parse_address(const char *text, struct sockaddr_in *address)
{
	char ip[64];
	const char *colon = strchr(text, ':');

	if (!colon || (size_t)(colon - text) >= sizeof(ip))
		return false;
	memcpy(ip, text, (size_t)(colon - text));
	ip[colon - text] = '\0';
	memset(address, 0, sizeof(*address));
	address->sin_family = AF_INET;
	address->sin_port = htons((unsigned short)strtol(colon + 1, NULL, 10));
	return inet_pton(AF_INET, ip, &address->sin_addr) == 1;
}

static int open_socket(void)
{
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	if (fd >= 0 && receive_bytes)
		setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_bytes,
			   sizeof(receive_bytes));
	if (fd >= 0 && segment_bytes)
		setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &segment_bytes,
			   sizeof(segment_bytes));
	return fd;
}

static bool is_free(const struct sockaddr_in *address)
{
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	bool ok = !bind(fd, (const struct sockaddr *)address, sizeof(*address));

	close(fd);
	return ok;
}

/* Sends all bytes; false if the connection was closed. */
static bool send_all(int fd, const char *data, size_t len)
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

/* Copies the value of a header of the answer, or an empty text. */
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

static void read_head(struct answer *answer, const char *head)
{
	char length[32];

	if (strlen(head) > strlen("HTTP/1.1 "))
		answer->status =
			(int)strtol(head + strlen("HTTP/1.1 "), NULL, 10);
	copy_header(head, "Content-Length", length, sizeof(length));
	answer->length = *length ? strtol(length, NULL, 10) : -1;
	copy_header(head, "X-Server-Signature", answer->signature,
		    sizeof(answer->signature));
	copy_header(head, "X-Instance-Id", answer->instance,
		    sizeof(answer->instance));
}

static void save(const char *data, size_t len)
{
	FILE *file = output ? fopen(output, "a") : NULL;

	if (!file)
		return;
	fwrite(data, 1, len, file);
	fclose(file);
}

/* Reads some bytes. Returns their number, or 0 with the end in the answer. */
static size_t read_some(int fd, char *buffer, size_t size, long deadline,
			struct answer *answer)
{
	struct pollfd pollfd = { .fd = fd, .events = POLLIN };
	long left = deadline - now_ms();
	ssize_t n;

	if (left <= 0 || poll(&pollfd, 1, (int)left) <= 0) {
		answer->end = "timeout";
		return 0;
	}
	n = recv(fd, buffer, size, 0);
	if (n > 0)
		return (size_t)n;
	answer->end = n < 0 ? "reset" : "closed";
	return 0;
}

/* Waits such that no more bytes than the rate allows have been read. */
static void pace(long began, long bytes)
{
	long due = began + bytes * MS_PER_SEC / (rate ? rate : 1);

	if (rate && due > now_ms())
		sleep_ms(due - now_ms());
}

static void read_answer(int fd, struct answer *answer, long deadline)
{
	char head[HEAD_MAX + 1], buffer[READ_BYTES];
	size_t len = 0;
	char *end = NULL;
	long began = now_ms();

	answer->length = -1;
	while (!end && len < HEAD_MAX) {
		size_t n = read_some(fd, head + len, HEAD_MAX - len, deadline,
				     answer);

		if (!n)
			return;
		len += n;
		head[len] = '\0';
		end = strstr(head, "\r\n\r\n");
	}
	if (!end)
		return;
	end += 4;
	answer->received = (long)(len - (size_t)(end - head));
	save(end, (size_t)answer->received);
	end[-2] = '\0';
	read_head(answer, head);
	while (answer->received < answer->length) {
		size_t n =
			read_some(fd, buffer, sizeof(buffer), deadline, answer);

		if (!n)
			return;
		save(buffer, n);
		answer->received += (long)n;
		pace(began, answer->received);
	}
	answer->end = "complete";
}

static bool send_request(int fd, char *step, const char *id)
{
	static char zeros[READ_BYTES];
	char head[HEAD_MAX];
	char *path = strchr(step, ':');
	char *count = path ? strchr(path + 1, ':') : NULL;
	size_t bytes;
	int len;

	if (!count)
		return false;
	*path++ = '\0';
	*count++ = '\0';
	bytes = body_text ? strlen(body_text) : strtoul(count, NULL, 10);
	len = snprintf(head, sizeof(head),
		       "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\n"
		       "X-Timeout-Ms: %ld\r\nContent-Length: %zu\r\n\r\n",
		       step, path, host, id, timeout_ms, bytes);
	if (len >= (int)sizeof(head) || !send_all(fd, head, (size_t)len))
		return false;
	if (body_text)
		return send_all(fd, body_text, bytes);
	while (bytes) {
		size_t n = bytes < sizeof(zeros) ? bytes : sizeof(zeros);

		if (!send_all(fd, zeros, n))
			return false;
		bytes -= n;
	}
	return true;
}

static void run_step(int fd, char *step, int number)
{
	struct answer answer = { .length = -1, .end = "none" };
	long began = now_ms();
	char id[128];

	snprintf(id, sizeof(id), "%s-%d", id_prefix, number);
	/* A refused long body ends the sending; the answer is read anyway. */
	send_request(fd, step, id);
	read_answer(fd, &answer, began + timeout_ms);
	printf("id=%s status=%d bytes=%ld length=%ld end=%s took_ms=%ld "
	       "signature=%s instance=%s\n",
	       id, answer.status, answer.received, answer.length, answer.end,
	       now_ms() - began, answer.signature, answer.instance);
	fflush(stdout);
}

static bool set_option(int option)
{
	switch (option) {
	case 'H':
		host = optarg;
		return true;
	case 'i':
		id_prefix = optarg;
		return true;
	case 'd':
		body_text = optarg;
		return true;
	case 't':
		timeout_ms = strtol(optarg, NULL, 10);
		return true;
	case 'b':
		receive_bytes = (int)strtol(optarg, NULL, 10);
		return true;
	case 'm':
		segment_bytes = (int)strtol(optarg, NULL, 10);
		return true;
	case 'r':
		rate = strtol(optarg, NULL, 10);
		return true;
	case 'o':
		output = optarg;
		return true;
	default:
		return false;
	}
}

int main(int argc, char **argv)
{
	struct sockaddr_in address;
	bool only_check = false;
	int option, fd;

	while ((option = getopt(argc, argv, "H:i:d:t:b:m:r:o:f")) != -1) {
		if (option == 'f')
			only_check = true;
		else if (!set_option(option))
			return 2;
	}
	if (optind >= argc || !parse_address(argv[optind], &address))
		return 2;
	if (only_check)
		return is_free(&address) ? 0 : 1;
	fd = open_socket();
	if (fd < 0 ||
	    connect(fd, (struct sockaddr *)&address, sizeof(address))) {
		printf("id=%s-1 status=0 end=refused\n", id_prefix);
		return 1;
	}
	for (int i = optind + 1; i < argc; i++) {
		if (!strncmp(argv[i], "wait:", strlen("wait:")))
			sleep_ms(strtol(argv[i] + strlen("wait:"), NULL, 10));
		else
			run_step(fd, argv[i], i - optind);
	}
	close(fd);
	return 0;
}

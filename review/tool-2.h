#ifndef REVIEW_TOOL_2_H
#define REVIEW_TOOL_2_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Code that the stand-ins of the second review share. Loopback only. */

/* One HTTP/1.1 message that is read from a connection. */
struct message {
	char *data; /* what was read, ending with a NUL */
	size_t capacity;
	size_t have;
	size_t head_len; /* with the empty line; 0: not complete */
	size_t body_len;
};

/* Milliseconds of the time of day, as `date +%s%3N` prints them. */
int64_t now_ms(void);

/* Sleeps until a time of now_ms(). */
void sleep_until(int64_t at_ms);

/* Writes one line with the time in front to the log; any thread. */
void log_line(const char *format, ...) __attribute__((format(printf, 1, 2)));

/* Opens the file that log_line() appends to; exits on failure. */
void log_open(const char *path);

/* Parses "127.x.x.x:PORT"; exits unless it is a loopback address. */
struct sockaddr_in parse_address(const char *text);

/* Writes everything; false if the connection is broken. */
bool write_all(int fd, const char *data, size_t len);

/*
 * Reads one message. False at the end of the connection; then have tells
 * whether a part had arrived.
 */
bool read_message(int fd, struct message *message);

/* Removes the message from its buffer, which may hold a part of the next. */
void next_message(struct message *message);

/* Copies a header's value, or an empty text; returns whether it is there. */
bool get_header(const struct message *message, const char *name, char *value,
		size_t size);

/* The value of an option "--NAME VALUE", or the fallback. */
const char *option(int argc, char **argv, const char *name,
		   const char *fallback);
long number_option(int argc, char **argv, const char *name, long fallback);

#endif

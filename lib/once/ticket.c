#include "once/once.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#define PREFIX "g1."
#define INCARNATION_CHARS 16

static const char hex_digits[] = "0123456789abcdef";

void ticket_format(const struct ticket *ticket, char *text)
{
	int n = snprintf(text, TICKET_TEXT_MAX,
			 PREFIX "%s.%016" PRIx64 ".%" PRId64 ".", ticket->host,
			 ticket->incarnation, ticket->expiry_wall_ms);
	char *out = text + n;

	for (int i = 0; i < TICKET_RANDOM_BYTES; i++) {
		*out++ = hex_digits[ticket->random[i] >> 4];
		*out++ = hex_digits[ticket->random[i] & 15];
	}
	*out = '\0';
}

static int hex_value(char c)
{
	if (c >= '0' && c <= '9')
		return c - '0';
	if (c >= 'a' && c <= 'f')
		return c - 'a' + 10;
	return -1;
}

static bool is_host_char(char c)
{
	return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-';
}

/* Each parse function returns the text after its field, or NULL. */
static const char *parse_host(const char *text, char *host)
{
	size_t len = 0;

	if (*text == '-')
		return NULL;
	while (len < TICKET_HOST_MAX && is_host_char(text[len])) {
		host[len] = text[len];
		len++;
	}
	host[len] = '\0';
	return len ? text + len : NULL;
}

static const char *parse_incarnation(const char *text, uint64_t *incarnation)
{
	uint64_t value = 0;

	for (int i = 0; i < INCARNATION_CHARS; i++) {
		int digit = hex_value(*text++);

		if (digit < 0)
			return NULL;
		value = value << 4 | (uint64_t)digit;
	}
	*incarnation = value;
	return text;
}

static const char *parse_expiry(const char *text, int64_t *expiry)
{
	int64_t value = 0;

	if (*text < '1' || *text > '9')
		return NULL;
	while (*text >= '0' && *text <= '9') {
		int digit = *text++ - '0';

		if (value > (INT64_MAX - digit) / 10)
			return NULL;
		value = 10 * value + digit;
	}
	*expiry = value;
	return text;
}

static const char *parse_random(const char *text, unsigned char *random)
{
	for (int i = 0; i < TICKET_RANDOM_BYTES; i++) {
		int high = hex_value(*text++);
		int low;

		if (high < 0)
			return NULL;
		low = hex_value(*text++);
		if (low < 0)
			return NULL;
		random[i] = (unsigned char)(high << 4 | low);
	}
	return text;
}

static const char *parse_dot(const char *text)
{
	return text && *text == '.' ? text + 1 : NULL;
}

bool ticket_parse(struct ticket *ticket, const char *text)
{
	if (strncmp(text, PREFIX, strlen(PREFIX)) != 0)
		return false;
	text = parse_dot(parse_host(text + strlen(PREFIX), ticket->host));
	if (text)
		text = parse_dot(parse_incarnation(text, &ticket->incarnation));
	if (text)
		text = parse_dot(parse_expiry(text, &ticket->expiry_wall_ms));
	if (text)
		text = parse_random(text, ticket->random);
	return text && !*text;
}

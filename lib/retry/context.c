#include <ctype.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "retry/retry.h"

/* The largest integer that every JSON parser represents exactly. */
#define DEADLINE_MAX ((INT64_C(1) << 53) - 1)

static int64_t min64(int64_t a, int64_t b)
{
	return a < b ? a : b;
}

static int64_t clamp64(int64_t value, int64_t low, int64_t high)
{
	return value < low ? low : min64(value, high);
}

/*
 * Parses a number after key at *text, 0..max without leading zeros, and
 * advances *text past it.
 */
static bool parse_field(const char **text, const char *key, int64_t max,
			int64_t *value)
{
	size_t len = strlen(key);
	const char *p = *text;
	int64_t number = 0;

	if (strncmp(p, key, len) != 0)
		return false;
	p += len;
	if (!isdigit((unsigned char)*p) ||
	    (*p == '0' && isdigit((unsigned char)p[1])))
		return false;
	for (; isdigit((unsigned char)*p); p++) {
		number = number * 10 + (*p - '0');
		if (number > max)
			return false;
	}
	*value = number;
	*text = p;
	return true;
}

void request_context_first(struct request_context *context, int64_t now_wall_ms,
			   int deadline_ms, int retry_max)
{
	context->deadline_wall_ms =
		clamp64(now_wall_ms, 0, DEADLINE_MAX - deadline_ms) +
		deadline_ms;
	context->hops = CONTEXT_HOPS_MAX;
	context->retries = (int)clamp64(retry_max, 0, CONTEXT_RETRIES_MAX);
}

bool request_context_parse(struct request_context *context, const char *text)
{
	int64_t deadline, hops, retries;

	if (!parse_field(&text, "deadline=", DEADLINE_MAX, &deadline) ||
	    !parse_field(&text, ";hops=", CONTEXT_HOPS_MAX, &hops) ||
	    !parse_field(&text, ";retries=", CONTEXT_RETRIES_MAX, &retries) ||
	    *text)
		return false;
	context->deadline_wall_ms = deadline;
	context->hops = (int)hops;
	context->retries = (int)retries;
	return true;
}

void request_context_format(const struct request_context *context,
			    char text[CONTEXT_TEXT_MAX])
{
	snprintf(text, CONTEXT_TEXT_MAX,
		 "deadline=%" PRId64 ";hops=%d;retries=%d",
		 clamp64(context->deadline_wall_ms, 0, DEADLINE_MAX),
		 (int)clamp64(context->hops, 0, CONTEXT_HOPS_MAX),
		 (int)clamp64(context->retries, 0, CONTEXT_RETRIES_MAX));
}

bool request_context_next(const struct request_context *arrived,
			  int64_t now_wall_ms, int deadline_ms, int retry_max,
			  struct request_context *next)
{
	struct request_context own;

	if (arrived->hops <= 0)
		return false;
	request_context_first(&own, now_wall_ms, deadline_ms, retry_max);
	own.deadline_wall_ms =
		min64(own.deadline_wall_ms, arrived->deadline_wall_ms);
	own.hops = (int)min64(arrived->hops, CONTEXT_HOPS_MAX) - 1;
	own.retries = (int)clamp64(arrived->retries, 0, own.retries);
	*next = own;
	return true;
}

#include <fcntl.h>
#include <glib.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "base/clock.h"
#include "base/log.h"

#define QUOTE_BUFFERS 4
#define QUOTE_BYTES 512
#define MAX_EVENT_NAMES 256

/* Rate limiter state of one event name. */
struct event_rate {
	const char *event;
	int64_t second; /* of the newest line */
	int lines;	/* written in that second */
	int suppressed; /* since the last line that was written */
};

static pthread_mutex_t rate_lock = PTHREAD_MUTEX_INITIALIZER;
static struct event_rate rates[MAX_EVENT_NAMES];
static int max_priority = LOG_INFO;
static int output = STDERR_FILENO;
static int nr_dropped; /* lines that could not be written */

void log_set_output(int fd)
{
	int flags = fcntl(fd, F_GETFL);

	if (flags >= 0)
		fcntl(fd, F_SETFL, flags | O_NONBLOCK);
	output = fd;
}

void log_set_level(int priority)
{
	__atomic_store_n(&max_priority, priority, __ATOMIC_RELAXED);
}

static struct event_rate *find_rate(const char *event)
{
	for (int i = 0; i < MAX_EVENT_NAMES; i++) {
		if (!rates[i].event)
			rates[i].event = event;
		if (!strcmp(rates[i].event, event))
			return &rates[i];
	}
	return NULL;
}

/*
 * Returns the number of lines that were suppressed before this one, or -1 when
 * this line has to be suppressed.
 */
static int admit_line(const char *event, int64_t second)
{
	struct event_rate *rate;
	int suppressed = 0;

	pthread_mutex_lock(&rate_lock);
	rate = find_rate(event);
	if (rate && rate->second != second) {
		rate->second = second;
		rate->lines = 0;
	}
	if (rate && rate->lines >= LOG_LINES_PER_SEC) {
		rate->suppressed++;
		suppressed = -1;
	} else if (rate) {
		rate->lines++;
		suppressed = rate->suppressed;
		rate->suppressed = 0;
	}
	pthread_mutex_unlock(&rate_lock);
	return suppressed;
}

void log_event(int priority, const char *event, const char *fmt, ...)
{
	int64_t now = clock_wall_ms();
	g_autoptr(GString) line = NULL;
	int suppressed, dropped;
	va_list args;

	if (priority > __atomic_load_n(&max_priority, __ATOMIC_RELAXED))
		return;
	suppressed = admit_line(event, now / 1000);
	if (suppressed < 0)
		return;
	line = g_string_new(NULL);
	g_string_printf(line, "<%d>ts=%lld.%03d event=%s", priority,
			(long long)(now / 1000), (int)(now % 1000), event);
	if (suppressed)
		g_string_append_printf(line, " suppressed=%d", suppressed);
	dropped = __atomic_exchange_n(&nr_dropped, 0, __ATOMIC_RELAXED);
	if (dropped)
		g_string_append_printf(line, " dropped=%d", dropped);
	if (*fmt) {
		g_string_append_c(line, ' ');
		va_start(args, fmt);
		g_string_append_vprintf(line, fmt, args);
		va_end(args);
	}
	g_string_append_c(line, '\n');
	/* A single write keeps lines of different threads from mixing. */
	if (write(output, line->str, line->len) < 0)
		__atomic_add_fetch(&nr_dropped, dropped + 1, __ATOMIC_RELAXED);
}

static int needs_quotes(const char *value)
{
	if (!*value)
		return 1;
	for (; *value; value++)
		if ((unsigned char)*value <= ' ' || *value == '"' ||
		    *value == '\\' || *value == '=' || *value == 0x7f)
			return 1;
	return 0;
}

const char *log_quote(const char *value)
{
	static __thread char buffers[QUOTE_BUFFERS][QUOTE_BYTES];
	static __thread int next;
	g_autofree char *escaped = NULL;
	char *buffer;

	if (!value)
		value = "";
	if (!needs_quotes(value))
		return value;
	buffer = buffers[next];
	next = (next + 1) % QUOTE_BUFFERS;
	escaped = g_strescape(value, NULL);
	snprintf(buffer, QUOTE_BYTES, "\"%.*s\"", QUOTE_BYTES - 3, escaped);
	return buffer;
}

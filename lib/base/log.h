#ifndef BASE_LOG_H
#define BASE_LOG_H

#include <syslog.h>

/*
 * One line of key=value pairs for each event on standard error, or on the
 * descriptor of log_set_output(), with the
 * syslog priority in angle brackets in front:
 *
 *	<6>ts=1764840000.123 event=config_accepted version=7
 *
 * Lines of one event name are limited to LOG_LINES_PER_SEC a second; the next
 * line that passes says how many were left out as suppressed=N. A line that the
 * descriptor does not take is dropped; the next one says so as dropped=N.
 */

#define LOG_LINES_PER_SEC 20

/*
 * Writes lines to another descriptor, which is made non-blocking: a line that
 * does not fit is dropped, so that a slow reader never delays a request.
 */
void log_set_output(int fd);

/* Lines above this priority are dropped; LOG_INFO at the start. */
void log_set_level(int priority);

/*
 * Logs an event. The format gives key=value pairs separated by spaces; values
 * that may hold spaces are written with log_quote().
 */
void log_event(int priority, const char *event, const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));

/*
 * Quotes a value for a log line: in double quotes with escapes when it holds
 * spaces, quotes or control characters, unchanged otherwise. Returns a
 * buffer of the calling thread that the fourth next call overwrites.
 */
const char *log_quote(const char *value);

#endif

#ifndef BASE_LOG_H
#define BASE_LOG_H

#include <syslog.h>

/*
 * Event logging. Each event is one line of key=value pairs on standard error,
 * or on the descriptor of log_set_output(), that starts with the syslog
 * priority in angle brackets:
 *
 *	<6>ts=1764840000.123 event=config_accepted version=7
 *
 * Each event name is limited to LOG_LINES_PER_SEC lines per second; the next
 * line of that name has suppressed=N, the number of lines that the limit left
 * out. A line that cannot be written is dropped; the next line has dropped=N.
 */

#define LOG_LINES_PER_SEC 20

/*
 * Redirects the log to a descriptor, which is made non-blocking. A line that
 * does not fit into a full pipe is dropped, so that a slow reader of the log
 * never delays a request.
 */
void log_set_output(int fd);

/*
 * Sets the least urgent priority that is logged, initially LOG_INFO. Syslog
 * priorities are smaller the more urgent they are.
 */
void log_set_level(int priority);

/*
 * Logs an event. The format contains key=value pairs separated by spaces;
 * values that may contain spaces are passed through log_quote().
 */
void log_event(int priority, const char *event, const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));

/*
 * Returns a value in double quotes with escapes when it is empty or contains
 * spaces, quotes, backslashes, equals signs or control characters, and
 * unchanged otherwise. The result may be a buffer of the calling thread, which
 * its fourth call from now overwrites.
 */
const char *log_quote(const char *value);

#endif

#ifndef TRACE_TRACE_H
#define TRACE_TRACE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdio.h>

#include "base/cleanup.h"

/*
 * The way of one request through the logs of several daemons: the lines that
 * name its id, in order of time, and a sentence on where and why it ended.
 */

struct trace;

struct trace *trace_new(const char *request_id);
void trace_free(struct trace *trace);
DEFINE_CLEANUP(struct trace, trace_free)

/*
 * Takes the lines of the request from a log; the name tells where they come
 * from. False, with errno set, when the log cannot be read.
 */
bool trace_read(struct trace *trace, FILE *log, const char *name);

/* Lines found so far. */
size_t trace_nr_lines(const struct trace *trace);

/*
 * Writes the lines with the time since the first one in milliseconds, then the
 * sentence. Clocks of hosts differ by milliseconds, and so may the order.
 */
void trace_print(struct trace *trace, FILE *out);

#endif

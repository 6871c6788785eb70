#ifndef TRACE_TRACE_H
#define TRACE_TRACE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdio.h>

#include "base/cleanup.h"

/*
 * Traces one request through the logs of several daemons: the log lines with
 * its id in order of time, and a sentence on how it ended and why.
 */

struct trace;

struct trace *trace_new(const char *request_id);
void trace_free(struct trace *trace);
DEFINE_CLEANUP(struct trace, trace_free)

/*
 * Adds the lines of the request from a log; trace_print() prefixes them with
 * the name. Returns false, with errno set, when the log cannot be read.
 */
bool trace_read(struct trace *trace, FILE *log, const char *name);

/* Returns the number of lines that were found so far. */
size_t trace_nr_lines(const struct trace *trace);

/*
 * Writes the lines with the time since the first one in milliseconds, then the
 * sentence. The clocks of hosts differ by milliseconds, so lines of different
 * hosts may be out of order by as much.
 */
void trace_print(struct trace *trace, FILE *out);

#endif

#include "trace/trace.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "retry/retry.h"

struct trace_line {
	double seconds; /* wall clock of the host that wrote the line */
	size_t number;	/* position in the order of reading */
	char *name;	/* of the log */
	char *text;	/* without the line terminator */
};

struct trace {
	char *id;
	GPtrArray *lines; /* struct trace_line */
};

static void free_line(void *arg)
{
	struct trace_line *line = arg;

	g_free(line->name);
	g_free(line->text);
	g_free(line);
}

struct trace *trace_new(const char *request_id)
{
	struct trace *trace = g_new0(struct trace, 1);

	trace->id = g_strdup(request_id);
	trace->lines = g_ptr_array_new_with_free_func(free_line);
	return trace;
}

void trace_free(struct trace *trace)
{
	if (!trace)
		return;
	g_ptr_array_unref(trace->lines);
	g_free(trace->id);
	g_free(trace);
}

/* Copies the value of a key in a log line, with any quotes, or returns NULL. */
static char *get_value(const char *text, const char *key)
{
	size_t key_len = strlen(key);
	const char *at = text;

	while ((at = strstr(at, key))) {
		bool starts = at == text || at[-1] == ' ' || at[-1] == '>';

		if (starts && at[key_len] == '=') {
			at += key_len + 1;
			return g_strndup(at, strcspn(at, " \r\n"));
		}
		at += key_len;
	}
	return NULL;
}

static bool is_of_request(const struct trace *trace, const char *text)
{
	g_autofree char *id = get_value(text, "id");

	return id && !strcmp(id, trace->id);
}

static void add_line(struct trace *trace, const char *name, const char *text)
{
	struct trace_line *line = g_new0(struct trace_line, 1);
	g_autofree char *time = get_value(text, "ts");

	line->seconds = time ? g_ascii_strtod(time, NULL) : 0;
	line->number = trace->lines->len;
	line->name = g_strdup(name);
	line->text = g_strndup(text, strcspn(text, "\r\n"));
	g_ptr_array_add(trace->lines, line);
}

bool trace_read(struct trace *trace, FILE *log, const char *name)
{
	char *text = NULL;
	size_t size = 0;

	while (getline(&text, &size, log) >= 0) {
		if (is_of_request(trace, text))
			add_line(trace, name, text);
	}
	free(text);
	return !ferror(log);
}

size_t trace_nr_lines(const struct trace *trace)
{
	return trace->lines->len;
}

static int compare_lines(const void *a, const void *b)
{
	const struct trace_line *left = *(struct trace_line *const *)a;
	const struct trace_line *right = *(struct trace_line *const *)b;

	if (left->seconds != right->seconds)
		return left->seconds < right->seconds ? -1 : 1;
	return left->number < right->number ? -1 : 1;
}

/* Returns the probable cause behind a failure reason, for operators. */
static const char *describe_cause(enum failure_reason reason)
{
	switch (reason) {
	case FAILURE_QUEUE_FULL:
	case FAILURE_TARGET_DEADLINE:
		return "the servers of its service are at capacity: no slot "
		       "would have become free before its deadline";
	case FAILURE_TARGET_UNSOUND:
		return "the servers that were tried have lost responses, so "
		       "requests that run at most once are not sent to them";
	case FAILURE_BACKEND_FAILED:
		return "the servers that were tried responded with a failure";
	case FAILURE_BACKEND_SHED:
		return "the servers that were tried refused to run it";
	case FAILURE_TARGET_DRAINING:
		return "the servers that were tried are draining or out of "
		       "service";
	case FAILURE_NO_TARGET:
		return "the caller's daemon has no server to which it may be "
		       "sent";
	case FAILURE_VERSION:
		return "the server at that address is not the one that the "
		       "caller's daemon expected";
	case FAILURE_QUARANTINED:
		return "it crashed the servers that ran it, so it is refused";
	case FAILURE_LINK_REFUSED:
		return "the daemons that were tried cannot be reached";
	case FAILURE_LINK_LOST:
		return "the connection to the server's daemon broke or timed "
		       "out before the response";
	case FAILURE_BACKEND_REFUSED:
		return "the server refuses connections";
	case FAILURE_BACKEND_LOST:
		return "the server closed the connection early or sent an "
		       "incomplete or invalid response";
	case FAILURE_DEADLINE:
		return "no response arrived before its deadline";
	default:
		return "see the lines above";
	}
}

static enum failure_reason find_reason(const char *name)
{
	for (int i = 0; i < FAILURE_REASONS; i++) {
		if (!strcmp(failure_get((enum failure_reason)i)->name, name))
			return (enum failure_reason)i;
	}
	return FAILURE_NONE;
}

static void print_failure(const struct trace *trace,
			  const struct trace_line *line, FILE *out)
{
	g_autofree char *route = get_value(line->text, "route");
	g_autofree char *reason = get_value(line->text, "reason");
	g_autofree char *outcome = get_value(line->text, "outcome");
	g_autofree char *held = get_value(line->text, "held_ms");
	bool safe = outcome && !strcmp(outcome, "not-run");

	fprintf(out, "%s failed at %s after %s ms, route %s: %s: %s. It %s.\n",
		trace->id, line->name, held ? held : "?", route ? route : "?",
		reason ? reason : "?",
		describe_cause(find_reason(reason ? reason : "")),
		safe ? "has not run and may be sent again" : "may have run");
}

static void print_end(const struct trace *trace, FILE *out)
{
	for (guint i = trace->lines->len; i > 0; i--) {
		const struct trace_line *line =
			g_ptr_array_index(trace->lines, i - 1);
		g_autofree char *event = get_value(line->text, "event");
		g_autofree char *reason = get_value(line->text, "reason");

		if (g_strcmp0(event, "request_failed") == 0) {
			print_failure(trace, line, out);
			return;
		}
		if (g_strcmp0(event, "request_refused") == 0) {
			fprintf(out,
				"%s was refused at %s before it was routed: "
				"%s. It has not run.\n",
				trace->id, line->name, reason ? reason : "?");
			return;
		}
		if (g_strcmp0(event, "request_served") == 0) {
			fprintf(out, "%s was answered at %s.\n", trace->id,
				line->name);
			return;
		}
	}
	fprintf(out,
		"%s: the log of its caller's host is missing, or its last line "
		"was suppressed.\n",
		trace->id);
}

void trace_print(struct trace *trace, FILE *out)
{
	double first;

	if (!trace->lines->len) {
		fprintf(out, "%s: no line in these logs.\n", trace->id);
		return;
	}
	g_ptr_array_sort(trace->lines, compare_lines);
	first = ((struct trace_line *)g_ptr_array_index(trace->lines, 0))
			->seconds;
	for (guint i = 0; i < trace->lines->len; i++) {
		const struct trace_line *line =
			g_ptr_array_index(trace->lines, i);

		fprintf(out, "%+8.0f ms  %s: %s\n",
			(line->seconds - first) * 1000, line->name, line->text);
	}
	print_end(trace, out);
}

#ifndef GODWITSPUR_CONTROL_H
#define GODWITSPUR_CONTROL_H

#include "base/counters.h"
#include "dist/dist.h"
#include "quarantine/quarantine.h"
#include "settings.h"
#include "tree/tree.h"

/*
 * The control thread: it owns dist and member, reads the source and the host
 * list, talks to the control addresses of peers, and hands accepted versions
 * to the traffic side.
 */

struct control;

/* What the control thread tells the daemon; called on its thread. */
struct control_ops {
	/* A version was accepted; the table is handed over. */
	void (*apply)(void *ctx, struct table *table);
	/* The start gate opened. */
	void (*serve)(void *ctx);
	void (*mark_leaving)(void *ctx, const char *host, bool leaving);
	void (*merge_crashes)(void *ctx, const struct quarantine_entry *entries,
			      size_t nr);
	/* Fills the crash entries to announce; returns their number. */
	size_t (*tell_crashes)(void *ctx, struct quarantine_entry *entries,
			       size_t max);
};

struct control_options {
	const struct settings *settings;
	uint64_t incarnation;
	uint64_t seed;
	const struct dist_policy *policy; /* NULL: the default */
	struct metrics *metrics;	  /* borrowed */
	const struct control_ops *ops;
	void *ctx;
};

struct control *control_new(const struct control_options *options,
			    GError **error);

/* Runs the control thread's loop until control_stop(). */
void control_run(struct control *control);
void control_stop(struct control *control);

/* There are new crash entries to announce; any thread. */
void control_tell_crashes(struct control *control);

/* Questions of operators, answered on the control thread; any thread. */
enum control_question {
	CONTROL_STATUS,
	CONTROL_FLEET,
	CONTROL_DUMP,
	CONTROL_VERSION_IN_FORCE, /* used by control_explain() */
};

/* The caller owns the reference; NULL when the control thread is stuck. */
json_t *control_ask(struct control *control, enum control_question what);

/*
 * Explains the effective settings of a route by the version in force, as the
 * subcommand explain does from a file; any thread. NULL with an error when
 * there is no version or no such route or target.
 */
json_t *control_explain(struct control *control,
			const struct explain_query *query, GError **error);

#endif

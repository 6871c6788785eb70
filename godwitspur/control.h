#ifndef GODWITSPUR_CONTROL_H
#define GODWITSPUR_CONTROL_H

#include "base/counters.h"
#include "dist/dist.h"
#include "quarantine/quarantine.h"
#include "settings.h"
#include "tree/tree.h"

/*
 * The control thread. It owns the state of configuration distribution (dist)
 * and membership (member), reads the configuration source and the host list,
 * exchanges RPCs with the control addresses of peers, and passes accepted
 * versions to the threads that handle requests.
 */

struct control;

/* Callbacks of the daemon; run on the control thread. */
struct control_ops {
	/* A version was accepted; the callback takes ownership of table. */
	void (*apply)(void *ctx, struct table *table);
	/* The start conditions are met: callers may be served. */
	void (*serve)(void *ctx);
	void (*mark_leaving)(void *ctx, const char *host, bool leaving);
	void (*merge_crashes)(void *ctx, const struct quarantine_entry *entries,
			      size_t nr);
	/* Fills in the crash entries to announce; returns their number. */
	size_t (*export_crashes)(void *ctx, struct quarantine_entry *entries,
				 size_t max);
};

struct control_options {
	const struct settings *settings;
	uint64_t incarnation;
	uint64_t seed;
	const struct dist_policy *policy; /* NULL: the default policy */
	struct metrics *metrics;	  /* borrowed */
	const struct control_ops *ops;
	void *ctx;
};

struct control *control_new(const struct control_options *options,
			    GError **error);

/* Runs the control thread's loop until control_stop(). */
void control_run(struct control *control);
void control_stop(struct control *control);

/* Announces changed crash entries to peers; callable from any thread. */
void control_announce_crashes(struct control *control);

/* State that the control thread can be queried for. */
enum control_query_kind {
	CONTROL_STATUS,
	CONTROL_FLEET,
	CONTROL_DUMP,
	CONTROL_VERSION_IN_FORCE, /* used by control_explain() */
};

/*
 * Queries the control thread; callable from any other thread. The caller owns
 * the returned reference; NULL when the control thread does not respond in
 * time.
 */
json_t *control_query(struct control *control, enum control_query_kind kind);

/*
 * Explains the effective settings of a route in the version in force, as the
 * subcommand explain does for a file; callable from any other thread. Returns
 * NULL with an error when there is no version, no such route or target, or no
 * response from the control thread in time.
 */
json_t *control_explain(struct control *control,
			const struct explain_query *query, GError **error);

#endif

#ifndef RELAY_MESH_CONTROL_H
#define RELAY_MESH_CONTROL_H

#include <jansson.h>

#include "mesh/host.h"
#include "mesh/view.h"
#include "quarantine/quarantine.h"

/*
 * The control thread. It receives published items from the store or from other
 * daemons, builds views from them and passes these to the traffic thread.
 */

struct mesh_control;

struct mesh_control_ops {
	/*
	 * Applies a new view, with a reference that the callee owns. Called on
	 * the control thread.
	 */
	void (*apply)(void *ctx, struct mesh_view *view);
	/* Another daemon reported crashes. Called on the control thread. */
	void (*crashes)(void *ctx, const struct quarantine_entry *entries,
			size_t nr);
};

struct mesh_control *mesh_control_new(const struct mesh_host *host,
				      const struct mesh_control_ops *ops,
				      void *ctx, GError **error);

/* Starts the thread. */
void mesh_control_start(struct mesh_control *control);

/* Reports a crash to all other daemons; any thread. */
void mesh_control_report_crash(struct mesh_control *control,
			       const struct quarantine_entry *entry);

/*
 * The state as of the previous call, as the text of a JSON object that is freed
 * with g_free(); any thread.
 */
char *mesh_control_dump_text(struct mesh_control *control);

#endif

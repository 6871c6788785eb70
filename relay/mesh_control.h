#ifndef RELAY_MESH_CONTROL_H
#define RELAY_MESH_CONTROL_H

#include <jansson.h>

#include "mesh/host.h"
#include "mesh/view.h"
#include "quarantine/quarantine.h"

/*
 * The control thread: learns what is published, from the store or from other
 * daemons, builds views of it and hands them to the traffic thread.
 */

struct mesh_control;

struct mesh_control_ops {
	/* A new view, referenced for the callee; on the control thread. */
	void (*apply)(void *ctx, struct mesh_view *view);
	/* Crashes that another daemon told; on the control thread. */
	void (*crashes)(void *ctx, const struct quarantine_entry *entries,
			size_t nr);
};

struct mesh_control *mesh_control_new(const struct mesh_host *host,
				      const struct mesh_control_ops *ops,
				      void *ctx, GError **error);

/* Starts the thread. */
void mesh_control_start(struct mesh_control *control);

/* Tells all daemons of a crash; any thread. */
void mesh_control_tell_crash(struct mesh_control *control,
			     const struct quarantine_entry *entry);

/* State as text of one JSON object, freed with g_free(); any thread. */
char *mesh_control_dump_text(struct mesh_control *control);

#endif

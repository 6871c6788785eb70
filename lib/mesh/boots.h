#ifndef MESH_BOOTS_H
#define MESH_BOOTS_H

#include "mesh/view.h"

/*
 * Tells which registration at an address is that of the present boot of the
 * backend server. A server that has crashed stays registered for some
 * heartbeats, and its next boot registers under another id, so one address may
 * have several registrations. The one that the store accepted last is the
 * current one. Those of former boots do not count again when it is deleted, as
 * a server that leaves may be deleted before them. Pure: no I/O, no clock.
 */

struct boots;

struct boots *boots_new(void);
void boots_free(struct boots *boots);
DEFINE_CLEANUP(struct boots, boots_free)

/*
 * Removes the registrations of former boots from a view; returns their number.
 * A registration for a service that is not in the view's configuration
 * supersedes no other one.
 */
guint boots_remove_former(struct boots *boots, struct mesh_view *view);

/* Whether a newer boot is known at the address of the registration. */
bool boots_is_former(const struct boots *boots,
		     const struct mesh_target *target);

#endif

#ifndef MESH_BOOTS_H
#define MESH_BOOTS_H

#include "base/cleanup.h"
#include "mesh/entry_order.h"
#include "mesh/view.h"

/*
 * The present boot of each address. A server that crashed stays registered for
 * some heartbeats, and its next boot registers under another id, so one address
 * may have several registrations. The present boot is the one that started
 * last; of those that started at the same or an unknown time, the one that the
 * store accepted last. Former boots do not count again when the present one is
 * deleted, as a server that leaves may be deleted before them, nor when the
 * store accepts one of their writes late. Pure: no I/O, no clock.
 */

struct boots;

struct boots *boots_new(void);
void boots_free(struct boots *boots);
DEFINE_CLEANUP(struct boots, boots_free)

/*
 * Takes the registrations of former boots out of a view, which is that of the
 * newest state so far. Those of services that its configuration does not have
 * stay and supersede nothing. Returns how many were taken out.
 */
guint boots_remove_former(struct boots *boots, struct mesh_view *view);

/* Whether another boot is the present one at the registration's address. */
bool boots_is_former(const struct boots *boots,
		     const struct mesh_target *target);

/*
 * Compares a write of a registration with the present boot of its address:
 * later, also if it is of the present boot, or doubtful.
 */
enum entry_relation boots_compare(const struct boots *boots,
				  const struct mesh_target *target);

/*
 * Notes a doubtful write. Returns whether its boot is the present one: it goes
 * on writing after the registration of the known one has ended.
 */
bool boots_doubt(struct boots *boots, const struct mesh_target *target);

/* The place of the start of an address's present boot; 0: none is known. */
int64_t boots_started(const struct boots *boots, const char *address);

/*
 * Makes a boot the present one of its address, in spite of its time: it counts
 * as started at counted_ms.
 */
void boots_take(struct boots *boots, const struct mesh_target *target,
		int64_t counted_ms);

#endif

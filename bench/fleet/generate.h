#ifndef FLEET_GENERATE_H
#define FLEET_GENERATE_H

#include <glib.h>
#include <stdint.h>

/*
 * Trees of settings for benches: 870 targets in 88 services over 9 zones, the
 * size to design for, filled with routes up to a number of bytes.
 */

#define GENERATE_SERVICES 88
#define GENERATE_TARGETS 870
#define GENERATE_ZONES 9

/* Fields that differ from those of the version before make the change. */
struct generate {
	int64_t version;
	size_t bytes; /* about, in the compact form */
	int all;      /* a number in every route */
	int route;    /* a number in the first route of service-0 */
	int service;  /* a number in every route of service-1 */
};

/* The tree as JSON text. Hosts are named h0.. and zones z0.. */
GString *generate_tree(const struct generate *generate);

#endif

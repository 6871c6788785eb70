#ifndef FLEET_GENERATE_H
#define FLEET_GENERATE_H

#include <glib.h>
#include <stdint.h>

/*
 * Generates configuration trees of the design size for benchmarks: 870 targets
 * in 88 services over 9 availability zones, with routes up to a given size.
 */

#define GENERATE_SERVICES 88
#define GENERATE_TARGETS 870
#define GENERATE_ZONES 9

/* To generate a change, increment version and one of all, route and service. */
struct generate {
	int64_t version;
	size_t bytes; /* about, in compact JSON */
	int all;      /* changes every route */
	int route;    /* changes the first route of service-0 */
	int service;  /* changes every route of service-1 */
};

/* Returns the tree as JSON text. Hosts are named h0.. and zones z0.. */
GString *generate_tree(const struct generate *generate);

#endif

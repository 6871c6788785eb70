#ifndef MESH_SPREAD_H
#define MESH_SPREAD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Whom a daemon passes news on to. The news of a root, which has read the
 * store, go down a tree that all daemons work out alike from who is there: the
 * root tells the head of each other availability zone, and within a zone each
 * daemon tells SPREAD_FANOUT others. So no daemon sends more than a few copies,
 * and a zone boundary is crossed once for each zone. The places below one that
 * does not answer are told by the one above it. Pure.
 */

#define SPREAD_FANOUT 4

/* A daemon of the tree. */
struct spread_member {
	const char *ip;
	const char *zone;
	bool failed; /* did not answer this daemon */
	void *ctx;
	uint64_t weight; /* private: its place in its zone */
};

/*
 * Calls tell() for each daemon that `own` tells of the news of `root`, both
 * among the members. Sorts the members. Nothing is told when the root is not
 * known, unless it is the own one.
 */
void spread_targets(struct spread_member *members, size_t nr, const char *own,
		    const char *root,
		    void (*tell)(struct spread_member *member, void *ctx),
		    void *ctx);

#endif

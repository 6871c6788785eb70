#ifndef MESH_SPREAD_H
#define MESH_SPREAD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * The tree by which changes are distributed. Its root is a daemon that has read
 * the store. All daemons compute the same tree from the list of members: the
 * root sends to the first daemon of each other availability zone, and within a
 * zone each daemon sends to up to SPREAD_FANOUT others. So no daemon sends more
 * than a few copies, and each zone receives one copy from outside. When a
 * daemon does not answer, its parent sends to its children instead. Pure: no
 * I/O, no clock.
 */

#define SPREAD_FANOUT 4

/* A daemon in the tree. */
struct spread_member {
	const char *ip;
	const char *zone;
	bool failed; /* did not answer this daemon's last push */
	void *ctx;
	uint64_t weight; /* private: sort key within the zone */
};

/*
 * Calls send() for each member that `own` sends the changes of `root` to. Sorts
 * the members. Calls nothing when `own` or `root` is not among the members.
 */
void spread_targets(struct spread_member *members, size_t nr, const char *own,
		    const char *root,
		    void (*send)(struct spread_member *member, void *ctx),
		    void *ctx);

#endif

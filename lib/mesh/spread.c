#include <stdlib.h>
#include <string.h>

#include "base/rng.h"
#include "mesh/spread.h"

struct walk {
	struct spread_member *members;
	void (*send)(struct spread_member *member, void *ctx);
	void *ctx;
};

/* Orders by zone, then by weight; the root has weight 0, the lowest. */
static int compare(const void *a, const void *b)
{
	const struct spread_member *x = a, *y = b;
	int order = strcmp(x->zone, y->zone);

	if (order)
		return order;
	if (x->weight != y->weight)
		return x->weight < y->weight ? -1 : 1;
	return strcmp(x->ip, y->ip);
}

static void sort_members(struct spread_member *members, size_t nr,
			 const char *root)
{
	uint64_t seed = hash_string(root);

	for (size_t i = 0; i < nr; i++)
		members[i].weight =
			strcmp(members[i].ip, root)
				? hash_mix(seed, hash_string(members[i].ip)) | 1
				: 0;
	qsort(members, nr, sizeof(*members), compare);
}

static size_t find(const struct spread_member *members, size_t nr,
		   const char *ip)
{
	for (size_t i = 0; i < nr; i++)
		if (!strcmp(members[i].ip, ip))
			return i;
	return nr;
}

/* The members of one zone, [first, end). */
struct zone {
	size_t first, end;
};

static struct zone zone_at(const struct spread_member *members, size_t nr,
			   size_t at)
{
	struct zone zone = { .first = at, .end = at + 1 };

	while (zone.first &&
	       !strcmp(members[zone.first - 1].zone, members[at].zone))
		zone.first--;
	while (zone.end < nr &&
	       !strcmp(members[zone.end].zone, members[at].zone))
		zone.end++;
	return zone;
}

static void send_to_children(const struct walk *walk, const struct zone *zone,
			     size_t at);

/* Sends to a member, and also to its children when it has failed. */
static void send_to_member(const struct walk *walk, const struct zone *zone,
			   size_t at)
{
	walk->send(&walk->members[at], walk->ctx);
	if (walk->members[at].failed)
		send_to_children(walk, zone, at);
}

static void send_to_children(const struct walk *walk, const struct zone *zone,
			     size_t at)
{
	size_t child = zone->first + (at - zone->first) * SPREAD_FANOUT + 1;

	for (size_t i = 0; i < SPREAD_FANOUT && child + i < zone->end; i++)
		send_to_member(walk, zone, child + i);
}

void spread_targets(struct spread_member *members, size_t nr, const char *own,
		    const char *root,
		    void (*send)(struct spread_member *member, void *ctx),
		    void *ctx)
{
	struct walk walk = { .members = members, .send = send, .ctx = ctx };
	struct zone zone;
	size_t at;

	if (!nr)
		return;
	sort_members(members, nr, root);
	at = find(members, nr, own);
	if (at == nr || find(members, nr, root) == nr)
		return;
	zone = zone_at(members, nr, at);
	send_to_children(&walk, &zone, at);
	if (strcmp(own, root) != 0)
		return;
	for (size_t i = 0; i < nr; i = zone.end) {
		zone = zone_at(members, nr, i);
		if (at < zone.first || at >= zone.end)
			send_to_member(&walk, &zone, zone.first);
	}
}

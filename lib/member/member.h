#ifndef MEMBER_MEMBER_H
#define MEMBER_MEMBER_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/findings.h"
#include "base/rng.h"

/*
 * Membership as one daemon sees it: the lagging host list, and the members it
 * suspects because they did not answer. Pure: no I/O, no clock. All times are
 * monotonic nanoseconds.
 */

/* Longest host, zone and region name, as in the tree. */
#define MEMBER_NAME_MAX 63
/* Longest "[IPv6]:port". */
#define MEMBER_CONTROL_MAX 63
/* Unanswered announcements in a row that make a member suspected. */
#define MEMBER_SUSPECT_AFTER 2
/* How long a suspicion lasts unless the member is heard. */
#define MEMBER_SUSPECT_NS (INT64_C(15) * 1000000000)
/*
 * A host list of a lower revision is a lagging copy, unless it was read this
 * many times in a row: then the service was reset and counts afresh.
 */
#define MEMBER_RESET_READS 3

/* One entry of the host list; the strings belong to the list. */
struct member_host {
	const char *host;
	const char *zone;
	const char *region;
	const char *control; /* control address, "a.b.c.d:port" */
	bool leaving;
	uint64_t hash; /* of host; set by the list */
};

/* An immutable host list, shared by reference count; sorted by host. */
struct host_list {
	int refs;
	int64_t revision;
	size_t nr;
	struct member_host *hosts;
	char *strings;
};

/*
 * Parses {"revision":n,"hosts":[{"host","zone","region","control","state"}]}.
 * Returns NULL with at least one error in findings when the text is invalid.
 */
struct host_list *host_list_parse(const char *text, size_t len,
				  struct findings *findings);

/* Copies the entries; NULL when a host is named twice. */
struct host_list *host_list_new(int64_t revision,
				const struct member_host *hosts, size_t nr);
struct host_list *host_list_ref(struct host_list *list);
void host_list_unref(struct host_list *list);

struct member_options {
	const char *host; /* own host; always a member */
	const char *zone;
	const char *region;
	const char *control;	  /* own control address */
	const char *const *seeds; /* control addresses, copied */
	size_t nr_seeds;
	struct rng *rng; /* borrowed; outlives the member */
};

struct member;

struct member *member_new(const struct member_options *options);
void member_free(struct member *member);
json_t *member_dump(const struct member *member, int64_t now);

/*
 * Takes a host list that was read; keeps a reference. Returns false when the
 * list was ignored as a lagging copy.
 */
bool member_take_list(struct member *member, struct host_list *list,
		      int64_t now);

/* Whether any host list was taken. */
bool member_has_list(const struct member *member);

/* A member answered or announced itself: ends its suspicion. */
void member_heard(struct member *member, const char *host, int64_t now);

/* A member did not answer an announcement. */
void member_unanswered(struct member *member, const char *host, int64_t now);

bool member_is_suspected(const struct member *member, const char *host,
			 int64_t now);

/* The entry of a host, NULL when the list does not name it. */
const struct member_host *member_find(const struct member *member,
				      const char *host);

/* Members other than the own host that are neither leaving nor suspected. */
size_t member_count_peers(const struct member *member, int64_t now);

/* Members of the own zone, the own host included. */
size_t member_count_zone(const struct member *member, int64_t now);

/*
 * Rank of the own host among the members of its zone by rendezvous hash, from
 * 0. Suspected and leaving hosts have no rank; a leaving own host ranks last.
 */
size_t member_rank(const struct member *member, int64_t now);

/*
 * The members of the own zone or of the whole fleet in the rendezvous order of
 * key. The own host takes part unless it is leaving; *self is its position, or
 * the number of members. The caller frees *out with g_free(); the entries are
 * valid until the next host list.
 */
size_t member_order(const struct member *member, uint64_t key, bool zone_only,
		    const struct member_host ***out, size_t *self, int64_t now);

/* Changes with every new host list and every new or withdrawn suspicion. */
uint64_t member_epoch(const struct member *member);

enum member_scope {
	MEMBER_OWN_ZONE,
	MEMBER_OTHER_ZONE,
	MEMBER_ANY_ZONE,
	MEMBER_SUSPECTED /* suspected members of any zone, and only these */
};

/*
 * Draws up to nr distinct random peers of the scope into out, without the own
 * host and leaving hosts, and without suspected hosts unless asked for these.
 * Returns how many were drawn. The entries are valid until the next host list.
 */
size_t member_draw(struct member *member, enum member_scope scope, size_t nr,
		   const struct member_host **out, int64_t now);

/* A random seed address that is not the own one, NULL without seeds. */
const char *member_draw_seed(struct member *member);

/* Number of seeds that are not the own address. */
size_t member_count_seeds(const struct member *member);

/* Own host as an entry, whether or not the list names it. */
const struct member_host *member_self(const struct member *member);

#endif

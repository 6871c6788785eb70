#ifndef MEMBER_MEMBER_H
#define MEMBER_MEMBER_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/findings.h"
#include "base/rng.h"

/*
 * Membership as seen by one daemon: the host list, which may lag behind, and
 * the members that the daemon suspects because they did not answer. Pure: no
 * I/O, no clock. All times are monotonic nanoseconds.
 */

/* Longest host, zone and region name; the configuration has the same limit. */
#define MEMBER_NAME_MAX 63
/* Longest control address, "[IPv6]:port". */
#define MEMBER_CONTROL_MAX 63
/* Consecutive unanswered announcements after which a member is suspected. */
#define MEMBER_SUSPECT_AFTER 2
/* How long a suspicion lasts unless a message of the member arrives. */
#define MEMBER_SUSPECT_NS (INT64_C(15) * 1000000000)
/*
 * A host list with a lower revision is ignored as a lagging copy, unless it is
 * read this many times in a row: then the host list service was reset and its
 * revisions start again.
 */
#define MEMBER_RESET_READS 3

/* One entry of the host list; the strings belong to the list. */
struct member_host {
	const char *host;
	const char *zone;
	const char *region;
	const char *control; /* control address, "a.b.c.d:port" */
	bool leaving;
	uint64_t hash; /* of host; set by host_list_new() */
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

/* Copies the entries; returns NULL when two entries have the same host. */
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
 * Applies a host list that was read and keeps a reference to it. Returns false
 * when the list was ignored as a lagging copy.
 */
bool member_apply_list(struct member *member, struct host_list *list,
		       int64_t now);

/* Whether any host list was applied. */
bool member_has_list(const struct member *member);

/* Records a message from a member, which ends its suspicion. */
void member_note_message(struct member *member, const char *host, int64_t now);

/* Records that a member did not answer an announcement. */
void member_note_timeout(struct member *member, const char *host, int64_t now);

bool member_is_suspected(const struct member *member, const char *host,
			 int64_t now);

/* The list's entry of a host, or NULL. */
const struct member_host *member_find(const struct member *member,
				      const char *host);

/* Number of members besides the own host, not leaving and not suspected. */
size_t member_count_peers(const struct member *member, int64_t now);

/* The same within the own zone, plus one for the own host. */
size_t member_count_zone(const struct member *member, int64_t now);

/*
 * Rank of the own host among the members of its zone by rendezvous hash, from
 * 0. Suspected and leaving hosts have no rank; a leaving own host ranks last.
 */
size_t member_rank(const struct member *member, int64_t now);

/*
 * Orders the members of the own zone, or of the whole fleet, by the rendezvous
 * hash with key, and returns their number. The own host is included unless it
 * is leaving; *self is its position, or the number of members when it is not
 * included. The caller frees *out with g_free(); the entries are valid until
 * the next host list.
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
 * Stores up to nr distinct random peers of the scope in out and returns their
 * number. The own host and leaving hosts are excluded, and so are suspected
 * hosts except in the scope MEMBER_SUSPECTED. The entries are valid until the
 * next host list.
 */
size_t member_sample(struct member *member, enum member_scope scope, size_t nr,
		     const struct member_host **out, int64_t now);

/* A random seed address other than the own one; NULL when there is none. */
const char *member_sample_seed(struct member *member);

/* Number of seeds that are not the own address. */
size_t member_count_seeds(const struct member *member);

/* The own host as an entry, also when the list does not contain it. */
const struct member_host *member_self(const struct member *member);

#endif

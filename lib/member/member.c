#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "member/member.h"

/* What the daemon holds about one entry of the list, at the same index. */
struct view {
	int64_t suspected_until;
	int unanswered;
	bool own_zone;
	bool is_self;
};

struct member {
	struct member_host self;
	struct rng *rng;
	char **seeds;
	size_t nr_seeds;
	struct host_list *list;
	struct view *views;
	uint64_t epoch;
	int lower_reads; /* reads in a row of a lower revision */
};

struct member *member_new(const struct member_options *options)
{
	struct member *member = g_new0(struct member, 1);

	member->self.host = g_strdup(options->host);
	member->self.zone = g_strdup(options->zone);
	member->self.region = g_strdup(options->region);
	member->self.control = g_strdup(options->control);
	member->self.hash = hash_string(options->host);
	member->rng = options->rng;
	member->seeds = g_new0(char *, options->nr_seeds + 1);
	for (size_t i = 0; i < options->nr_seeds; i++) {
		const char *seed = options->seeds[i];

		if (strcmp(seed, options->control) != 0)
			member->seeds[member->nr_seeds++] = g_strdup(seed);
	}
	return member;
}

void member_free(struct member *member)
{
	if (!member)
		return;
	g_free((char *)member->self.host);
	g_free((char *)member->self.zone);
	g_free((char *)member->self.region);
	g_free((char *)member->self.control);
	g_strfreev(member->seeds);
	host_list_unref(member->list);
	g_free(member->views);
	g_free(member);
}

static size_t nr_entries(const struct member *member)
{
	return member->list ? member->list->nr : 0;
}

/* Index of a host in the list, or the number of entries. */
static size_t find_index(const struct member *member, const char *host)
{
	size_t low = 0;
	size_t high = nr_entries(member);

	while (low < high) {
		size_t middle = low + (high - low) / 2;
		int order = strcmp(member->list->hosts[middle].host, host);

		if (!order)
			return middle;
		if (order < 0)
			low = middle + 1;
		else
			high = middle;
	}
	return nr_entries(member);
}

static struct view *find_view(const struct member *member, const char *host)
{
	size_t index = find_index(member, host);

	return index < nr_entries(member) ? &member->views[index] : NULL;
}

static bool is_lagging(struct member *member, const struct host_list *list)
{
	if (!member->list || list->revision >= member->list->revision) {
		member->lower_reads = 0;
		return false;
	}
	if (++member->lower_reads < MEMBER_RESET_READS)
		return true;
	member->lower_reads = 0;
	return false;
}

bool member_take_list(struct member *member, struct host_list *list,
		      int64_t now)
{
	struct view *views;

	if (is_lagging(member, list))
		return false;
	views = g_new0(struct view, list->nr + 1);
	for (size_t i = 0; i < list->nr; i++) {
		const struct member_host *host = &list->hosts[i];
		const struct view *old = find_view(member, host->host);

		if (old && old->suspected_until > now)
			views[i].suspected_until = old->suspected_until;
		if (old)
			views[i].unanswered = old->unanswered;
		views[i].own_zone = !strcmp(host->zone, member->self.zone);
		views[i].is_self = !strcmp(host->host, member->self.host);
		if (views[i].is_self)
			member->self.leaving = host->leaving;
	}
	host_list_ref(list);
	host_list_unref(member->list);
	g_free(member->views);
	member->list = list;
	member->views = views;
	member->epoch++;
	return true;
}

bool member_has_list(const struct member *member)
{
	return member->list != NULL;
}

void member_heard(struct member *member, const char *host, int64_t now)
{
	struct view *view = find_view(member, host);

	(void)now;
	if (!view)
		return;
	view->unanswered = 0;
	if (view->suspected_until)
		member->epoch++;
	view->suspected_until = 0;
}

void member_unanswered(struct member *member, const char *host, int64_t now)
{
	struct view *view = find_view(member, host);

	if (!view || view->is_self)
		return;
	if (++view->unanswered < MEMBER_SUSPECT_AFTER)
		return;
	view->unanswered = 0;
	view->suspected_until = now + MEMBER_SUSPECT_NS;
	member->epoch++;
}

bool member_is_suspected(const struct member *member, const char *host,
			 int64_t now)
{
	const struct view *view = find_view(member, host);

	return view && view->suspected_until > now;
}

const struct member_host *member_find(const struct member *member,
				      const char *host)
{
	size_t index = find_index(member, host);

	if (index < nr_entries(member))
		return &member->list->hosts[index];
	return NULL;
}

const struct member_host *member_self(const struct member *member)
{
	return &member->self;
}

/* Whether the entry is a peer: not the own host, live, and not suspected. */
static bool is_peer(const struct member *member, size_t index, int64_t now)
{
	const struct view *view = &member->views[index];

	return !view->is_self && !member->list->hosts[index].leaving &&
	       view->suspected_until <= now;
}

size_t member_count_peers(const struct member *member, int64_t now)
{
	size_t count = 0;

	for (size_t i = 0; i < nr_entries(member); i++)
		count += is_peer(member, i, now);
	return count;
}

size_t member_count_zone(const struct member *member, int64_t now)
{
	size_t count = 1;

	for (size_t i = 0; i < nr_entries(member); i++)
		count += member->views[i].own_zone && is_peer(member, i, now);
	return count;
}

/* Order by weight, then by name so that equal weights do not tie. */
static bool ranks_before(uint64_t key, const struct member_host *a,
			 const struct member_host *b)
{
	uint64_t weight_a = hash_mix(key, a->hash);
	uint64_t weight_b = hash_mix(key, b->hash);

	if (weight_a != weight_b)
		return weight_a > weight_b;
	return strcmp(a->host, b->host) < 0;
}

size_t member_rank(const struct member *member, int64_t now)
{
	uint64_t key = hash_string(member->self.zone);
	size_t rank = 0;

	for (size_t i = 0; i < nr_entries(member); i++) {
		if (!member->views[i].own_zone || !is_peer(member, i, now))
			continue;
		rank += member->self.leaving ||
			ranks_before(key, &member->list->hosts[i],
				     &member->self);
	}
	return rank;
}

static int compare_ranks(const void *a, const void *b, void *data)
{
	const struct member_host *left = *(const struct member_host *const *)a;
	const struct member_host *right = *(const struct member_host *const *)b;
	uint64_t key = *(const uint64_t *)data;

	if (left == right)
		return 0;
	return ranks_before(key, left, right) ? -1 : 1;
}

size_t member_order(const struct member *member, uint64_t key, bool zone_only,
		    const struct member_host ***out, size_t *self, int64_t now)
{
	const struct member_host **order =
		g_new(const struct member_host *, nr_entries(member) + 1);
	size_t nr = 0;

	if (!member->self.leaving)
		order[nr++] = &member->self;
	for (size_t i = 0; i < nr_entries(member); i++) {
		if (is_peer(member, i, now) &&
		    (!zone_only || member->views[i].own_zone))
			order[nr++] = &member->list->hosts[i];
	}
	g_qsort_with_data(order, (gint)nr, sizeof(*order), compare_ranks, &key);
	for (*self = 0; *self < nr; (*self)++) {
		if (order[*self] == &member->self)
			break;
	}
	*out = order;
	return nr;
}

uint64_t member_epoch(const struct member *member)
{
	return member->epoch;
}

static bool is_in_scope(const struct member *member, size_t index,
			enum member_scope scope, int64_t now)
{
	const struct view *view = &member->views[index];

	switch (scope) {
	case MEMBER_OWN_ZONE:
		return view->own_zone && is_peer(member, index, now);
	case MEMBER_OTHER_ZONE:
		return !view->own_zone && is_peer(member, index, now);
	case MEMBER_ANY_ZONE:
		return is_peer(member, index, now);
	case MEMBER_SUSPECTED:
		return !view->is_self && view->suspected_until > now &&
		       !member->list->hosts[index].leaving;
	}
	return false;
}

size_t member_draw(struct member *member, enum member_scope scope, size_t nr,
		   const struct member_host **out, int64_t now)
{
	size_t seen = 0;

	if (!nr)
		return 0;
	/* Reservoir sampling: each member in scope is equally likely. */
	for (size_t i = 0; i < nr_entries(member); i++) {
		uint64_t slot;

		if (!is_in_scope(member, i, scope, now))
			continue;
		slot = seen < nr ? seen : rng_below(member->rng, seen + 1);
		seen++;
		if (slot < nr)
			out[slot] = &member->list->hosts[i];
	}
	return seen < nr ? seen : nr;
}

const char *member_draw_seed(struct member *member)
{
	if (!member->nr_seeds)
		return NULL;
	return member->seeds[rng_below(member->rng, member->nr_seeds)];
}

size_t member_count_seeds(const struct member *member)
{
	return member->nr_seeds;
}

json_t *member_dump(const struct member *member, int64_t now)
{
	json_t *hosts = json_array();

	for (size_t i = 0; i < nr_entries(member); i++) {
		const struct member_host *host = &member->list->hosts[i];
		const struct view *view = &member->views[i];
		int64_t left = view->suspected_until - now;

		json_array_append_new(
			hosts,
			json_pack("{s:s, s:s, s:s, s:s, s:b, s:i, s:I}", "host",
				  host->host, "zone", host->zone, "region",
				  host->region, "control", host->control,
				  "leaving", host->leaving, "unanswered",
				  view->unanswered, "suspected_ms",
				  (json_int_t)(left > 0 ? left / 1000000 : 0)));
	}
	return json_pack("{s:s, s:s, s:I, s:I, s:I, s:o}", "host",
			 member->self.host, "zone", member->self.zone,
			 "revision",
			 (json_int_t)(member->list ? member->list->revision
						   : -1),
			 "rank", (json_int_t)member_rank(member, now), "seeds",
			 (json_int_t)member->nr_seeds, "hosts", hosts);
}

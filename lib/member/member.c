#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "member/member.h"

/* Local state of the list's entry at the same index. */
struct member_state {
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
	struct member_state *states;
	uint64_t epoch;
	int lower_reads; /* consecutive reads of a lower revision */
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
	g_free(member->states);
	g_free(member);
}

static size_t nr_entries(const struct member *member)
{
	return member->list ? member->list->nr : 0;
}

/* Index of a host in the list, or the number of entries when it is absent. */
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

static struct member_state *find_state(const struct member *member,
				       const char *host)
{
	size_t index = find_index(member, host);

	return index < nr_entries(member) ? &member->states[index] : NULL;
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

bool member_apply_list(struct member *member, struct host_list *list,
		       int64_t now)
{
	struct member_state *states;

	if (is_lagging(member, list))
		return false;
	states = g_new0(struct member_state, list->nr + 1);
	for (size_t i = 0; i < list->nr; i++) {
		const struct member_host *host = &list->hosts[i];
		const struct member_state *old = find_state(member, host->host);

		if (old && old->suspected_until > now)
			states[i].suspected_until = old->suspected_until;
		if (old)
			states[i].unanswered = old->unanswered;
		states[i].own_zone = !strcmp(host->zone, member->self.zone);
		states[i].is_self = !strcmp(host->host, member->self.host);
		if (states[i].is_self)
			member->self.leaving = host->leaving;
	}
	host_list_ref(list);
	host_list_unref(member->list);
	g_free(member->states);
	member->list = list;
	member->states = states;
	member->epoch++;
	return true;
}

bool member_has_list(const struct member *member)
{
	return member->list != NULL;
}

void member_note_message(struct member *member, const char *host, int64_t now)
{
	struct member_state *state = find_state(member, host);

	(void)now;
	if (!state)
		return;
	state->unanswered = 0;
	if (state->suspected_until)
		member->epoch++;
	state->suspected_until = 0;
}

void member_note_timeout(struct member *member, const char *host, int64_t now)
{
	struct member_state *state = find_state(member, host);

	if (!state || state->is_self)
		return;
	if (++state->unanswered < MEMBER_SUSPECT_AFTER)
		return;
	state->unanswered = 0;
	state->suspected_until = now + MEMBER_SUSPECT_NS;
	member->epoch++;
}

bool member_is_suspected(const struct member *member, const char *host,
			 int64_t now)
{
	const struct member_state *state = find_state(member, host);

	return state && state->suspected_until > now;
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
	const struct member_state *state = &member->states[index];

	return !state->is_self && !member->list->hosts[index].leaving &&
	       state->suspected_until <= now;
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
		count += member->states[i].own_zone && is_peer(member, i, now);
	return count;
}

/* Orders by weight, then by host name, so that the order is total. */
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
		if (!member->states[i].own_zone || !is_peer(member, i, now))
			continue;
		rank += member->self.leaving ||
			ranks_before(key, &member->list->hosts[i],
				     &member->self);
	}
	return rank;
}

struct ranked {
	uint64_t weight;
	const struct member_host *host;
};

static int compare_ranked(const void *a, const void *b)
{
	const struct ranked *left = a;
	const struct ranked *right = b;

	if (left->weight != right->weight)
		return left->weight > right->weight ? -1 : 1;
	return strcmp(left->host->host, right->host->host);
}

size_t member_order(const struct member *member, uint64_t key, bool zone_only,
		    const struct member_host ***out, size_t *self, int64_t now)
{
	struct ranked *ranked = g_new(struct ranked, nr_entries(member) + 1);
	size_t nr = 0;

	if (!member->self.leaving)
		ranked[nr++].host = &member->self;
	for (size_t i = 0; i < nr_entries(member); i++) {
		if (is_peer(member, i, now) &&
		    (!zone_only || member->states[i].own_zone))
			ranked[nr++].host = &member->list->hosts[i];
	}
	for (size_t i = 0; i < nr; i++)
		ranked[i].weight = hash_mix(key, ranked[i].host->hash);
	qsort(ranked, nr, sizeof(*ranked), compare_ranked);
	*out = g_new(const struct member_host *, nr + 1);
	*self = nr;
	for (size_t i = 0; i < nr; i++) {
		(*out)[i] = ranked[i].host;
		if (ranked[i].host == &member->self)
			*self = i;
	}
	g_free(ranked);
	return nr;
}

uint64_t member_epoch(const struct member *member)
{
	return member->epoch;
}

static bool is_in_scope(const struct member *member, size_t index,
			enum member_scope scope, int64_t now)
{
	const struct member_state *state = &member->states[index];

	switch (scope) {
	case MEMBER_OWN_ZONE:
		return state->own_zone && is_peer(member, index, now);
	case MEMBER_OTHER_ZONE:
		return !state->own_zone && is_peer(member, index, now);
	case MEMBER_ANY_ZONE:
		return is_peer(member, index, now);
	case MEMBER_SUSPECTED:
		return !state->is_self && state->suspected_until > now &&
		       !member->list->hosts[index].leaving;
	}
	return false;
}

size_t member_sample(struct member *member, enum member_scope scope, size_t nr,
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

const char *member_sample_seed(struct member *member)
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
		const struct member_state *state = &member->states[i];
		int64_t left = state->suspected_until - now;

		json_array_append_new(
			hosts,
			json_pack("{s:s, s:s, s:s, s:s, s:b, s:i, s:I}", "host",
				  host->host, "zone", host->zone, "region",
				  host->region, "control", host->control,
				  "leaving", host->leaving, "unanswered",
				  state->unanswered, "suspected_ms",
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

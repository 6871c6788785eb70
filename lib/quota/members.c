#include <string.h>

#include "base/rng.h"
#include "mesh/readers.h"
#include "quota/quota.h"

uint64_t quota_id(const char *organisation)
{
	return hash_mix(hash_string(organisation), hash_string("quota"));
}

struct quota_members *quota_members_new(void)
{
	struct quota_members *members = g_new0(struct quota_members, 1);

	members->ips = g_ptr_array_new_with_free_func(g_free);
	members->hashes = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	return members;
}

void quota_members_free(struct quota_members *members)
{
	if (!members)
		return;
	g_ptr_array_unref(members->ips);
	g_array_unref(members->hashes);
	g_free(members);
}

void quota_members_add(struct quota_members *members, const char *ip)
{
	uint64_t hash = readers_hash(ip);
	guint low = 0, high = members->ips->len;

	while (low < high) {
		guint middle = (low + high) / 2;
		int order = strcmp(g_ptr_array_index(members->ips, middle), ip);

		if (!order)
			return;
		if (order < 0)
			low = middle + 1;
		else
			high = middle;
	}
	g_ptr_array_insert(members->ips, (gint)low, g_strdup(ip));
	g_array_insert_val(members->hashes, low, hash);
}

bool quota_members_equal(const struct quota_members *a,
			 const struct quota_members *b)
{
	if (a->ips->len != b->ips->len)
		return false;
	for (guint i = 0; i < a->ips->len; i++)
		if (strcmp(g_ptr_array_index(a->ips, i),
			   g_ptr_array_index(b->ips, i)) != 0)
			return false;
	return true;
}

/* The sort key of a daemon for an organisation; the lowest owns it. */
static uint64_t sort_key(const struct quota_members *members, guint i,
			 uint64_t id)
{
	return hash_mix(g_array_index(members->hashes, uint64_t, i), id);
}

const char *quota_members_owner(const struct quota_members *members,
				uint64_t id)
{
	uint64_t lowest = 0;
	guint owner = 0;

	if (!members->ips->len)
		return NULL;
	for (guint i = 0; i < members->ips->len; i++) {
		uint64_t key = sort_key(members, i, id);

		if (i && key >= lowest)
			continue;
		lowest = key;
		owner = i;
	}
	return g_ptr_array_index(members->ips, owner);
}

int quota_members_rank(const struct quota_members *members, uint64_t id,
		       const char *ip)
{
	uint64_t own = hash_mix(readers_hash(ip), id);
	int rank = 0;

	for (guint i = 0; i < members->ips->len; i++)
		rank += sort_key(members, i, id) < own;
	return rank;
}

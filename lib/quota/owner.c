#include <string.h>

#include "base/clock.h"
#include "quota/quota.h"

/*
 * Without a handover, an owner that replaces another one grants nothing for
 * this many lease times after the change: for one lease because the previous
 * owner's leases are valid that long, and longer because that owner may learn
 * of the change later.
 */
#define TAKEOVER_LEASES 3

/* Former sets of daemons that are remembered. */
#define FORMER_MAX 8

/* Buckets beyond this number are checked for idle ones. */
#define BUCKETS_CHECKED 64

struct former {
	struct quota_members *members;
	int64_t ended_at;
};

struct quota_owner {
	char *ip;
	struct quota_bounds bounds;
	struct quota_members *members; /* NULL before the first view */
	struct former former[FORMER_MAX];
	int64_t started_at;  /* when the first view was applied */
	GHashTable *buckets; /* id -> struct quota_bucket */
	guint check_at;	     /* number of buckets for the next check */
};

struct quota_owner *quota_owner_new(const char *ip,
				    const struct quota_bounds *bounds)
{
	struct quota_owner *owner = g_new0(struct quota_owner, 1);

	owner->ip = g_strdup(ip);
	owner->bounds = *bounds;
	owner->check_at = BUCKETS_CHECKED;
	owner->buckets = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					       g_free, g_free);
	return owner;
}

void quota_owner_free(struct quota_owner *owner)
{
	g_hash_table_unref(owner->buckets);
	quota_members_free(owner->members);
	for (int i = 0; i < FORMER_MAX; i++)
		quota_members_free(owner->former[i].members);
	g_free(owner->ip);
	g_free(owner);
}

static bool owns(const struct quota_owner *owner,
		 const struct quota_members *members, uint64_t id)
{
	return !g_strcmp0(quota_members_owner(members, id), owner->ip);
}

static void remember(struct quota_owner *owner, struct quota_members *members,
		     int64_t now)
{
	quota_members_free(owner->former[FORMER_MAX - 1].members);
	memmove(owner->former + 1, owner->former,
		(FORMER_MAX - 1) * sizeof(*owner->former));
	owner->former[0].members = members;
	owner->former[0].ended_at = now;
}

static void hand_over(struct quota_owner *owner, GArray *handovers, int64_t now)
{
	GHashTableIter iter;
	struct quota_bucket *bucket;
	uint64_t *id;

	g_hash_table_iter_init(&iter, owner->buckets);
	while (g_hash_table_iter_next(&iter, (gpointer *)&id,
				      (gpointer *)&bucket)) {
		struct quota_handover handover = {
			.id = *id,
			.owner = quota_members_owner(owner->members, *id),
			.tokens = bucket->tokens,
			.outstanding =
				quota_bucket_outstanding(bucket, &owner->bounds,
							 now),
		};

		if (!handover.owner || !strcmp(handover.owner, owner->ip))
			continue;
		/* A bucket that waits for a handover has nothing to give. */
		if (now >= bucket->grants_from)
			g_array_append_val(handovers, handover);
		g_hash_table_iter_remove(&iter);
	}
}

void quota_owner_set_members(struct quota_owner *owner,
			     struct quota_members *members, GArray *handovers,
			     int64_t now)
{
	if (owner->members && quota_members_equal(owner->members, members)) {
		quota_members_free(members);
		return;
	}
	if (owner->members)
		remember(owner, owner->members, now);
	else
		owner->started_at = now;
	owner->members = members;
	hand_over(owner, handovers, now);
}

const struct quota_members *quota_owner_members(const struct quota_owner *owner)
{
	return owner->members;
}

/*
 * Since when this daemon may grant tokens of an organisation: since it started,
 * or since the time after which the last other owner cannot have granted any.
 */
static int64_t owner_since(const struct quota_owner *owner, uint64_t id)
{
	int64_t takeover_ns = TAKEOVER_LEASES * quota_lease_ns(&owner->bounds);

	for (int i = 0; i < FORMER_MAX && owner->former[i].members; i++)
		if (!owns(owner, owner->former[i].members, id))
			return owner->former[i].ended_at + takeover_ns;
	return owner->started_at;
}

/* Drops buckets that are full again, as a new one would be. */
static void drop_idle(struct quota_owner *owner, int64_t now)
{
	struct quota_bucket *bucket;
	GHashTableIter iter;

	if (g_hash_table_size(owner->buckets) < owner->check_at)
		return;
	g_hash_table_iter_init(&iter, owner->buckets);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&bucket))
		if (now > bucket->full_at &&
		    now - bucket->asked_at > NS_PER_SEC)
			g_hash_table_iter_remove(&iter);
	owner->check_at =
		MAX(BUCKETS_CHECKED, 2 * g_hash_table_size(owner->buckets));
}

static struct quota_bucket *add_bucket(struct quota_owner *owner, uint64_t id,
				       int64_t grants_from)
{
	struct quota_bucket *bucket = g_new0(struct quota_bucket, 1);

	quota_bucket_init(bucket, grants_from);
	g_hash_table_insert(owner->buckets, g_memdup2(&id, sizeof(id)), bucket);
	return bucket;
}

struct quota_grant quota_owner_ask(struct quota_owner *owner, uint64_t id,
				   const struct quota_limit *limit, int wanted,
				   int unused, int64_t now)
{
	struct quota_grant grant = { 0 };
	struct quota_bucket *bucket;

	if (!owner->members)
		return grant;
	grant.owner = quota_members_owner(owner->members, id);
	grant.is_owner = !g_strcmp0(grant.owner, owner->ip);
	if (!grant.is_owner)
		return grant;
	bucket = g_hash_table_lookup(owner->buckets, &id);
	if (!bucket) {
		drop_idle(owner, now);
		bucket = add_bucket(owner, id, owner_since(owner, id));
	}
	grant.tokens = quota_bucket_grant(bucket, &owner->bounds, limit, wanted,
					  unused, now);
	grant.wait_ns = quota_bucket_wait(bucket, limit, now);
	return grant;
}

void quota_owner_receive(struct quota_owner *owner, uint64_t id, double tokens,
			 double outstanding, int64_t now)
{
	struct quota_bucket *bucket = g_hash_table_lookup(owner->buckets, &id);

	/* A bucket that grants already must not get the tokens once more. */
	if (bucket && now >= bucket->grants_from)
		return;
	if (!bucket)
		bucket = add_bucket(owner, id, now);
	quota_bucket_take_over(bucket, &owner->bounds, tokens, outstanding,
			       now);
}

guint quota_owner_nr_buckets(const struct quota_owner *owner)
{
	return g_hash_table_size(owner->buckets);
}

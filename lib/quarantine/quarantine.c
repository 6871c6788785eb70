#include "quarantine/quarantine.h"

#include <glib.h>
#include <string.h>
#include <urcu/list.h>
#include <xxhash.h>

#include "base/clock.h"
#include "base/rng.h"

#define DEFAULT_MAX_ENTRIES 1024
#define NR_BUCKETS 256 /* a power of two */

/*
 * Crashes of one fingerprint at one origin. An entry is kept for another
 * quarantine_ns after its end, so that a late copy of it is recognized and does
 * not start it again.
 */
struct entry {
	struct cds_list_head bucket_node;
	struct cds_list_head send_node; /* in quarantine.send or .unused */
	uint64_t fingerprint;
	uint64_t origin;
	uint64_t last_life; /* life of the last crash; own origin only */
	uint32_t count;
	uint32_t cleared; /* count at the last success or end */
	uint64_t changed; /* number of its last change */
	int64_t end;
};

struct quarantine {
	uint64_t origin;
	int crashes;
	int64_t quarantine_ns;
	size_t max_entries;
	size_t nr_entries;
	/*
	 * Largest count of any own entry so far. The count of a new own entry
	 * starts from it, because peers may still have the larger count of an
	 * entry that was dropped here and would ignore a smaller one.
	 */
	uint32_t own_count;
	uint64_t nr_changes; /* of all entries, since the start */
	struct cds_list_head buckets[NR_BUCKETS]; /* by fingerprint */
	struct cds_list_head send; /* least recently sent first */
	struct cds_list_head unused;
	struct entry *entries; /* all max_entries of them */
};

uint64_t quarantine_fingerprint(const char *service, const char *method,
				const char *path, const void *body,
				size_t body_len)
{
	const char *const texts[] = { service, method, path };
	uint64_t hash = 0;

	/* Each with its NUL, so that "a", "bc" and "ab", "c" differ. */
	for (size_t i = 0; i < G_N_ELEMENTS(texts); i++)
		hash = XXH64(texts[i], strlen(texts[i]) + 1, hash);
	return XXH64(body, body_len, hash);
}

uint64_t quarantine_origin(const char *host, uint64_t incarnation)
{
	return hash_mix(hash_string(host), incarnation);
}

struct quarantine *quarantine_new(const struct quarantine_options *options)
{
	struct quarantine *quarantine = g_new0(struct quarantine, 1);

	quarantine->origin = options->origin;
	quarantine->max_entries = options->max_entries ? options->max_entries
						       : DEFAULT_MAX_ENTRIES;
	quarantine_set_policy(quarantine, options->crashes,
			      options->quarantine_ns);
	for (size_t i = 0; i < NR_BUCKETS; i++)
		CDS_INIT_LIST_HEAD(&quarantine->buckets[i]);
	CDS_INIT_LIST_HEAD(&quarantine->send);
	CDS_INIT_LIST_HEAD(&quarantine->unused);
	quarantine->entries = g_new0(struct entry, quarantine->max_entries);
	for (size_t i = 0; i < quarantine->max_entries; i++)
		cds_list_add_tail(&quarantine->entries[i].send_node,
				  &quarantine->unused);
	return quarantine;
}

void quarantine_free(struct quarantine *quarantine)
{
	g_free(quarantine->entries);
	g_free(quarantine);
}

static void entry_drop(struct quarantine *quarantine, struct entry *entry)
{
	cds_list_del(&entry->bucket_node);
	cds_list_move(&entry->send_node, &quarantine->unused);
	quarantine->nr_entries--;
}

void quarantine_set_policy(struct quarantine *quarantine, int crashes,
			   int64_t quarantine_ns)
{
	quarantine->crashes = crashes;
	quarantine->quarantine_ns = quarantine_ns;
}

static const struct cds_list_head *
bucket_of(const struct quarantine *quarantine, uint64_t fingerprint)
{
	return &quarantine->buckets[fingerprint & (NR_BUCKETS - 1)];
}

static bool is_suspect(const struct entry *entry, int64_t now)
{
	return entry->end > now && entry->count > entry->cleared;
}

bool quarantine_check(const struct quarantine *quarantine, uint64_t fingerprint,
		      int64_t now, int64_t *until)
{
	const struct entry *entry = NULL;
	uint64_t count = 0;
	int64_t end = 0;

	cds_list_for_each_entry (entry, bucket_of(quarantine, fingerprint),
				 bucket_node) {
		if (entry->fingerprint != fingerprint ||
		    !is_suspect(entry, now))
			continue;
		count += entry->count - entry->cleared;
		end = MAX(end, entry->end);
	}
	if (count < (uint64_t)quarantine->crashes)
		return false;
	if (until)
		*until = end;
	return true;
}

static struct entry *entry_find(const struct quarantine *quarantine,
				uint64_t fingerprint, uint64_t origin)
{
	struct entry *entry;

	cds_list_for_each_entry (entry, bucket_of(quarantine, fingerprint),
				 bucket_node)
		if (entry->fingerprint == fingerprint &&
		    entry->origin == origin)
			return entry;
	return NULL;
}

/*
 * Order of eviction, lowest first. Entries received from peers must not evict
 * those of crashes on this host.
 */
enum entry_rank {
	RANK_NOT_SUSPECT,
	RANK_RECEIVED,
	RANK_OWN,
	RANK_QUARANTINED
};

static enum entry_rank rank_of(const struct quarantine *quarantine,
			       const struct entry *entry, int64_t now)
{
	if (!is_suspect(entry, now))
		return RANK_NOT_SUSPECT;
	if (quarantine_check(quarantine, entry->fingerprint, now, NULL))
		return RANK_QUARANTINED;
	return entry->origin == quarantine->origin ? RANK_OWN : RANK_RECEIVED;
}

/* Drops the entry of lowest rank that ends first. */
static void evict(struct quarantine *quarantine, int64_t now)
{
	struct entry *entry = NULL, *victim = NULL;
	enum entry_rank least = RANK_QUARANTINED;

	cds_list_for_each_entry (entry, &quarantine->send, send_node) {
		enum entry_rank rank = rank_of(quarantine, entry, now);

		if (!victim || rank < least ||
		    (rank == least && entry->end < victim->end)) {
			victim = entry;
			least = rank;
		}
	}
	if (victim)
		entry_drop(quarantine, victim);
}

static struct entry *entry_get(struct quarantine *quarantine,
			       uint64_t fingerprint, uint64_t origin,
			       int64_t now)
{
	struct entry *entry = entry_find(quarantine, fingerprint, origin);

	if (entry)
		return entry;
	if (quarantine->nr_entries >= quarantine->max_entries)
		quarantine_expire(quarantine, now);
	if (quarantine->nr_entries >= quarantine->max_entries)
		evict(quarantine, now);
	entry = cds_list_first_entry(&quarantine->unused, struct entry,
				     send_node);
	cds_list_del(&entry->send_node);
	*entry = (struct entry){ .fingerprint = fingerprint, .origin = origin };
	cds_list_add(&entry->bucket_node,
		     &quarantine->buckets[fingerprint & (NR_BUCKETS - 1)]);
	cds_list_add(&entry->send_node, &quarantine->send);
	quarantine->nr_entries++;
	return entry;
}

/* Marks the entry as changed and makes it the next one to send. */
static void note_change(struct quarantine *quarantine, struct entry *entry)
{
	entry->changed = ++quarantine->nr_changes;
	cds_list_move(&entry->send_node, &quarantine->send);
}

static void entry_export(const struct entry *entry, int64_t now,
			 struct quarantine_entry *exported)
{
	exported->fingerprint = entry->fingerprint;
	exported->origin = entry->origin;
	exported->count = entry->count;
	exported->cleared = entry->cleared;
	exported->left_ms =
		(uint32_t)MIN(UINT32_MAX, (entry->end - now) / NS_PER_MS);
}

/* Clears crashes that have ended, so that they do not add to a new one. */
static void clear_ended(struct entry *entry, int64_t now)
{
	if (entry->end <= now)
		entry->cleared = entry->count;
}

/* Extends the end of the entry, which has changed. */
static void entry_renew(struct quarantine *quarantine, struct entry *entry,
			int64_t end)
{
	entry->end = MAX(entry->end, end);
	note_change(quarantine, entry);
}

void quarantine_crash(struct quarantine *quarantine, uint64_t fingerprint,
		      uint64_t life, int64_t now,
		      struct quarantine_entry *entry)
{
	struct entry *own =
		entry_get(quarantine, fingerprint, quarantine->origin, now);

	if (!own->count)
		own->count = quarantine->own_count;
	if (life > own->last_life) {
		clear_ended(own, now);
		own->count++;
		quarantine->own_count = MAX(quarantine->own_count, own->count);
		own->last_life = life;
		entry_renew(quarantine, own, now + quarantine->quarantine_ns);
	}
	if (entry)
		entry_export(own, now, entry);
}

static bool merge_cleared(struct quarantine *quarantine, struct entry *entry,
			  uint32_t cleared)
{
	if (cleared <= entry->cleared)
		return false;
	entry->cleared = cleared;
	note_change(quarantine, entry);
	return true;
}

void quarantine_success(struct quarantine *quarantine, uint64_t fingerprint,
			int64_t now)
{
	struct entry *entry;

	cds_list_for_each_entry (entry, bucket_of(quarantine, fingerprint),
				 bucket_node)
		if (entry->fingerprint == fingerprint && is_suspect(entry, now))
			merge_cleared(quarantine, entry, entry->count);
}

bool quarantine_merge(struct quarantine *quarantine,
		      const struct quarantine_entry *received, int64_t now)
{
	struct entry *entry;
	int64_t left = (int64_t)received->left_ms * NS_PER_MS;

	if (!received->count || !received->left_ms ||
	    received->cleared > received->count)
		return false;
	entry = entry_find(quarantine, received->fingerprint, received->origin);
	if (entry && entry->count >= received->count)
		return merge_cleared(quarantine, entry, received->cleared);
	/* Only this daemon counts crashes for its own origin. */
	if (received->origin == quarantine->origin)
		return false;
	entry = entry_get(quarantine, received->fingerprint, received->origin,
			  now);
	clear_ended(entry, now);
	entry->count = received->count;
	entry->cleared = MAX(entry->cleared, received->cleared);
	entry_renew(quarantine, entry,
		    now + MIN(left, quarantine->quarantine_ns));
	return true;
}

size_t quarantine_export(struct quarantine *quarantine, int64_t now,
			 struct quarantine_entry *entries, size_t max)
{
	CDS_LIST_HEAD(sent);
	struct entry *entry = NULL, *next;
	size_t n = 0;

	cds_list_for_each_entry_safe (entry, next, &quarantine->send,
				      send_node) {
		if (n == max)
			break;
		if (entry->end - now < NS_PER_MS)
			continue;
		entry_export(entry, now, &entries[n++]);
		cds_list_move(&entry->send_node, &sent);
	}
	cds_list_splice(&sent, quarantine->send.prev);
	return n;
}

/* The entry with the first change after the position, or NULL. */
static const struct entry *first_after(const struct quarantine *quarantine,
				       uint64_t position, int64_t now)
{
	const struct entry *entry = NULL, *first = NULL;

	cds_list_for_each_entry (entry, &quarantine->send, send_node)
		if (entry->changed > position &&
		    entry->end - now >= NS_PER_MS &&
		    (!first || entry->changed < first->changed))
			first = entry;
	return first;
}

size_t quarantine_export_after(const struct quarantine *quarantine,
			       uint64_t *position, int64_t now,
			       struct quarantine_entry *entries, size_t max)
{
	size_t n = 0;

	while (*position < quarantine->nr_changes && n < max) {
		const struct entry *entry =
			first_after(quarantine, *position, now);

		if (!entry) {
			*position = quarantine->nr_changes;
			break;
		}
		entry_export(entry, now, &entries[n++]);
		*position = entry->changed;
	}
	return n;
}

size_t quarantine_expire(struct quarantine *quarantine, int64_t now)
{
	struct entry *entry = NULL, *next;

	cds_list_for_each_entry_safe (entry, next, &quarantine->send, send_node)
		if (entry->end + quarantine->quarantine_ns <= now)
			entry_drop(quarantine, entry);
	return quarantine->nr_entries;
}

json_t *quarantine_dump(const struct quarantine *quarantine, int64_t now)
{
	json_t *list = json_array();
	const struct entry *entry = NULL;
	char text[17];

	cds_list_for_each_entry (entry, &quarantine->send, send_node) {
		if (!is_suspect(entry, now))
			continue;
		g_snprintf(text, sizeof(text), "%016" G_GINT64_MODIFIER "x",
			   entry->fingerprint);
		json_array_append_new(
			list,
			json_pack(
				"{s:s, s:b, s:i, s:b, s:I}", "fingerprint",
				text, "own",
				entry->origin == quarantine->origin, "crashes",
				(int)(entry->count - entry->cleared), "refused",
				quarantine_check(quarantine, entry->fingerprint,
						 now, NULL),
				"left_ms",
				(json_int_t)((entry->end - now) / NS_PER_MS)));
	}
	return json_pack("{s:I, s:I, s:o}", "entries",
			 (json_int_t)quarantine->nr_entries, "entries_max",
			 (json_int_t)quarantine->max_entries, "suspects", list);
}

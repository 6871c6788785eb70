#include "mesh/entry_judge.h"

/* Ids beyond which what is known of starts is forgotten; few have any. */
#define STARTS_MAX 4096

struct entry_judge {
	GHashTable *starts; /* id -> struct entry_starts */
	struct boots *boots;
};

struct entry_judge *entry_judge_new(void)
{
	struct entry_judge *judge = g_new0(struct entry_judge, 1);

	judge->starts =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	judge->boots = boots_new();
	return judge;
}

void entry_judge_free(struct entry_judge *judge)
{
	g_hash_table_unref(judge->starts);
	boots_free(judge->boots);
	g_free(judge);
}

struct boots *entry_judge_boots(struct entry_judge *judge)
{
	return judge->boots;
}

static struct entry_starts *get_starts(struct entry_judge *judge,
				       const char *id)
{
	struct entry_starts *starts = g_hash_table_lookup(judge->starts, id);

	if (starts)
		return starts;
	if (g_hash_table_size(judge->starts) >= STARTS_MAX)
		g_hash_table_remove_all(judge->starts);
	starts = g_new0(struct entry_starts, 1);
	g_hash_table_insert(judge->starts, g_strdup(id), starts);
	return starts;
}

static struct entry_order place(const struct entry_judge *judge, const char *id,
				const struct entry_order *order)
{
	const struct entry_starts *starts =
		g_hash_table_lookup(judge->starts, id);

	return starts ? entry_starts_place(starts, order) : *order;
}

static struct entry_order order_of(const struct mesh_target *target)
{
	return (struct entry_order){ target->started_ms, target->sequence };
}

int64_t entry_judge_rank(const struct entry_judge *judge, const char *id,
			 const struct entry_order *order)
{
	const struct entry_order placed = place(judge, id, order);

	return entry_order_rank(&placed);
}

/* Makes the target's start the present one; returns the rank of its entry. */
static int64_t take_over(struct entry_judge *judge,
			 const struct mesh_target *target, int64_t counted_ms)
{
	const struct entry_order order = { counted_ms, target->sequence };

	entry_starts_take(get_starts(judge, target->id), target->started_ms,
			  counted_ms);
	boots_take(judge->boots, target, counted_ms);
	return entry_order_rank(&order);
}

/* Judges an entry against another start of the same id. */
static enum entry_verdict judge_start(struct entry_judge *judge,
				      const struct mesh_target *target,
				      const struct entry_order *known,
				      int64_t *rank)
{
	const struct entry_order order = order_of(target);

	*rank = entry_order_rank(known);
	if (!entry_starts_doubt(get_starts(judge, target->id), &order))
		return ENTRY_RULED_OUT;
	*rank = take_over(judge, target, known->started_ms + 1);
	return ENTRY_TAKEN_OVER;
}

/* Judges an entry against the boots of its address. */
static enum entry_verdict judge_boot(struct entry_judge *judge,
				     const struct mesh_config *config,
				     const struct mesh_target *target,
				     int64_t *rank)
{
	const struct entry_order order = order_of(target);

	if (!mesh_config_has_service(config, target) ||
	    boots_compare(judge->boots, target) == ENTRY_LATER)
		return ENTRY_TAKEN;
	*rank = entry_judge_rank(judge, target->id, &order);
	if (!boots_doubt(judge->boots, target))
		return ENTRY_OF_FORMER_BOOT;
	*rank = take_over(judge, target,
			  boots_started(judge->boots, target->address) + 1);
	return ENTRY_TAKEN_OVER;
}

enum entry_verdict entry_judge_write(struct entry_judge *judge,
				     const struct mesh_config *config,
				     const struct mesh_target *target,
				     const struct entry_order *known,
				     int64_t *rank)
{
	struct entry_order order = order_of(target);
	struct entry_order latest;

	if (!known)
		return judge_boot(judge, config, target, rank);
	latest = place(judge, target->id, known);
	order = place(judge, target->id, &order);
	switch (entry_order_compare(&latest, &order)) {
	case ENTRY_DOUBTFUL:
		return judge_start(judge, target, &latest, rank);
	case ENTRY_FORMER:
		*rank = entry_order_rank(&latest);
		return ENTRY_RULED_OUT;
	case ENTRY_LATER:
		break;
	}
	if (g_hash_table_contains(judge->starts, target->id))
		entry_starts_settle(get_starts(judge, target->id));
	return judge_boot(judge, config, target, rank);
}

void entry_judge_learn(struct entry_judge *judge,
		       const struct mesh_target *target, int64_t rank)
{
	const struct entry_order order = order_of(target);

	if (rank > entry_judge_rank(judge, target->id, &order))
		take_over(judge, target, entry_rank_started(rank));
}

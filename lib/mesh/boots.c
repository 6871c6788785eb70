#include "mesh/boots.h"

/* Addresses above which those without a registration are forgotten. */
#define ADDRESSES_MAX 4096

/* The present boot of an address. */
struct boot {
	char *id;	    /* NULL: none is known */
	int64_t started_ms; /* its place in the order of starts */
	int64_t revision;   /* of its registration */
	bool registered;    /* the latest view has it */
	bool used;	    /* the latest view has one at the address */
	struct entry_starts starts;
	char *doubtful_id; /* of the doubtful writes; NULL: none */
};

struct boots {
	GHashTable *by_address; /* address -> struct boot */
};

static void free_boot(void *arg)
{
	struct boot *boot = arg;

	g_free(boot->id);
	g_free(boot->doubtful_id);
	g_free(boot);
}

struct boots *boots_new(void)
{
	struct boots *boots = g_new0(struct boots, 1);

	boots->by_address = g_hash_table_new_full(g_str_hash, g_str_equal,
						  g_free, free_boot);
	return boots;
}

void boots_free(struct boots *boots)
{
	g_hash_table_unref(boots->by_address);
	g_free(boots);
}

static struct boot *find_boot(const struct boots *boots, const char *address)
{
	return g_hash_table_lookup(boots->by_address, address);
}

static struct boot *get_boot(struct boots *boots, const char *address)
{
	struct boot *boot = find_boot(boots, address);

	if (boot)
		return boot;
	boot = g_new0(struct boot, 1);
	g_hash_table_insert(boots->by_address, g_strdup(address), boot);
	return boot;
}

static bool is_present(const struct boot *boot,
		       const struct mesh_target *target)
{
	return !g_strcmp0(boot->id, target->id);
}

bool boots_is_former(const struct boots *boots,
		     const struct mesh_target *target)
{
	const struct boot *boot = find_boot(boots, target->address);

	return boot && boot->id && !is_present(boot, target);
}

static enum entry_relation compare(const struct boot *boot,
				   const struct mesh_target *target)
{
	const struct entry_order known = { boot->started_ms, boot->revision };
	const struct entry_order order = mesh_target_order(target);

	if (!boot->id || is_present(boot, target))
		return ENTRY_LATER;
	return entry_order_compare(&known, &order);
}

enum entry_relation boots_compare(const struct boots *boots,
				  const struct mesh_target *target)
{
	const struct boot *boot = find_boot(boots, target->address);

	return boot && compare(boot, target) != ENTRY_LATER ? ENTRY_DOUBTFUL
							    : ENTRY_LATER;
}

bool boots_doubt(struct boots *boots, const struct mesh_target *target)
{
	const struct entry_order order = { target->started_ms,
					   target->sequence };
	struct boot *boot = get_boot(boots, target->address);

	if (g_strcmp0(boot->doubtful_id, target->id)) {
		entry_starts_settle(&boot->starts);
		g_free(boot->doubtful_id);
		boot->doubtful_id = g_strdup(target->id);
	}
	return entry_starts_doubt(&boot->starts, &order) && !boot->registered;
}

/* Makes a boot the present one, with its place in the order of starts. */
static void set_present(struct boot *boot, const struct mesh_target *target,
			int64_t started_ms)
{
	g_free(boot->id);
	boot->id = g_strdup(target->id);
	boot->started_ms = started_ms;
	boot->revision = target->revision;
	entry_starts_take(&boot->starts, target->started_ms, started_ms);
}

int64_t boots_started(const struct boots *boots, const char *address)
{
	const struct boot *boot = find_boot(boots, address);

	return boot ? boot->started_ms : 0;
}

void boots_take(struct boots *boots, const struct mesh_target *target,
		int64_t counted_ms)
{
	set_present(get_boot(boots, target->address), target, counted_ms);
}

/* Notes what a view says of the present boot of an address. */
static void note(struct boots *boots, const struct mesh_target *target)
{
	struct boot *boot = get_boot(boots, target->address);
	const struct entry_order order = { target->started_ms, 0 };

	boot->used = true;
	if (!is_present(boot, target))
		return;
	boot->registered = true;
	boot->revision = MAX(boot->revision, target->revision);
	boot->started_ms = entry_starts_place(&boot->starts, &order).started_ms;
}

static void supersede(struct boots *boots, const struct mesh_target *target)
{
	struct boot *boot = get_boot(boots, target->address);

	if (is_present(boot, target) || compare(boot, target) != ENTRY_LATER)
		return;
	set_present(boot, target, target->started_ms);
	boot->registered = true;
}

/* Calls each() for the registrations of known services in the view. */
static void each_known(struct boots *boots, const struct mesh_view *view,
		       void (*each)(struct boots *boots,
				    const struct mesh_target *target))
{
	for (guint i = 0; i < view->targets->len; i++) {
		const struct mesh_target *target =
			g_ptr_array_index(view->targets, i);

		if (mesh_config_has_service(view->config, target))
			each(boots, target);
	}
}

static void clear_marks(gpointer key, gpointer value, gpointer ctx)
{
	struct boot *boot = value;

	(void)key;
	(void)ctx;
	boot->used = false;
	boot->registered = false;
}

static gboolean is_unused(gpointer key, gpointer value, gpointer ctx)
{
	const struct boot *boot = value;

	(void)key;
	(void)ctx;
	return !boot->used;
}

guint boots_remove_former(struct boots *boots, struct mesh_view *view)
{
	guint nr = view->targets->len;

	g_hash_table_foreach(boots->by_address, clear_marks, NULL);
	each_known(boots, view, note);
	each_known(boots, view, supersede);
	if (g_hash_table_size(boots->by_address) > ADDRESSES_MAX)
		g_hash_table_foreach_remove(boots->by_address, is_unused, NULL);
	/* From the end, as the last one takes the place of one removed. */
	for (guint i = view->targets->len; i > 0; i--) {
		const struct mesh_target *target =
			g_ptr_array_index(view->targets, i - 1);

		if (mesh_config_has_service(view->config, target) &&
		    boots_is_former(boots, target))
			g_ptr_array_remove_index_fast(view->targets, i - 1);
	}
	return nr - view->targets->len;
}

#include "mesh/boots.h"

struct boot {
	int64_t revision; /* of the newest registration at the address */
	bool registered;  /* the latest view had one at the address */
};

struct boots {
	GHashTable *by_address; /* address -> struct boot */
};

struct boots *boots_new(void)
{
	struct boots *boots = g_new0(struct boots, 1);

	boots->by_address =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return boots;
}

void boots_free(struct boots *boots)
{
	g_hash_table_unref(boots->by_address);
	g_free(boots);
}

static bool has_known_service(const struct mesh_view *view,
			      const struct mesh_target *target)
{
	return view->config &&
	       g_hash_table_contains(view->config->services, target->service);
}

static void note(struct boots *boots, const struct mesh_target *target)
{
	struct boot *boot =
		g_hash_table_lookup(boots->by_address, target->address);

	if (!boot) {
		boot = g_new0(struct boot, 1);
		g_hash_table_insert(boots->by_address,
				    g_strdup(target->address), boot);
	}
	boot->revision = MAX(boot->revision, target->revision);
	boot->registered = true;
}

bool boots_is_former(const struct boots *boots,
		     const struct mesh_target *target)
{
	const struct boot *boot =
		g_hash_table_lookup(boots->by_address, target->address);

	return boot && target->revision < boot->revision;
}

/* Clears the mark of a boot; returns whether its address is unused. */
static gboolean is_unused(gpointer key, gpointer value, gpointer ctx)
{
	struct boot *boot = value;
	bool unused = !boot->registered;

	(void)key;
	(void)ctx;
	boot->registered = false;
	return unused;
}

guint boots_remove_former(struct boots *boots, struct mesh_view *view)
{
	guint nr = view->targets->len;

	for (guint i = 0; i < view->targets->len; i++) {
		const struct mesh_target *target =
			g_ptr_array_index(view->targets, i);

		if (has_known_service(view, target))
			note(boots, target);
	}
	g_hash_table_foreach_remove(boots->by_address, is_unused, NULL);
	/* From the end, as the last one takes the place of one removed. */
	for (guint i = view->targets->len; i > 0; i--) {
		const struct mesh_target *target =
			g_ptr_array_index(view->targets, i - 1);

		if (has_known_service(view, target) &&
		    boots_is_former(boots, target))
			g_ptr_array_remove_index_fast(view->targets, i - 1);
	}
	return nr - view->targets->len;
}

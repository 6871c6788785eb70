#include "mesh/organisation.h"

#include <string.h>

static guint hash_digest(gconstpointer key)
{
	guint hash;

	memcpy(&hash, ((const struct digest *)key)->bytes, sizeof(hash));
	return hash;
}

/* Compares in constant time. */
static gboolean digests_equal(gconstpointer a, gconstpointer b)
{
	const struct digest *left = a, *right = b;
	unsigned difference = 0;

	for (size_t i = 0; i < DIGEST_BYTES; i++)
		difference |= left->bytes[i] ^ right->bytes[i];
	return !difference;
}

static void free_organisation(void *arg)
{
	struct mesh_organisation *organisation = arg;

	g_free(organisation->name);
	g_free(organisation);
}

struct mesh_organisations *mesh_organisations_new(void)
{
	struct mesh_organisations *organisations =
		g_new0(struct mesh_organisations, 1);

	organisations->all = g_ptr_array_new_with_free_func(free_organisation);
	organisations->by_name = g_hash_table_new(g_str_hash, g_str_equal);
	organisations->by_key =
		g_hash_table_new_full(hash_digest, digests_equal, g_free, NULL);
	return organisations;
}

void mesh_organisations_free(struct mesh_organisations *organisations)
{
	if (!organisations)
		return;
	g_hash_table_unref(organisations->by_key);
	g_hash_table_unref(organisations->by_name);
	g_ptr_array_unref(organisations->all);
	g_free(organisations);
}

/* Whether a name can be the value of a header field and of a message. */
static bool is_valid_name(const char *name)
{
	size_t len = strlen(name);

	if (!len || len > MESH_ORGANISATION_NAME_MAX || name[0] == ' ' ||
	    name[len - 1] == ' ')
		return false;
	for (; *name; name++)
		if (g_ascii_iscntrl(*name))
			return false;
	return true;
}

struct mesh_organisation *
mesh_organisations_add(struct mesh_organisations *organisations,
		       const char *name)
{
	struct mesh_organisation *organisation;

	if (!is_valid_name(name) ||
	    g_hash_table_contains(organisations->by_name, name))
		return NULL;
	organisation = g_new0(struct mesh_organisation, 1);
	organisation->name = g_strdup(name);
	g_ptr_array_add(organisations->all, organisation);
	g_hash_table_insert(organisations->by_name, organisation->name,
			    organisation);
	return organisation;
}

bool mesh_organisations_add_key(struct mesh_organisations *organisations,
				struct mesh_organisation *organisation,
				const char *key)
{
	const struct mesh_organisation *owner;
	struct digest digest;

	if (!*key)
		return false;
	digest_compute(&digest, key, strlen(key));
	owner = mesh_organisations_find_key(organisations, &digest);
	if (owner)
		return owner == organisation;
	g_hash_table_insert(organisations->by_key,
			    g_memdup2(&digest, sizeof(digest)), organisation);
	return true;
}

const struct mesh_organisation *
mesh_organisations_find_key(const struct mesh_organisations *organisations,
			    const struct digest *digest)
{
	return g_hash_table_lookup(organisations->by_key, digest);
}

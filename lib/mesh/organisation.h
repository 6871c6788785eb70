#ifndef MESH_ORGANISATION_H
#define MESH_ORGANISATION_H

#include <glib.h>
#include <stdbool.h>

#include "base/digest.h"

/*
 * The organisations of a configuration and the keys by which their requests are
 * recognised. Keys are kept as digests only, so that neither a state dump nor a
 * core file of this table shows one. A lookup hashes the key and finds the
 * digest in a hash table: it costs the same for any number of organisations,
 * and its time does not depend on how much of a key is right.
 */

/* Longest name; it has to fit into relay_request.organisation. */
#define MESH_ORGANISATION_NAME_MAX 63

struct mesh_organisation {
	char *name;
	int priority;	   /* 0 is the most urgent */
	double rate_per_s; /* 0: no limit */
	double burst;	   /* requests beyond the rate */
};

struct mesh_organisations {
	GPtrArray *all;	     /* struct mesh_organisation */
	GHashTable *by_name; /* name -> struct mesh_organisation */
	GHashTable *by_key;  /* struct digest -> struct mesh_organisation */
};

struct mesh_organisations *mesh_organisations_new(void);
void mesh_organisations_free(struct mesh_organisations *organisations);

/*
 * Adds an organisation. Returns NULL if the name is used already, or cannot be
 * sent in a header field.
 */
struct mesh_organisation *
mesh_organisations_add(struct mesh_organisations *organisations,
		       const char *name);

/* Adds a key; false if it is empty or belongs to another organisation. */
bool mesh_organisations_add_key(struct mesh_organisations *organisations,
				struct mesh_organisation *organisation,
				const char *key);

/* The organisation whose key has this digest, or NULL. */
const struct mesh_organisation *
mesh_organisations_find_key(const struct mesh_organisations *organisations,
			    const struct digest *digest);

#endif

#include <malloc.h>

#include "control_internal.h"
#include "snapshot.h"

static struct manifest *parse_manifest(const struct dist_version *version,
				       struct findings *findings)
{
	return manifest_parse(version->manifest->bytes, version->manifest->len,
			      findings);
}

/* Returns the bytes of each part. The version still owns the bytes. */
static const char **part_data(const struct dist_version *version)
{
	const char **data = g_new0(const char *, version->nr_parts + 1);

	for (size_t i = 0; i < version->nr_parts; i++)
		data[i] = version->parts[i].blob->bytes;
	return data;
}

static struct tree *assemble_version(const struct dist_version *version,
				     struct findings *findings)
{
	CLEANUP(manifest_freep)
	struct manifest *manifest = parse_manifest(version, findings);
	g_autofree const char **data = NULL;

	if (!manifest)
		return NULL;
	data = part_data(version);
	return tree_assemble(manifest, data, findings);
}

/* An accepted version has no errors, so the findings are dropped. */
struct tree *control_assemble(const struct dist_version *version)
{
	struct findings findings;
	struct tree *tree;

	findings_init(&findings);
	tree = assemble_version(version, &findings);
	findings_release(&findings);
	return tree;
}

/* Builds the table of a version from all of its parts. */
static struct table *build_table(struct control *control,
				 const struct dist_version *version,
				 struct findings *findings)
{
	CLEANUP(tree_freep)
	struct tree *tree = assemble_version(version, findings);

	return tree ? table_new(tree, &version->id,
				control->options.settings->zone)
		    : NULL;
}

/*
 * Builds the table of a version incrementally, from the table in force and the
 * parts that changed. Returns NULL when a full build is needed.
 */
static struct table *update_table(struct control *control,
				  const struct dist_version *version)
{
	const struct dist_version *in_force = dist_in_force(control->dist);
	struct snapshot *snapshot = snapshot_get();
	CLEANUP(manifest_freep) struct manifest *base = NULL;
	CLEANUP(manifest_freep) struct manifest *manifest = NULL;
	g_autofree const char **data = NULL;
	struct table *table = NULL;
	struct findings findings;

	findings_init(&findings);
	if (in_force && snapshot &&
	    !version_id_compare(&in_force->id, &snapshot->table->id)) {
		base = parse_manifest(in_force, &findings);
		manifest = parse_manifest(version, &findings);
		data = part_data(version);
	}
	if (base && manifest)
		table = table_update(snapshot->table, base, manifest, data,
				     control->options.settings->zone);
	if (snapshot)
		snapshot_put(snapshot);
	findings_release(&findings);
	return table;
}

static bool accept_version(void *ctx, const struct dist_version *version,
			   struct findings *findings)
{
	struct control *control = ctx;

	table_free(control->validated);
	control->validated = update_table(control, version);
	if (!control->validated)
		control->validated = build_table(control, version, findings);
	return control->validated != NULL;
}

const struct dist_validator control_validator = {
	.accept = accept_version,
};

void control_apply(struct control *control, struct dist_version *version)
{
	struct table *table = control->validated;
	struct findings findings;

	control->validated = NULL;
	/* Another version may have been validated in the meantime. */
	if (table && version_id_compare(&table->id, &version->id) != 0) {
		table_free(table);
		table = NULL;
	}
	findings_init(&findings);
	if (!table)
		table = build_table(control, version, &findings);
	findings_release(&findings);
	if (!table)
		return;
	control->options.ops->apply(control->options.ctx, table);
	/* Releases heap pages that the old table and the parse trees held. */
	malloc_trim(0);
}

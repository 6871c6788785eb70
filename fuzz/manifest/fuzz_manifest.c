#include <string.h>

#include "../expect.h"
#include "dist/dist.h"
#include "tree/tree.h"

/*
 * The manifest parsers of dist and of tree read the same bytes. A manifest
 * that only one of them accepts would be fetched and then refused, or refused
 * although `godwitspur check` passed it.
 */

static void expect_same(const struct dist_version *version,
			const struct manifest *manifest)
{
	expect(!version_id_compare(&version->id, &manifest->id));
	expect(version->nr_parts == manifest->nr_entries);
	for (size_t i = 0; i < version->nr_parts; i++) {
		const struct dist_part *part = &version->parts[i];
		const struct manifest_entry *entry = &manifest->entries[i];

		expect(!strcmp(part->name, entry->name));
		expect(!digest_compare(&part->digest, &entry->digest));
		expect(part->bytes == entry->bytes);
	}
}

/* Every finding must appear in the state dump. */
static void expect_shown(struct findings *findings)
{
	json_t *json = findings_to_json(findings);

	expect(json_array_size(json) ==
	       findings->nr_errors + findings->nr_warnings);
	json_decref(json);
	findings_release(findings);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct blob *blob = blob_new(data, size);
	struct findings by_dist, by_tree;
	struct dist_version *version;
	struct manifest *manifest;
	int64_t number;

	findings_init(&by_dist);
	findings_init(&by_tree);
	version = dist_version_parse(blob, &by_dist, &number);
	manifest = manifest_parse((const char *)data, size, &by_tree);
	expect(!version == !manifest);
	expect(!version == (by_dist.nr_errors > 0));
	if (version)
		expect_same(version, manifest);
	expect_shown(&by_dist);
	expect_shown(&by_tree);
	dist_version_unref(version);
	manifest_free(manifest);
	blob_unref(blob);
	return 0;
}

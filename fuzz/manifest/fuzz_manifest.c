#include <string.h>

#include "../expect.h"
#include "dist/dist.h"
#include "tree/tree.h"

/*
 * Compares the manifest parsers of the libraries dist and tree on the same
 * bytes. A manifest that only one of them accepts would be fetched and then
 * refused, or refused although `godwitspur check` accepted it.
 */

static void expect_equal(const struct dist_version *version,
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

/* Checks that the JSON output holds every finding; releases the findings. */
static void check_findings_json(struct findings *findings)
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
	struct findings dist_findings, tree_findings;
	struct dist_version *version;
	struct manifest *manifest;
	int64_t number;

	findings_init(&dist_findings);
	findings_init(&tree_findings);
	version = dist_version_parse(blob, &dist_findings, &number);
	manifest = manifest_parse((const char *)data, size, &tree_findings);
	expect(!version == !manifest);
	expect(!version == (dist_findings.nr_errors > 0));
	if (version)
		expect_equal(version, manifest);
	check_findings_json(&dist_findings);
	check_findings_json(&tree_findings);
	dist_version_unref(version);
	manifest_free(manifest);
	blob_unref(blob);
	return 0;
}

#include "../expect.h"
#include "tree/tree.h"

/*
 * Feeds one input to each parser of the library tree. An accepted tree that is
 * split into parts and put together again must be accepted and equal the
 * original. Otherwise a daemon would refuse or alter a version that passed the
 * check before it was published.
 */

static struct tree *assemble(const struct bundle *bundle,
			     struct findings *findings)
{
	CLEANUP(manifest_freep)
	struct manifest *manifest =
		manifest_parse(bundle->manifest, bundle->manifest_len,
			       findings);
	g_autofree const char **data = g_new(const char *, bundle->nr_parts);

	expect(manifest && manifest->nr_entries == bundle->nr_parts);
	for (size_t i = 0; i < bundle->nr_parts; i++)
		data[i] = bundle->parts[i].data;
	return tree_assemble(manifest, data, findings);
}

static void check_whole_tree(const char *text, size_t size,
			     struct findings *findings)
{
	CLEANUP(tree_freep)
	struct tree *tree = tree_parse(text, size, "fuzz", findings);
	CLEANUP(tree_freep) struct tree *assembled = NULL;
	CLEANUP(bundle_freep) struct bundle *bundle = NULL;
	CLEANUP(table_freep) struct table *table = NULL;
	g_autoptr(GString) changes = g_string_new(NULL);

	expect(tree || findings->nr_errors);
	if (!tree)
		return;
	bundle = tree_split(tree, findings);
	expect(bundle);
	assembled = assemble(bundle, findings);
	expect(assembled);
	expect(tree_diff(tree, assembled, changes) == 0);
	table = table_new(assembled, &bundle->id, "z1");
	table_match(table, HTTP_METHOD_GET, "/portal/orders/1");
}

/* Assembles a tree from an empty root and the input as a service part. */
static void check_part(const char *text, size_t size, struct findings *findings)
{
	char root[] = "root", service[] = "service/a";
	struct manifest_entry entries[] = {
		{ .name = root, .bytes = 2 },
		{ .name = service, .bytes = size },
	};
	struct manifest manifest = { .id = { .number = 1 },
				     .entries = entries,
				     .nr_entries = 2 };
	const char *data[] = { "{}", text };

	tree_free(tree_assemble(&manifest, data, findings));
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	const char *text = (const char *)data;
	struct findings findings;

	findings_init(&findings);
	check_whole_tree(text, size, &findings);
	check_part(text, size, &findings);
	manifest_free(manifest_parse(text, size, &findings));
	json_decref(findings_to_json(&findings));
	findings_release(&findings);
	return 0;
}

#include <errno.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "cmd_tree.h"

/*
 * Version numbers only increase, so a number that is far too high by mistake
 * leaves no higher numbers for corrections. 2^40 is enough for millions of
 * years at 1,300 changes a day.
 */
#define USUAL_VERSION_MAX (INT64_C(1) << 40)

#define FILE_MODE 0666
#define DIRECTORY_MODE 0777

/* Writes a file under a temporary name, syncs it and renames it. */
static bool write_file(const char *directory, const char *name,
		       const char *data, size_t len)
{
	g_autofree char *path = g_build_filename(directory, name, NULL);
	g_autoptr(GError) error = NULL;

	if (g_file_set_contents_full(path, data, (gssize)len,
				     G_FILE_SET_CONTENTS_CONSISTENT |
					     G_FILE_SET_CONTENTS_DURABLE,
				     FILE_MODE, &error))
		return true;
	fprintf(stderr, "godwitspur: %s\n", error->message);
	return false;
}

/* Writes the manifest last: readers expect all parts that it lists. */
static bool write_bundle(const struct bundle *bundle, const char *directory)
{
	g_autofree char *parts = g_build_filename(directory, "part", NULL);
	char hex[DIGEST_HEX_CHARS + 1];

	if (g_mkdir_with_parents(parts, DIRECTORY_MODE) != 0) {
		fprintf(stderr, "godwitspur: cannot create %s: %s\n", parts,
			strerror(errno));
		return false;
	}
	for (size_t i = 0; i < bundle->nr_parts; i++) {
		const struct part *part = &bundle->parts[i];

		digest_to_hex(&part->digest, hex);
		if (!write_file(parts, hex, part->data, part->len))
			return false;
	}
	return write_file(directory, "manifest", bundle->manifest,
			  bundle->manifest_len);
}

static int render(const char *file, const char *directory, bool any_number)
{
	CLEANUP(tree_freep) struct tree *tree = cmd_read_tree(file);
	CLEANUP(bundle_freep) struct bundle *bundle = NULL;
	char hex[DIGEST_HEX_CHARS + 1];
	struct findings findings;

	if (!tree)
		return CMD_FAILED;
	if (tree_version(tree) > USUAL_VERSION_MAX && !any_number) {
		fprintf(stderr,
			"godwitspur: %s: version %" PRId64 " is above %" PRId64
			"; use --any-number if it is meant\n",
			file, tree_version(tree), USUAL_VERSION_MAX);
		return CMD_FAILED;
	}
	findings_init(&findings);
	bundle = tree_split(tree, &findings);
	findings_print(&findings, stderr);
	findings_release(&findings);
	if (!bundle || !write_bundle(bundle, directory))
		return CMD_FAILED;
	digest_to_hex(&bundle->id.digest, hex);
	printf("%" PRId64 " %s\n", bundle->id.number, hex);
	return CMD_OK;
}

int cmd_render(int argc, char **argv)
{
	struct arg_lit *help = arg_lit0(NULL, "help", "print this help");
	struct arg_lit *any_number =
		arg_lit0(NULL, "any-number",
			 "accept a version number above 2^40");
	struct arg_file *file = arg_file1(NULL, NULL, "FILE", "tree to render");
	struct arg_file *directory =
		arg_file1(NULL, NULL, "DIR",
			  "directory for manifest and part/DIGEST");
	struct arg_end *end = arg_end(10);
	void *argtable[] = { help, any_number, file, directory, end };
	int status;

	if (cmd_parse_args(argc, argv, argtable, help, end,
			   "Writes the parts of a tree, then their manifest, "
			   "and prints the version id.",
			   &status))
		status = render(file->filename[0], directory->filename[0],
				any_number->count > 0);
	arg_freetable(argtable, G_N_ELEMENTS(argtable));
	return status;
}

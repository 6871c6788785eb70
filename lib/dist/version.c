#include <stdlib.h>
#include <string.h>

#include "base/json.h"
#include "dist/dist_internal.h"

struct blob *blob_new(const void *bytes, size_t len)
{
	struct blob *blob = g_malloc(sizeof(*blob) + len + 1);

	blob->refs = 1;
	blob->len = len;
	if (len)
		memcpy(blob->bytes, bytes, len);
	blob->bytes[len] = '\0';
	digest_compute(&blob->digest, blob->bytes, len);
	return blob;
}

struct blob *blob_ref(struct blob *blob)
{
	__atomic_add_fetch(&blob->refs, 1, __ATOMIC_RELAXED);
	return blob;
}

void blob_unref(struct blob *blob)
{
	if (blob && !__atomic_sub_fetch(&blob->refs, 1, __ATOMIC_ACQ_REL))
		g_free(blob);
}

struct dist_version *dist_version_ref(struct dist_version *version)
{
	__atomic_add_fetch(&version->refs, 1, __ATOMIC_RELAXED);
	return version;
}

void dist_version_unref(struct dist_version *version)
{
	if (!version || __atomic_sub_fetch(&version->refs, 1, __ATOMIC_ACQ_REL))
		return;
	for (size_t i = 0; i < version->nr_parts; i++) {
		g_free(version->parts[i].name);
		blob_unref(version->parts[i].blob);
	}
	g_free(version->parts);
	g_free(version->by_digest);
	blob_unref(version->manifest);
	g_free(version);
}

/* A part's name is "root", or "service/" and the name of a service. */
static bool is_part_name(const char *text)
{
	const char *name = text;
	size_t len;

	if (!strcmp(text, "root"))
		return true;
	if (!g_str_has_prefix(text, "service/"))
		return false;
	name += strlen("service/");
	len = strlen(name);
	return len && len <= MEMBER_NAME_MAX && name[0] != '-' &&
	       strspn(name, "abcdefghijklmnopqrstuvwxyz0123456789-") == len;
}

static void parse_part(const json_t *entry, size_t index,
		       struct dist_part *part, struct findings *findings)
{
	const char *name = json_string_value(json_object_get(entry, "name"));
	const char *hex = json_string_value(json_object_get(entry, "digest"));
	json_t *bytes = json_object_get(entry, "bytes");
	g_autofree char *path = g_strdup_printf("/parts/%zu", index);

	if (json_object_size(entry) != 3)
		findings_add(findings, FINDING_ERROR, "manifest", path,
			     "the keys are not exactly name, digest and bytes");
	if (!name || !is_part_name(name))
		findings_add(findings, FINDING_ERROR, "manifest", path,
			     "name is missing or neither root nor "
			     "service/NAME");
	if (!hex || !digest_from_hex(&part->digest, hex))
		findings_add(findings, FINDING_ERROR, "manifest", path,
			     "digest is missing or not 64 hex digits");
	/* A size out of range counts as 0, so that the sum cannot overflow. */
	if (!json_is_integer(bytes) || json_integer_value(bytes) < 1 ||
	    json_integer_value(bytes) > DIST_VALUE_MAX)
		findings_add(findings, FINDING_ERROR, "manifest", path,
			     "bytes is missing or outside 1..%d",
			     DIST_VALUE_MAX);
	else
		part->bytes = (size_t)json_integer_value(bytes);
	part->name = g_strdup(name ? name : "");
}

static int compare_digests(const void *a, const void *b, void *data)
{
	const struct dist_part *parts = data;
	uint32_t left = *(const uint32_t *)a;
	uint32_t right = *(const uint32_t *)b;

	return digest_compare(&parts[left].digest, &parts[right].digest);
}

static void parse_parts(struct dist_version *version, const json_t *parts,
			struct findings *findings)
{
	bool has_root = false;
	int64_t sum = 0;

	version->nr_parts = version->nr_missing = json_array_size(parts);
	version->parts = g_new0(struct dist_part, version->nr_parts);
	version->by_digest = g_new0(uint32_t, version->nr_parts);
	for (size_t i = 0; i < version->nr_parts; i++) {
		struct dist_part *part = &version->parts[i];

		parse_part(json_array_get(parts, i), i, part, findings);
		version->by_digest[i] = (uint32_t)i;
		sum += (int64_t)part->bytes;
		has_root |= !strcmp(part->name, "root");
		if (i && strcmp(part[-1].name, part->name) >= 0)
			findings_add(findings, FINDING_ERROR, "manifest",
				     "/parts",
				     "%s is a duplicate or not in order",
				     part->name);
	}
	if (!has_root)
		findings_add(findings, FINDING_ERROR, "manifest", "/parts",
			     "no part is named root");
	if (sum > DIST_TREE_MAX)
		findings_add(findings, FINDING_ERROR, "manifest", "/parts",
			     "the sum of bytes is above %d",
			     (int)DIST_TREE_MAX);
	g_qsort_with_data(version->by_digest, (gint)version->nr_parts,
			  sizeof(*version->by_digest), compare_digests,
			  version->parts);
}

static void parse_root(struct dist_version *version, const json_t *root,
		       struct findings *findings, int64_t *number)
{
	json_t *format = json_object_get(root, "format");
	json_t *value = json_object_get(root, "version");
	json_t *parts = json_object_get(root, "parts");

	if (json_is_integer(value) && json_integer_value(value) >= 1 &&
	    json_integer_value(value) <= DIST_NUMBER_MAX)
		*number = json_integer_value(value);
	else
		findings_add(findings, FINDING_ERROR, "manifest", "/version",
			     "version is missing or outside 1..2^53-1");
	if (!json_is_integer(format) || json_integer_value(format) != 1)
		findings_add(findings, FINDING_ERROR, "manifest", "/format",
			     "format is not 1");
	if (json_object_size(root) != 3)
		findings_add(findings, FINDING_ERROR, "manifest", "",
			     "the keys are not exactly format, version, parts");
	if (!json_array_size(parts) || json_array_size(parts) > DIST_PARTS_MAX)
		findings_add(findings, FINDING_ERROR, "manifest", "/parts",
			     "parts is missing or not 1 to %d entries",
			     DIST_PARTS_MAX);
	else
		parse_parts(version, parts, findings);
}

struct dist_version *dist_version_parse(struct blob *manifest,
					struct findings *findings,
					int64_t *number)
{
	struct dist_version *version = g_new0(struct dist_version, 1);
	size_t errors = findings->nr_errors;
	json_error_t error = { 0 };
	json_t *root = NULL;

	version->refs = 1;
	version->manifest = blob_ref(manifest);
	*number = 0;
	if (manifest->len > DIST_VALUE_MAX)
		findings_add(findings, FINDING_ERROR, "manifest", "",
			     "the manifest has %zu bytes, more than %d",
			     manifest->len, DIST_VALUE_MAX);
	else
		root = json_parse(manifest->bytes, manifest->len,
				  JSON_REJECT_DUPLICATES, &error);
	if (root)
		parse_root(version, root, findings, number);
	else if (findings->nr_errors == errors)
		findings_add_at(findings, "manifest", error.line, error.column,
				"%s", error.text);
	json_decref(root);
	version->id.number = *number;
	version->id.digest = manifest->digest;
	if (findings->nr_errors == errors)
		return version;
	dist_version_unref(version);
	return NULL;
}

/*
 * Returns the position in by_digest of the first part with the digest, and
 * stores the number of such parts: services may have the same content.
 */
static size_t find_range(const struct dist_version *version,
			 const struct digest *digest, size_t *nr)
{
	size_t low = 0;
	size_t high = version->nr_parts;
	size_t end;

	while (low < high) {
		size_t middle = low + (high - low) / 2;
		uint32_t index = version->by_digest[middle];

		if (digest_compare(&version->parts[index].digest, digest) < 0)
			low = middle + 1;
		else
			high = middle;
	}
	for (end = low; end < version->nr_parts; end++) {
		uint32_t index = version->by_digest[end];

		if (digest_compare(&version->parts[index].digest, digest) != 0)
			break;
	}
	*nr = end - low;
	return low;
}

struct dist_part *version_find(const struct dist_version *version,
			       const struct digest *digest, size_t *nr)
{
	size_t first = find_range(version, digest, nr);

	return *nr ? &version->parts[version->by_digest[first]] : NULL;
}

size_t version_put(struct dist_version *version, const struct digest *digest,
		   struct blob *blob)
{
	size_t nr, filled = 0;
	size_t first = find_range(version, digest, &nr);

	for (size_t i = first; i < first + nr; i++) {
		struct dist_part *part = &version->parts[version->by_digest[i]];

		if (part->blob)
			continue;
		part->blob = blob_ref(blob);
		version->nr_missing--;
		filled++;
	}
	return filled;
}

#include "relay/organisation_counts.h"

#include <inttypes.h>
#include <string.h>

/* Organisations with counts of their own; further ones are summed. */
#define ORGANISATIONS_MAX 16384

#define OTHERS "other"

struct row {
	const char *name;
	uint64_t counts[ORGANISATION_NR_COUNTS];
};

struct organisation_counts {
	GHashTable *rows; /* name -> struct row */
	struct row others;
};

static const char *const kind_names[ORGANISATION_NR_COUNTS] = {
	[ORGANISATION_RECEIVED] = "received",
	[ORGANISATION_RUN] = "run",
	[ORGANISATION_REFUSED_QUOTA] = "refused_quota",
	[ORGANISATION_REFUSED_ROOM] = "refused_room",
};

struct organisation_counts *organisation_counts_new(void)
{
	struct organisation_counts *counts =
		g_new0(struct organisation_counts, 1);

	counts->rows =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return counts;
}

void organisation_counts_add(struct organisation_counts *counts,
			     const char *name, enum organisation_count kind)
{
	struct row *row = g_hash_table_lookup(counts->rows, name);

	if (!*name)
		return;
	if (!row && g_hash_table_size(counts->rows) >= ORGANISATIONS_MAX)
		row = &counts->others;
	if (!row) {
		char *key = g_strdup(name);

		row = g_new0(struct row, 1);
		row->name = key;
		g_hash_table_insert(counts->rows, key, row);
	}
	row->counts[kind]++;
}

static int compare_received(const void *a, const void *b)
{
	const struct row *left = a, *right = b;
	uint64_t first = left->counts[ORGANISATION_RECEIVED];
	uint64_t second = right->counts[ORGANISATION_RECEIVED];

	return first == second	? strcmp(left->name, right->name)
	       : first < second ? 1
				: -1;
}

/* The rows with the most requests, and the sum of the others as the last. */
static GArray *summarise(const struct organisation_counts *counts)
{
	GArray *rows = g_array_new(FALSE, FALSE, sizeof(struct row));
	struct row others = counts->others;
	GHashTableIter iter;
	struct row *row;

	g_hash_table_iter_init(&iter, counts->rows);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&row))
		g_array_append_vals(rows, row, 1);
	g_array_sort(rows, compare_received);
	for (guint i = ORGANISATION_COUNTS_SHOWN; i < rows->len; i++)
		for (int kind = 0; kind < ORGANISATION_NR_COUNTS; kind++)
			others.counts[kind] +=
				g_array_index(rows, struct row, i).counts[kind];
	if (rows->len > ORGANISATION_COUNTS_SHOWN) {
		others.name = OTHERS;
		g_array_set_size(rows, ORGANISATION_COUNTS_SHOWN);
		g_array_append_val(rows, others);
	}
	return rows;
}

json_t *organisation_counts_dump(const struct organisation_counts *counts)
{
	g_autoptr(GArray) rows = summarise(counts);
	json_t *dump = json_array();

	for (guint i = 0; i < rows->len; i++) {
		const struct row *row = &g_array_index(rows, struct row, i);
		json_t *object = json_pack("{s:s}", "organisation", row->name);

		for (int kind = 0; object && kind < ORGANISATION_NR_COUNTS;
		     kind++)
			json_object_set_new(
				object, kind_names[kind],
				json_integer((json_int_t)row->counts[kind]));
		json_array_append_new(dump, object);
	}
	return dump;
}

void organisation_counts_render(const struct organisation_counts *counts,
				GString *out)
{
	g_autoptr(GArray) rows = summarise(counts);

	if (!rows->len)
		return;
	g_string_append(out, "# HELP godwitspur_organisation_requests_total "
			     "Callers' requests by organisation.\n"
			     "# TYPE godwitspur_organisation_requests_total "
			     "counter\n");
	for (guint i = 0; i < rows->len; i++) {
		const struct row *row = &g_array_index(rows, struct row, i);
		g_autofree char *name = g_strescape(row->name, NULL);

		for (int kind = 0; kind < ORGANISATION_NR_COUNTS; kind++)
			g_string_append_printf(
				out,
				"godwitspur_organisation_requests_total{"
				"organisation=\"%s\",result=\"%s\"} %" PRIu64
				"\n",
				name, kind_names[kind], row->counts[kind]);
	}
}

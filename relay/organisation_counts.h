#ifndef RELAY_ORGANISATION_COUNTS_H
#define RELAY_ORGANISATION_COUNTS_H

#include <glib.h>
#include <jansson.h>

/* Counts of callers' requests by organisation. */

enum organisation_count {
	ORGANISATION_RECEIVED,
	ORGANISATION_RUN,
	ORGANISATION_REFUSED_QUOTA,
	ORGANISATION_REFUSED_ROOM, /* all other refusals */
	ORGANISATION_NR_COUNTS
};

/* Organisations that are shown by name; the others are summed. */
#define ORGANISATION_COUNTS_SHOWN 20

struct organisation_counts;

struct organisation_counts *organisation_counts_new(void);

/* Counts a request; one without organisation is not counted. */
void organisation_counts_add(struct organisation_counts *counts,
			     const char *name, enum organisation_count kind);

json_t *organisation_counts_dump(const struct organisation_counts *counts);

/* Appends the counts in the Prometheus text format. */
void organisation_counts_render(const struct organisation_counts *counts,
				GString *out);

#endif

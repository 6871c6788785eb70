#ifndef BASE_FINDINGS_H
#define BASE_FINDINGS_H

#include <jansson.h>
#include <stdio.h>
#include <urcu/list.h>

/*
 * The errors and warnings that the validation of a document found. Checks add
 * every fault with its location, so that the caller can report all of them
 * together.
 */

enum finding_severity {
	FINDING_ERROR,	/* the document is rejected */
	FINDING_WARNING /* the document is still accepted */
};

struct finding {
	struct cds_list_head node;
	enum finding_severity severity;
	char *file;
	int line;   /* 1-based; 0 when only the path is known */
	int column; /* 1-based; 0 when only the path is known */
	char *path; /* JSON path such as /services/portal; "" is the root */
	char *message;
};

struct findings {
	struct cds_list_head list;
	size_t nr_errors;
	size_t nr_warnings;
};

void findings_init(struct findings *findings);

/* Frees all findings; the list can be reused. */
void findings_release(struct findings *findings);

/* Adds a finding at a JSON path; file may be NULL. */
void findings_add(struct findings *findings, enum finding_severity severity,
		  const char *file, const char *path, const char *fmt, ...)
	__attribute__((format(printf, 5, 6)));

/* Adds an error at a line and column of the text. */
void findings_add_at(struct findings *findings, const char *file, int line,
		     int column, const char *fmt, ...)
	__attribute__((format(printf, 5, 6)));

/*
 * Prints one line for each finding, FILE:LOCATION: error|warning: MESSAGE,
 * where LOCATION is LINE:COLUMN or a JSON path.
 */
void findings_print(const struct findings *findings, FILE *out);

/* Returns the findings as a JSON array; the caller owns the reference. */
json_t *findings_to_json(const struct findings *findings);

#endif

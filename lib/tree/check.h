#ifndef TREE_CHECK_H
#define TREE_CHECK_H

#include "tree/tree.h"

/*
 * Typed access to JSON documents that reports every fault with its path,
 * private to the library.
 */

/*
 * Most findings kept of each severity. A document of 16 MB can hold a fault
 * in every few bytes, and daemons keep the findings of refused versions.
 */
#define CHECK_FINDINGS_MAX 1000

#define CHECK_PRINTABLE_BYTES 80

struct checker {
	struct findings *findings;
	const char *file; /* may be NULL */
	GString *path;	  /* of the value being checked */
	size_t nr_errors; /* including those above the limit */
	size_t nr_warnings;
	char printable[4][CHECK_PRINTABLE_BYTES];
	unsigned next_printable;
};

void checker_init(struct checker *checker, const char *file,
		  struct findings *findings);

/* Reports how many findings were above the limit, and frees the path. */
void checker_finish(struct checker *checker);

/*
 * Extends the path by a key or an array index. Both return the length to
 * give to checker_pop().
 */
size_t checker_push(struct checker *checker, const char *key);
size_t checker_push_index(struct checker *checker, size_t index);
void checker_pop(struct checker *checker, size_t len);

/* Adds a finding at the path, or below it at key unless that is NULL. */
void check_error(struct checker *checker, const char *key, const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));
void check_warning(struct checker *checker, const char *key, const char *fmt,
		   ...) __attribute__((format(printf, 3, 4)));

/*
 * Returns text of the document for use in a message: truncated, with control
 * characters replaced by '?'. The fourth call from now overwrites the result.
 */
const char *check_printable(struct checker *checker, const char *text);

/*
 * Parses JSON text. Syntax errors and duplicate keys are reported at their
 * line and column; after a duplicate key the document is still returned, so
 * that the remaining checks can run. The caller owns the reference.
 */
json_t *check_load(struct checker *checker, const char *text, size_t len);

/* Reports keys other than those of the NULL-terminated list. */
void check_keys(struct checker *checker, json_t *object,
		const char *const *known);

/* The keys of an object in sorted order; free with g_free(). */
const char **check_sorted_keys(json_t *object, size_t *nr);

/* Whether the value has the type; reports an error when it has not. */
bool check_type(struct checker *checker, const char *key, const json_t *value,
		json_type type);

/*
 * Members of an object. A missing member gives NULL or the default, and an
 * error when it is required. A value of another type, out of range or not a
 * name gives an error and the same result.
 */
json_t *check_member(struct checker *checker, json_t *object, const char *key,
		     json_type type, bool required);
const char *check_string(struct checker *checker, json_t *object,
			 const char *key, bool required);
const char *check_name_member(struct checker *checker, json_t *object,
			      const char *key, bool required);
bool check_bool(struct checker *checker, json_t *object, const char *key,
		bool fallback);
bool check_integer(struct checker *checker, json_t *object, const char *key,
		   int64_t min, int64_t max, int64_t *value);

/* Whether the value is an integer in the range; reports an error if not. */
bool check_range(struct checker *checker, const char *key, const json_t *value,
		 int64_t min, int64_t max);

/* Reports a text that does not match [a-z0-9][a-z0-9-]{0,62}. */
bool check_name(struct checker *checker, const char *key, const char *name);

#endif

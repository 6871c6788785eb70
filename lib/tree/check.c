#include <stdarg.h>
#include <string.h>

#include "base/json.h"
#include "tree/check.h"

#define NAME_CHARS_MAX 63

void checker_init(struct checker *checker, const char *file,
		  struct findings *findings)
{
	memset(checker, 0, sizeof(*checker));
	checker->findings = findings;
	checker->file = file;
	checker->path = g_string_new(NULL);
}

static void report_left_out(struct checker *checker,
			    enum finding_severity severity, size_t nr)
{
	if (nr > CHECK_FINDINGS_MAX)
		findings_add(checker->findings, severity, checker->file, "",
			     "%zu more findings left out",
			     nr - CHECK_FINDINGS_MAX);
}

void checker_finish(struct checker *checker)
{
	report_left_out(checker, FINDING_ERROR, checker->nr_errors);
	report_left_out(checker, FINDING_WARNING, checker->nr_warnings);
	g_string_free(checker->path, TRUE);
}

/*
 * Copies at most size - 1 bytes of text, with control characters replaced by
 * '?', and only whole UTF-8 sequences, since json_pack() refuses any other
 * text.
 */
static void copy_printable(char *out, size_t size, const char *text)
{
	size_t len = strlen(text);

	if (len >= size) {
		len = size - 1;
		while (len && ((unsigned char)text[len] & 0xc0) == 0x80)
			len--;
	}
	for (size_t i = 0; i < len; i++) {
		unsigned char byte = (unsigned char)text[i];

		out[i] = byte < 0x20 || byte == 0x7f ? '?' : text[i];
	}
	out[len] = '\0';
}

const char *check_printable(struct checker *checker, const char *text)
{
	char *out = checker->printable[checker->next_printable++ % 4];

	copy_printable(out, CHECK_PRINTABLE_BYTES, text);
	return out;
}

/* Appends a key as a reference token of a JSON pointer (RFC 6901). */
static void append_token(GString *path, const char *key)
{
	char printable[CHECK_PRINTABLE_BYTES];

	copy_printable(printable, sizeof(printable), key);
	g_string_append_c(path, '/');
	for (const char *p = printable; *p; p++) {
		if (*p == '~')
			g_string_append(path, "~0");
		else if (*p == '/')
			g_string_append(path, "~1");
		else
			g_string_append_c(path, *p);
	}
}

size_t checker_push(struct checker *checker, const char *key)
{
	size_t len = checker->path->len;

	append_token(checker->path, key);
	return len;
}

size_t checker_push_index(struct checker *checker, size_t index)
{
	size_t len = checker->path->len;

	g_string_append_printf(checker->path, "/%zu", index);
	return len;
}

void checker_pop(struct checker *checker, size_t len)
{
	g_string_truncate(checker->path, len);
}

static void report(struct checker *checker, enum finding_severity severity,
		   const char *key, const char *fmt, va_list args)
{
	g_autofree char *message = NULL;
	size_t len = checker->path->len;
	size_t *nr = severity == FINDING_ERROR ? &checker->nr_errors
					       : &checker->nr_warnings;

	if (++*nr > CHECK_FINDINGS_MAX)
		return;
	message = g_strdup_vprintf(fmt, args);
	if (key)
		append_token(checker->path, key);
	findings_add(checker->findings, severity, checker->file,
		     checker->path->str, "%s", message);
	checker_pop(checker, len);
}

void check_error(struct checker *checker, const char *key, const char *fmt, ...)
{
	va_list args;

	va_start(args, fmt);
	report(checker, FINDING_ERROR, key, fmt, args);
	va_end(args);
}

void check_warning(struct checker *checker, const char *key, const char *fmt,
		   ...)
{
	va_list args;

	va_start(args, fmt);
	report(checker, FINDING_WARNING, key, fmt, args);
	va_end(args);
}

static void report_load_error(struct checker *checker,
			      const json_error_t *error)
{
	/* Jansson truncates the text, possibly within a UTF-8 sequence. */
	g_autofree char *valid = g_utf8_make_valid(error->text, -1);
	char printable[3 * JSON_ERROR_TEXT_LENGTH];

	copy_printable(printable, sizeof(printable), valid);
	checker->nr_errors++;
	findings_add_at(checker->findings, checker->file, MAX(error->line, 1),
			MAX(error->column, 1), "%s", printable);
}

json_t *check_load(struct checker *checker, const char *text, size_t len)
{
	json_error_t error;
	json_t *json = json_parse(text, len, JSON_REJECT_DUPLICATES, &error);

	if (json)
		return json;
	report_load_error(checker, &error);
	if (json_error_code(&error) != json_error_duplicate_key)
		return NULL;
	json = json_parse(text, len, 0, &error);
	if (!json)
		report_load_error(checker, &error);
	return json;
}

static bool is_known(const char *key, const char *const *known)
{
	for (; *known; known++)
		if (strcmp(key, *known) == 0)
			return true;
	return false;
}

static int compare_keys(const void *a, const void *b)
{
	return strcmp(*(const char *const *)a, *(const char *const *)b);
}

const char **check_sorted_keys(json_t *object, size_t *nr)
{
	const char **keys = g_new(const char *, json_object_size(object) + 1);
	const char *key;
	json_t *value;

	*nr = 0;
	json_object_foreach (object, key, value)
		keys[(*nr)++] = key;
	if (*nr)
		qsort(keys, *nr, sizeof(*keys), compare_keys);
	return keys;
}

void check_keys(struct checker *checker, json_t *object,
		const char *const *known)
{
	const char **keys;
	size_t nr_known = 0;
	size_t nr;

	/* Skips the sorting for objects without unknown keys. */
	for (size_t i = 0; known[i]; i++)
		nr_known += json_object_get(object, known[i]) != NULL;
	if (nr_known == json_object_size(object))
		return;
	keys = check_sorted_keys(object, &nr);
	for (size_t i = 0; i < nr; i++)
		if (!is_known(keys[i], known))
			check_error(checker, keys[i], "unknown key");
	g_free(keys);
}

static const char *type_name(json_type type)
{
	switch (type) {
	case JSON_OBJECT:
		return "an object";
	case JSON_ARRAY:
		return "an array";
	case JSON_STRING:
		return "a string";
	case JSON_INTEGER:
		return "an integer";
	case JSON_REAL:
		return "a number with a fraction or exponent";
	case JSON_TRUE:
	case JSON_FALSE:
		return "a boolean";
	case JSON_NULL:
		return "null";
	}
	return "an unknown type";
}

bool check_type(struct checker *checker, const char *key, const json_t *value,
		json_type type)
{
	if (json_typeof(value) == type ||
	    (type == JSON_TRUE && json_is_boolean(value)))
		return true;
	check_error(checker, key, "expected %s, found %s", type_name(type),
		    type_name(json_typeof(value)));
	return false;
}

json_t *check_member(struct checker *checker, json_t *object, const char *key,
		     json_type type, bool required)
{
	json_t *value = json_object_get(object, key);

	if (!value) {
		if (required)
			check_error(checker, key, "missing");
		return NULL;
	}
	return check_type(checker, key, value, type) ? value : NULL;
}

const char *check_string(struct checker *checker, json_t *object,
			 const char *key, bool required)
{
	return json_string_value(
		check_member(checker, object, key, JSON_STRING, required));
}

const char *check_name_member(struct checker *checker, json_t *object,
			      const char *key, bool required)
{
	const char *name = check_string(checker, object, key, required);

	return name && check_name(checker, key, name) ? name : NULL;
}

bool check_bool(struct checker *checker, json_t *object, const char *key,
		bool fallback)
{
	json_t *value = check_member(checker, object, key, JSON_TRUE, false);

	return value ? json_is_true(value) : fallback;
}

bool check_range(struct checker *checker, const char *key, const json_t *value,
		 int64_t min, int64_t max)
{
	json_int_t number;

	if (!check_type(checker, key, value, JSON_INTEGER))
		return false;
	number = json_integer_value(value);
	if (number >= min && number <= max)
		return true;
	check_error(checker, key,
		    "%" JSON_INTEGER_FORMAT " is out of range %" G_GINT64_FORMAT
		    "..%" G_GINT64_FORMAT,
		    number, min, max);
	return false;
}

bool check_integer(struct checker *checker, json_t *object, const char *key,
		   int64_t min, int64_t max, int64_t *value)
{
	json_t *json = json_object_get(object, key);

	if (!json) {
		check_error(checker, key, "missing");
		return false;
	}
	if (!check_range(checker, key, json, min, max))
		return false;
	*value = json_integer_value(json);
	return true;
}

static bool is_name(const char *name)
{
	size_t len = strlen(name);

	return len >= 1 && len <= NAME_CHARS_MAX && name[0] != '-' &&
	       strspn(name, "abcdefghijklmnopqrstuvwxyz0123456789-") == len;
}

bool check_name(struct checker *checker, const char *key, const char *name)
{
	if (is_name(name))
		return true;
	check_error(checker, key,
		    "\"%s\" is not a name: 1 to 63 of a-z, 0-9 and -, not "
		    "starting with -",
		    check_printable(checker, name));
	return false;
}

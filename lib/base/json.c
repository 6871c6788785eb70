#include <stdbool.h>
#include <stdio.h>
#include <string.h>

#include "base/json.h"

struct position {
	size_t offset; /* bytes from the start of the text */
	int line;      /* 1-based */
	int column;    /* 1-based, in bytes */
};

static void advance(struct position *at, char c)
{
	at->offset++;
	at->column++;
	if (c == '\n') {
		at->line++;
		at->column = 1;
	}
}

/*
 * Finds the bracket that opens a level beyond JSON_DEPTH_MAX. Returns false
 * when there is none. Brackets within strings open no level.
 */
static bool find_excess_level(const char *text, size_t len, struct position *at)
{
	bool in_string = false;
	int depth = 0;

	*at = (struct position){ .line = 1, .column = 1 };
	while (at->offset < len) {
		char c = text[at->offset];

		if (in_string && c == '\\' && at->offset + 1 < len)
			advance(at, c);
		else if (c == '"')
			in_string = !in_string;
		else if (!in_string && (c == '{' || c == '['))
			depth++;
		else if (!in_string && (c == '}' || c == ']'))
			depth--;
		if (depth > JSON_DEPTH_MAX)
			return true;
		advance(at, text[at->offset]);
	}
	return false;
}

json_t *json_parse(const char *text, size_t len, size_t flags,
		   json_error_t *error)
{
	struct position at;

	/* The library reports an absent text as an error. */
	if (!text || !find_excess_level(text, len, &at))
		return json_loadb(text, len, flags, error);
	memset(error, 0, sizeof(*error));
	error->line = at.line;
	error->column = at.column;
	error->position = (int)at.offset;
	snprintf(error->text, sizeof(error->text),
		 "more than %d levels of objects and arrays", JSON_DEPTH_MAX);
	return NULL;
}

#include <glib.h>
#include <string.h>

#include "path.h"

static bool is_unreserved(int c)
{
	return g_ascii_isalnum(c) || c == '-' || c == '.' || c == '_' ||
	       c == '~';
}

/* Whether the escape %XY encodes a character that needs encoding. */
static bool escape_is_needed(const char *escape)
{
	int high, low, c;

	if (!escape[1] || !escape[2])
		return false;
	high = g_ascii_xdigit_value(escape[1]);
	low = g_ascii_xdigit_value(escape[2]);
	if (high < 0 || low < 0)
		return false;
	c = high << 4 | low;
	return c && c != '/' && c != '\\' && !is_unreserved(c);
}

/* Whether a segment of len bytes is in normal form. */
static bool segment_is_canonical(const char *segment, size_t len)
{
	if (len == 1 && segment[0] == '.')
		return false;
	if (len == 2 && segment[0] == '.' && segment[1] == '.')
		return false;
	for (size_t i = 0; i < len; i++) {
		unsigned char c = (unsigned char)segment[i];

		if (c <= ' ' || c == 0x7f || c == '\\')
			return false;
		if (c == '%' && !escape_is_needed(&segment[i]))
			return false;
	}
	return true;
}

bool path_is_canonical(const char *path)
{
	if (*path != '/')
		return false;
	while (*path) {
		const char *segment = path + 1;
		size_t len = strcspn(segment, "/");

		/* Only the last segment may be empty, as in /portal/. */
		if (!len && segment[0] == '/')
			return false;
		if (!segment_is_canonical(segment, len))
			return false;
		path = segment + len;
	}
	return true;
}

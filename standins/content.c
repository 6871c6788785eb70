#include <glib.h>
#include <microhttpd.h>
#include <stdlib.h>
#include <string.h>

#include "content.h"

ssize_t content_read(void *cls, uint64_t position, char *buffer, size_t max)
{
	const struct content *content = cls;
	uint64_t left = content->stop - position;
	size_t len = (size_t)MIN(left, max);

	if (!left)
		return MHD_CONTENT_READER_END_WITH_ERROR;
	if (content->text) {
		memcpy(buffer, content->text + position, len);
		return (ssize_t)len;
	}
	for (size_t i = 0; i < len; i++)
		buffer[i] =
			(char)((position + i + content->seed) % CONTENT_PERIOD);
	return (ssize_t)len;
}

void content_free(void *cls)
{
	struct content *content = cls;

	free(content->text);
	g_free(content);
}

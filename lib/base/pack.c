#include <zlib.h>

#include "base/pack.h"

GBytes *pack_bytes(GBytes *plain)
{
	gsize plain_len;
	const Bytef *data = g_bytes_get_data(plain, &plain_len);
	uLongf len = compressBound(plain_len);
	guint8 *packed = g_malloc(len);

	if (!data ||
	    compress2(packed, &len, data, plain_len, Z_BEST_SPEED) != Z_OK ||
	    len >= plain_len) {
		g_free(packed);
		return NULL;
	}
	return g_bytes_new_take(g_realloc(packed, len), len);
}

GBytes *unpack_bytes(const void *data, gsize len, gsize plain_bytes)
{
	uLongf plain_len = plain_bytes;
	guint8 *plain = g_malloc(plain_bytes);

	if (uncompress(plain, &plain_len, data, len) != Z_OK ||
	    plain_len != plain_bytes) {
		g_free(plain);
		return NULL;
	}
	return g_bytes_new_take(plain, plain_len);
}

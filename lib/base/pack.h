#ifndef BASE_PACK_H
#define BASE_PACK_H

#include <glib.h>

/* Compression of values in the zlib format. */

/* Compresses bytes. Returns NULL when the result would not be shorter. */
GBytes *pack_bytes(GBytes *plain);

/*
 * Decompresses data. Returns NULL when the data are invalid or do not expand to
 * exactly plain_bytes bytes.
 */
GBytes *unpack_bytes(const void *data, gsize len, gsize plain_bytes);

#endif

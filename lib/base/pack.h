#ifndef BASE_PACK_H
#define BASE_PACK_H

#include <glib.h>

/* Compression of values in the zlib format. */

/* The packed bytes, or NULL when they would not be shorter. */
GBytes *pack_bytes(GBytes *plain);

/* The plain bytes, or NULL when data do not unpack to exactly plain_bytes. */
GBytes *unpack_bytes(const void *data, gsize len, gsize plain_bytes);

#endif

#include <glib.h>
#include <string.h>

#include "base/digest.h"

void digest_compute(struct digest *digest, const void *data, size_t len)
{
	GChecksum *checksum = g_checksum_new(G_CHECKSUM_SHA256);
	gsize size = DIGEST_BYTES;

	g_checksum_update(checksum, data, (gssize)len);
	g_checksum_get_digest(checksum, digest->bytes, &size);
	g_checksum_free(checksum);
}

int digest_compare(const struct digest *a, const struct digest *b)
{
	return memcmp(a->bytes, b->bytes, DIGEST_BYTES);
}

void digest_to_hex(const struct digest *digest, char hex[DIGEST_HEX_CHARS + 1])
{
	static const char digits[] = "0123456789abcdef";

	for (int i = 0; i < DIGEST_BYTES; i++) {
		hex[2 * i] = digits[digest->bytes[i] >> 4];
		hex[2 * i + 1] = digits[digest->bytes[i] & 15];
	}
	hex[DIGEST_HEX_CHARS] = '\0';
}

static int hex_value(char c)
{
	if (c >= '0' && c <= '9')
		return c - '0';
	if (c >= 'a' && c <= 'f')
		return c - 'a' + 10;
	return -1;
}

bool digest_from_hex(struct digest *digest, const char *hex)
{
	if (strlen(hex) != DIGEST_HEX_CHARS)
		return false;
	for (int i = 0; i < DIGEST_BYTES; i++) {
		int high = hex_value(hex[2 * i]);
		int low = hex_value(hex[2 * i + 1]);

		if (high < 0 || low < 0)
			return false;
		digest->bytes[i] = (unsigned char)(high << 4 | low);
	}
	return true;
}

int version_id_compare(const struct version_id *a, const struct version_id *b)
{
	if (a->number != b->number)
		return a->number < b->number ? -1 : 1;
	return digest_compare(&a->digest, &b->digest);
}

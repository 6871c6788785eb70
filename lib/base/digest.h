#ifndef BASE_DIGEST_H
#define BASE_DIGEST_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* SHA-256 digests and version identifiers. */

#define DIGEST_BYTES 32
#define DIGEST_HEX_CHARS (2 * DIGEST_BYTES)

struct digest {
	unsigned char bytes[DIGEST_BYTES];
};

/*
 * Identifies a published version by its number and the digest of its manifest.
 * The digest distinguishes two manifests that were published under one number.
 */
struct version_id {
	int64_t number; /* 0 means no version */
	struct digest digest;
};

/* Computes the SHA-256 digest of len bytes at data. */
void digest_compute(struct digest *digest, const void *data, size_t len);

/* Compares the bytes of two digests. Returns <0, 0 or >0. */
int digest_compare(const struct digest *a, const struct digest *b);

/* Writes the digest as lower-case hex with a terminating NUL. */
void digest_to_hex(const struct digest *digest, char hex[DIGEST_HEX_CHARS + 1]);

/* Parses 64 lower-case hex digits. Returns false for any other text. */
bool digest_from_hex(struct digest *digest, const char *hex);

/* Compares versions by number, then by digest. Returns <0, 0 or >0. */
int version_id_compare(const struct version_id *a, const struct version_id *b);

#endif

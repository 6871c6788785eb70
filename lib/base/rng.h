#ifndef BASE_RNG_H
#define BASE_RNG_H

#include <stdint.h>

/*
 * A seeded pseudo-random number generator (SplitMix64), unsuitable for secrets.
 * Libraries that hold decision logic use only a generator that their caller
 * passes in, so that a run can be replayed from its seed.
 */
struct rng {
	uint64_t state;
};

void rng_init(struct rng *rng, uint64_t seed);

/* Returns the next 64 random bits. */
uint64_t rng_next(struct rng *rng);

/* Returns a random number in [0, bound), or 0 when bound is 0. */
uint64_t rng_below(struct rng *rng, uint64_t bound);

/* Hashes two values into one; the result is the same on every host. */
uint64_t hash_mix(uint64_t a, uint64_t b);

/* Returns the FNV-1a hash of a string, which is the same on every host. */
uint64_t hash_string(const char *text);

#endif

#ifndef BASE_RNG_H
#define BASE_RNG_H

#include <stdint.h>

/*
 * Seeded pseudo-random numbers (SplitMix64). Not for secrets. Decision
 * libraries draw only from a generator that their caller gives them, so that
 * a run can be replayed from its seed.
 */
struct rng {
	uint64_t state;
};

void rng_init(struct rng *rng, uint64_t seed);

/* The next 64 bits. */
uint64_t rng_next(struct rng *rng);

/* A number in [0, bound); 0 when bound is 0. */
uint64_t rng_below(struct rng *rng, uint64_t bound);

/* Mixes two values into one hash, the same on every host. */
uint64_t hash_mix(uint64_t a, uint64_t b);

/* FNV-1a hash of a string, the same on every host. */
uint64_t hash_string(const char *text);

#endif

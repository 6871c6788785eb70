#include "base/rng.h"

#define SPLITMIX_INCREMENT UINT64_C(0x9e3779b97f4a7c15)
#define FNV_OFFSET UINT64_C(0xcbf29ce484222325)
#define FNV_PRIME UINT64_C(0x100000001b3)

static uint64_t mix(uint64_t z)
{
	z = (z ^ (z >> 30)) * UINT64_C(0xbf58476d1ce4e5b9);
	z = (z ^ (z >> 27)) * UINT64_C(0x94d049bb133111eb);
	return z ^ (z >> 31);
}

void rng_init(struct rng *rng, uint64_t seed)
{
	rng->state = seed;
}

uint64_t rng_next(struct rng *rng)
{
	rng->state += SPLITMIX_INCREMENT;
	return mix(rng->state);
}

uint64_t rng_below(struct rng *rng, uint64_t bound)
{
	if (!bound)
		return 0;
	return (uint64_t)(((unsigned __int128)rng_next(rng) * bound) >> 64);
}

uint64_t hash_mix(uint64_t a, uint64_t b)
{
	return mix(a + SPLITMIX_INCREMENT + mix(b));
}

uint64_t hash_string(const char *text)
{
	uint64_t hash = FNV_OFFSET;

	for (; *text; text++)
		hash = (hash ^ (unsigned char)*text) * FNV_PRIME;
	return hash;
}

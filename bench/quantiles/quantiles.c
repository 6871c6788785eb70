#include <math.h>
#include <stddef.h>

#include "quantiles/quantiles.h"

#define NR_BUCKETS (64 * QUANTILES_PER_OCTAVE)

void quantiles_add(struct quantiles *quantiles, int64_t value)
{
	double octaves = log2(value < 1 ? 1.0 : (double)value);

	quantiles->buckets[(size_t)(octaves * QUANTILES_PER_OCTAVE)]++;
	quantiles->count++;
}

void quantiles_merge(struct quantiles *into, const struct quantiles *from)
{
	for (size_t i = 0; i < NR_BUCKETS; i++)
		into->buckets[i] += from->buckets[i];
	into->count += from->count;
}

int64_t quantiles_get(const struct quantiles *quantiles, double share)
{
	uint64_t want = (uint64_t)ceil(share * (double)quantiles->count);
	uint64_t seen = 0;

	for (size_t i = 0; i < NR_BUCKETS; i++) {
		seen += quantiles->buckets[i];
		if (seen && seen >= want)
			return (int64_t)exp2((double)(i + 1) /
					     QUANTILES_PER_OCTAVE);
	}
	return 0;
}

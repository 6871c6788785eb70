#ifndef QUANTILES_QUANTILES_H
#define QUANTILES_QUANTILES_H

#include <stdint.h>

/*
 * A histogram with logarithmic buckets, which computes quantiles of latencies
 * of any size in fixed memory. A quantile is the upper end of its bucket, at
 * most 1.1% above the exact value.
 */

#define QUANTILES_PER_OCTAVE 64

struct quantiles {
	uint64_t count;
	uint64_t buckets[64 * QUANTILES_PER_OCTAVE];
};

/* Adds one value; values below 1 count as 1. */
void quantiles_add(struct quantiles *quantiles, int64_t value);

/* Adds all values of from to into. */
void quantiles_merge(struct quantiles *into, const struct quantiles *from);

/*
 * Returns the value that the given share (0..1) of all values does not exceed,
 * or 0 when there are no values.
 */
int64_t quantiles_get(const struct quantiles *quantiles, double share);

#endif

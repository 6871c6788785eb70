#ifndef FUZZ_EXPECT_H
#define FUZZ_EXPECT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

/* Fails the run. assert() is compiled out of the default build. */
static inline void expect(bool condition)
{
	if (!condition)
		abort();
}

#endif

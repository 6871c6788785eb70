#ifndef FUZZ_EXPECT_H
#define FUZZ_EXPECT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

/*
 * Aborts if the condition is false, which libFuzzer reports as a crash. Used
 * instead of assert(), which is compiled out of the default build.
 */
static inline void expect(bool condition)
{
	if (!condition)
		abort();
}

#endif

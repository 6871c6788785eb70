#include <gtest/gtest.h>

extern "C" {
#include "path.h"
}

/* Guards against refusing valid paths that callers commonly send. */
TEST(Path, AcceptsCommonPaths)
{
	const char *good[] = { "/",	  "/portal/orders", "/portal/orders/",
			       "/a%20b",  "/%C3%A9",	    "/a.b/..c",
			       "/a;b=1,2" };

	for (const char *path : good)
		EXPECT_TRUE(path_is_canonical(path)) << path;
}

/* Guards against an alias of a path that escapes its at_most_once route. */
TEST(Path, RefusesNonCanonicalPaths)
{
	const char *bad[] = { "",
			      "portal",
			      "//portal",
			      "/portal//orders",
			      "/portal/./orders",
			      "/portal/../orders",
			      "/..",
			      "/portal/%6frders",
			      "/portal%2Forders",
			      "/portal%2forders",
			      "/portal%5corders",
			      "/a%00",
			      "/a%",
			      "/a%2",
			      "/a%zz",
			      "/a\\b",
			      "/a\tb",
			      "/a%2e%2e/b" };

	for (const char *path : bad)
		EXPECT_FALSE(path_is_canonical(path)) << path;
}

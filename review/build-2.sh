#!/bin/sh
# Builds the stand-ins that the scripts of the second review start, the
# project's stand-in of the store among them, into target/review-2/.
set -eu
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p $out
flags="-std=gnu11 -O2 -Wall -Wextra -Werror -D_GNU_SOURCE -pthread"
# shellcheck disable=SC2086
{
	cc $flags -o $out/target-2 review/target-2.c review/tool-2.c
	cc $flags -o $out/client-2 review/client-2.c review/tool-2.c
	cc $flags -Ilib -o $out/standin-store standins/store.c standins/standin.c \
		lib/base/*.c $(pkg-config --cflags --libs libmicrohttpd glib-2.0 \
		jansson argtable2 zlib) -lm
}

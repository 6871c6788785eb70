#!/bin/sh
# Builds what the scripts of the review start besides the daemon: the project's
# stand-ins of the store and of the target, and the consumer. The daemon comes
# from the build command of the deploy file.
set -eu
cd "$(dirname "$0")/.."
out=review/target
libraries="glib-2.0 jansson libmicrohttpd"
mkdir -p "$out"

# shellcheck disable=SC2046
for name in store target
do
	cc -std=gnu11 -O2 -Ilib -Istandins $(pkg-config --cflags $libraries) \
		-o "$out/standin-$name" "standins/$name.c" standins/standin.c \
		lib/base/*.c $(pkg-config --libs $libraries) -largtable2 \
		-lxxhash -lz -lpthread
done
cc -std=gnu11 -O2 -Wall -Wextra -o "$out/client" review/client.c
cc -std=gnu11 -O2 -Wall -Wextra -o "$out/target" review/target.c -lpthread

#!/bin/sh
# Builds the cases of review 3 with their stand-ins, into target/review-3. The
# daemon is built by the command of the deploy file.
set -eu
cd "$(dirname "$0")"
out=../target/review-3
mkdir -p "$out"
for n in 11 12 13 14 15
do
	test -e "$n/case.c" || continue
	"${CC:-cc}" -std=gnu11 -D_GNU_SOURCE -O2 -Wall -Wextra \
		-o "$out/case-$n" "$n/case.c" kit-3/kit.c kit-3/config.c \
		-lpthread
done

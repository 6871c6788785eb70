#!/bin/sh
# Guards against check-pages accepting a page whose commands print other output
# than the page shows. Usage: test_pages.sh SOURCE_DIRECTORY
set -u
source_dir=$1
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
failed=0

# check STATUS PATTERN: runs check-pages on the page read from standard input
# and expects this exit status and a line of output that matches.
check()
{
	cat >"$work/page.md"
	PAGES_MESH=0 PAGES_TRIES=3 "$source_dir/scripts/check-pages" "$work" \
		"$work/page.md" >"$work/out" 2>&1
	status=$?
	test "$status" = "$1" && grep -q -e "$2" "$work/out" && return
	echo "expected status $1 and \"$2\", got status $status and:"
	cat "$work/out"
	failed=1
}

# Patterns match parts of lines, in order; only console blocks are run.
check 0 "3 commands" <<'END'
```
$ false
```
```console
$ x=1; printf 'one (a)\ntwo\nthree\n'
one (a)
th...e
$ echo "$x"
1
$ true
```
END

# Variables persist between tries of a command, so a later try may match.
check 0 "1 commands" <<'END'
```console
$ n=${n-}x; echo "$n"
xx
```
END

# A dot matches only a dot.
check 1 'page.md:2: . echo one' <<'END'
```console
$ echo one
o.e
```
END

# Output lines in another order than on the page do not match.
check 1 'no "one" in 3 tries' <<'END'
```console
$ printf 'one\ntwo\n'
two
one
```
END

check 1 'status 1' <<'END'
```console
$ false
```
END

# A pattern must not match what an earlier command printed.
check 1 'no "one"' <<'END'
```console
$ echo one
one
$ echo two
one
```
END

check 1 'does not end' <<'END'
```console
$ true
END

check 1 'no commands' <<'END'
$ true
END

exit "$failed"

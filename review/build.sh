#!/usr/bin/env bash
# Builds the stand-ins and drivers of all cases into review/build/. Run after the deploy file's build.
set -eu
cd "$(dirname "$0")"
mkdir -p build
for source in [1-5]/case.c; do
	[ -f "$source" ] || continue
	n=$(dirname "$source")
	cc -O2 -g -Wall -Wextra "$source" stand/world.c -o "build/case$n" -ljansson -lpthread
done

#!/bin/sh
# run.sh BUILD [NAME]: runs every benchmark, or the one called NAME, and counts missed targets.
# A benchmark prints each figure beside its target and ends such a line with "met" or "missed".
build=$1
name=${2:-all}
out=$(mktemp)
trap 'rm -f "$out"' EXIT
found=no
for program in "$build"/bench/*_bench; do
	short=$(basename "$program" _bench)
	[ "$name" = all ] || [ "$name" = "$short" ] || continue
	found=yes
	echo "== $short"
	"$program" | tee -a "$out" || echo "$short: failed"
done
if [ "$found" = no ]; then
	echo "no benchmark is called $name" >&2
	exit 2
fi
echo "targets met: $(grep -c ' met$' "$out"), missed: $(grep -c ' missed$' "$out")"

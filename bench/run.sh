#!/bin/sh
# run.sh BUILD [NAME]: runs every benchmark, or the one called NAME, and counts missed targets.
# A benchmark prints each figure with its target and the word "met" or "missed", in upper or lower case.
build=$1
name=${2:-all}
out=$(mktemp)
trap 'rm -f "$out"' EXIT
found=no
for program in "$build"/bench/*_bench "$(dirname "$0")"/*_bench.sh; do
	short=$(basename "$program" .sh)
	short=${short%_bench}
	[ "$name" = all ] || [ "$name" = "$short" ] || continue
	found=yes
	echo "== $short"
	case $program in
	*.sh) set -- bash "$program" "$build" ;;
	*) set -- "$program" ;;
	esac
	"$@" | tee -a "$out" || echo "$short: failed"
done
if [ "$found" = no ]; then
	echo "no benchmark is called $name" >&2
	exit 2
fi
echo "targets met: $(grep -ciw 'met' "$out"), missed: $(grep -ciw 'missed' "$out")"

#!/usr/bin/env bash
# Runs this case; see claim.txt. TROUBLE=0: without the disruption.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
n=$(basename "$here")
cd "$here/../.." || exit 2
tmp=$(mktemp -d) || exit 2
trap 'rm -rf "$tmp"' EXIT
[ -x "review/build/case$n" ] || { echo "run review/build.sh first" >&2; exit 2; }
"review/build/case$n" "review/$n/record.txt" "$tmp"

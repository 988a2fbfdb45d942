# The demo runs to its end: a streamed response, one call with a permit, the same permit refused,
# and a graceful shutdown of every instance.
# Usage: demo_test.sh BUILD_DIRECTORY
set -eu
here=$(dirname "$0")
out=$(mktemp)
trap 'rm -f "$out"' EXIT
sh "$here/../samples/demo.sh" "$1" >"$out" 2>&1 || {
	status=$?
	cat "$out"
	exit $status
}
expect() {
	grep -q -- "$1" "$out" || {
		cat "$out"
		echo "the demo did not print: $1"
		exit 1
	}
}
expect '^generation 1$'
expect '^region=recife cost=.* outcome=completed request='
expect '"served_by":"desk-recife"'
expect '^exit status 3; the dispatch service says {"count":1,"most":1}$'
expect '^draining$'
expect '^== All entry instances ended with exit status 0$'

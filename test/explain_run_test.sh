# Instances under injected faults: the explain command finds a cause in their logs for each request
# that failed.
# Usage: explain_run_test.sh BUILD_DIRECTORY
set -u
SOAK=$1/test/soak
CTL=$1/cmd/arbutuspondctl
OUT=$("$SOAK" --program "$1/cmd/arbutuspond" --seed 4 --seconds 6 --gates 4 --keep) || {
	echo "$OUT"
	exit 1
}
DIR=$(echo "$OUT" | sed -n 's/^logs are in //p')
trap 'rm -rf "$DIR"' EXIT
FAILED=0
COUNT=0
for id in $(grep -h '"request.ended"' "$DIR"/*.log |
	grep -E '"outcome":"(refused|unknown|cut)"' | grep '"guest":false' |
	sed 's/.*"request":"\([^"]*\)".*/\1/' | sort -u | head -n 40); do
	COUNT=$((COUNT + 1))
	found=$("$CTL" explain "$id" "$DIR"/*.log 2>&1) || {
		echo "not ok: $id: $found"
		FAILED=1
	}
	echo "$found" | grep -q '^cause: ' || {
		echo "not ok: $id: no cause in $found"
		FAILED=1
	}
done
echo "$COUNT failed requests explained"
exit $FAILED

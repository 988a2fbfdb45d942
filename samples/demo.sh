#!/bin/sh
# Demonstrates the gateway on one machine: stand-ins, three entry instances in two regions, a
# sample configuration, a question with a streamed response, a call with a permit, and a graceful
# shutdown.
# Usage: demo.sh BUILD_DIRECTORY
set -eu
BUILD=${1:-build}
SAMPLES=$(dirname "$0")
. "$SAMPLES/fleet.sh"
trap 'status=$?; fleet_stop || exit 1; exit $status' EXIT
trap 'exit 1' INT TERM

say() {
	printf '\n== %s\n' "$*"
}

say "Starting stand-ins and three entry instances in $DIR"
fleet_up catering recife fortaleza reconciler,carrier-contracts galley-small \
	planning questions dispatch
export ARBUTUSPOND_TOKEN="$TOKEN"
fleet_wait "the admin listener" "$CTL" --admin "$ADMIN_1" get

say "Applying the configuration of Bandeja Alta"
"$CTL" --admin "$ADMIN_1" apply "$SAMPLES/bandeja-alta.toml"
for admin in "$ADMIN_1" "$ADMIN_2" "$ADMIN_3"; do
	fleet_wait "$admin to be ready" fleet_ready "$admin"
done
fleet_wait "all instances to know each other" fleet_alive "$ADMIN_1" 3
"$CTL" --admin "$ADMIN_1" status

say "A galley question, with a streamed response"
ARBUTUSPOND_KEY=galley-recife-key "$CTL" --entry "$CALLERS_1" --service galley --max-tokens 12 \
	ask "How many special meals are in row 12 of this galley?"

fleet_wait "a witness for permits" fleet_has_witness "$ADMIN_1"
say "Confirming a load once, with a permit"
ARBUTUSPOND_KEY=dispatch-recife-key "$CTL" --entry "$CALLERS_1" --service confirm-load \
	--path /confirm --permit ask '{"load":"REC-0417","trolleys":14}' >"$DIR/confirmed"
cat "$DIR/confirmed"

say "The same permit again: refused, and the load is not confirmed twice"
permit=$(sed -n 's/^permit=//p' "$DIR/confirmed")
status=0
ARBUTUSPOND_KEY=dispatch-recife-key "$CTL" --entry "$CALLERS_1" --service confirm-load \
	--path /confirm --permit="$permit" ask '{"load":"REC-0417","trolleys":14}' || status=$?
count=$(curl -s "http://$(fleet_address desk-recife)/count")
echo "exit status $status; the dispatch service says $count"
[ "$status" -eq 3 ] && [ "$count" = '{"count":1,"most":1}' ]

say "Draining entry-1; it exits when its requests are done"
"$CTL" --admin "$ADMIN_1" drain
fleet_wait_end entry-1
echo "exit status $?"

say "The end of the merged time line of the other two"
"$CTL" --admin "$ADMIN_2" --admin "$ADMIN_3" timeline | tail -n 5

fleet_end entry-2
fleet_end entry-3
say "All entry instances ended with exit status 0"

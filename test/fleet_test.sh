#!/bin/bash
# Real processes during a store outage: the configuration changes before and after it; during it
# one instance is killed and replaced and one is paused. Every instance must reach the last
# generation, none may revert, and questions must be served throughout.
# Usage: fleet_test.sh BUILD_DIRECTORY
set -eu
BUILD=$1
SAMPLES=$(dirname "$0")/../samples
. "$SAMPLES/fleet.sh"
trap 'fleet_stop' EXIT
trap 'exit 1' INT TERM
export ARBUTUSPOND_KEY=galley-recife-key

admin_get() {
	curl -sf -H "Authorization: Bearer $TOKEN" "http://$1/$2"
}

generation() {
	admin_get "$1" metrics | sed -n 's/^arbutuspond_config_generation //p'
}

at_generation() {
	[ "$(generation "$1")" = "$2" ]
}

counter_is() {
	[ "$(admin_get "$1" metrics | sed -n "s/^arbutuspond_$2 //p")" = "$3" ]
}

member_is() {
	admin_get "$1" state | tr '{' '\n' | grep "\"id\":\"$2\"" | grep -q "\"state\":\"$3\""
}

store_fault() {
	curl -sf -X PUT "http://$(fleet_address platform)/fault?$1" >/dev/null
}

question() {
	"$CTL" --entry "$1" --service galley --max-tokens 4 ask "How many special meals?" >/dev/null
}

check() {
	what=$1
	shift
	if ! "$@"; then
		echo "failed: $what" >&2
		exit 1
	fi
	echo "ok: $what"
}

change() {
	sed "s/^\( *\)slots = [0-9]*/\1slots = $1/" "$SAMPLES/bandeja-alta.toml" >"$DIR/conf.toml"
	"$CTL" --admin "$ADMIN_2" apply --replace "$DIR/conf.toml" >/dev/null
}

fleet_up catering recife fortaleza reconciler,carrier-contracts galley-small \
	planning questions dispatch
export ARBUTUSPOND_TOKEN="$TOKEN"
fleet_wait "the admin listener" "$CTL" --admin "$ADMIN_2" get
change 16
for admin in "$ADMIN_1" "$ADMIN_2" "$ADMIN_3"; do
	fleet_wait "generation 1" at_generation "$admin" 1
	fleet_wait "$admin to be ready" fleet_ready "$admin"
done
check "a question is served before the outage" question "$CALLERS_1"

counter_above() {
	[ "$(admin_get "$1" metrics | sed -n "s/^arbutuspond_$2 //p")" -gt "$3" ]
}

long=$(printf 'special meal %.0s' $(seq 200))
fleet_wait "cache events from an engine" sh -c "\"$CTL\" --entry $CALLERS_1 --service galley \
	--max-tokens 1 ask \"$long\" >/dev/null; curl -sf -H 'Authorization: Bearer $TOKEN' \
	http://$ADMIN_1/metrics | grep -q '^arbutuspond_cache_events_total [1-9]'"
fleet_wait "cache events at entry-2, which polls too" counter_above "$ADMIN_2" cache_events_total 0

store_fault away=1
status=0
change 17 2>/dev/null || status=$?
check "a change is refused during the outage" test "$status" -ne 0
check "a question is served during the outage" question "$CALLERS_1"

kill -9 "$(cat "$DIR/entry-1.pid")"
kill -STOP "$(cat "$DIR/entry-3.pid")"
fleet_wait "entry-1 to be declared dead" member_is "$ADMIN_2" entry-1 dead
check "a question is served by entry-2" question "$CALLERS_2"

fleet_start entry-1 "$BUILD/cmd/arbutuspond" --settings "$DIR/entry-1.toml"
fleet_wait "the replacement to take the configuration from its peer" at_generation "$ADMIN_1" 1
fleet_wait "the replacement to be alive" member_is "$ADMIN_2" entry-1 alive
fleet_wait "the replacement to be ready during the outage" fleet_ready "$ADMIN_1"
check "a question is served by the replacement" question "$CALLERS_1"

store_fault away=0
fleet_wait "a change to be accepted again" change 18
last=$(generation "$ADMIN_2")
check "the generation rose" test "$last" -gt 1
kill -CONT "$(cat "$DIR/entry-3.pid")"
for admin in "$ADMIN_1" "$ADMIN_2" "$ADMIN_3"; do
	fleet_wait "$admin to be at generation $last" at_generation "$admin" "$last"
	check "$admin never reverted" counter_is "$admin" config_reverted_total 0
done
check "the continued instance serves a question" env ARBUTUSPOND_KEY=galley-fortaleza-key "$CTL" \
	--entry "$CALLERS_3" --service galley --max-tokens 4 ask "Which trolleys?"
for n in 1 2 3; do
	kill "$(cat "$DIR/entry-$n.pid")"
done
for n in 1 2 3; do
	check "entry-$n drains with exit status 0" wait "$(cat "$DIR/entry-$n.pid")"
done

#!/bin/bash
# Processor time and memory of three idle instances, each a whole daemon.
# Usage: idle_bench.sh BUILD_DIRECTORY
set -eu
BUILD=$1
SAMPLES=$(dirname "$0")/../samples
SECONDS_MEASURED=20
CORE_TARGET=3.2 # % of a core
MEMORY_TARGET=128 # MB
. "$SAMPLES/fleet.sh"
trap 'fleet_stop' EXIT
trap 'exit 1' INT TERM

# ticks PID: prints the clock ticks of processor time that the process has used.
ticks() {
	awk '{ print $14 + $15 }' "/proc/$1/stat"
}

# print_verdict TEXT FIGURE TARGET UNIT: prints the figure, its target and whether it is met.
print_verdict() {
	awk -v value="$2" -v target="$3" -v what="$1" -v unit="$4" 'BEGIN {
		printf "  %-44s %10.2f %-7s target %8.1f  %s\n", what, value, unit, target,
			value <= target ? "met" : "MISSED" }'
}

fleet_up catering recife fortaleza reconciler,carrier-contracts galley-small \
	planning questions dispatch
export ARBUTUSPOND_TOKEN="$TOKEN"
fleet_wait "the admin listener" "$CTL" --admin "$ADMIN_1" get
"$CTL" --admin "$ADMIN_1" apply --replace "$SAMPLES/bandeja-alta.toml" >/dev/null
for admin in "$ADMIN_1" "$ADMIN_2" "$ADMIN_3"; do
	fleet_wait "$admin to be ready" fleet_ready "$admin"
done
before=
for n in 1 2 3; do
	before="$before $(ticks "$(cat "$DIR/entry-$n.pid")")"
done
sleep $SECONDS_MEASURED
hertz=$(getconf CLK_TCK)
for n in 1 2 3; do
	pid=$(cat "$DIR/entry-$n.pid")
	ticks_before=$(echo $before | cut -d' ' -f$n)
	ticks_now=$(ticks "$pid")
	core=$(awk -v t=$((ticks_now - ticks_before)) -v h="$hertz" -v s=$SECONDS_MEASURED \
		'BEGIN { print 100 * t / h / s }')
	memory=$(awk '/^VmRSS/ { print $2 / 1024 }' "/proc/$pid/status")
	print_verdict "entry-$n idle: processor, whole process" "$core" $CORE_TARGET "% core"
	print_verdict "entry-$n idle: memory, whole process" "$memory" $MEMORY_TARGET MB
done

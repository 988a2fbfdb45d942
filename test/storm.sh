# Random faults over real processes while callers confirm loads and ask questions: instances killed,
# paused, drained and started again, links cut and silent, the store away, slow or losing answers,
# upstreams failing, configuration changed by two operators. Then all heals, and what was said is
# compared with what ran. No part of the tests of each commit: its order of events is the machine's.
# Usage: storm.sh BUILD_DIRECTORY [SECONDS [SEED]]
. "$(dirname "$0")/common.sh"
. "$(dirname "$0")/regions.sh"
LAST=${2:-60}
RANDOM=${3:-1}
CALLERS_A_REGION=3
TRIES=3 # of one call, while its outcome is unknown

CONF=$DIR/conf.toml
sed 's/^rate = .*/rate = 1000.0/; s/^burst = .*/burst = 2000.0/' "$SAMPLES/bandeja-alta.toml" >"$CONF"

pick() {
	echo "$@" | tr ' ' '\n' | sed -n "$((RANDOM % $# + 1))p"
}

entries_of() {
	[ "$1" = recife ] && echo 1 2 || echo 3 4
}

# try BODY ADDRESS HEADER KEY: one try of a confirmation; logs and prints its outcome.
try() {
	outcome=$(call "$4" "$2" /s/confirm-load/confirm "$1" -m 15 -H "$3")
	echo "$1 $outcome" >>"$DIR/said-$who"
	echo "${outcome##* }"
}

# confirm_loads REGION NUMBER: a clerk, who asks again elsewhere when the outcome isn't known.
confirm_loads() {
	region=$1 who=$1-$2 n=0
	RANDOM=$2
	while [ ! -e "$DIR/stop" ]; do
		n=$((n + 1))
		at=$(callers_of "$(pick $(entries_of "$region"))")
		header="Idempotency-Key: $who-$n"
		if [ "$2" != 1 ]; then
			permit=$(permit "dispatch-$region-key" "$at")
			[ -n "$permit" ] || continue
			header="Arbutuspond-Permit: $permit"
		fi
		for _ in $(seq $TRIES); do
			to=$(callers_of "$(pick $(entries_of "$region"))")
			case $(try "$who-$n" "$to" "$header" "dispatch-$region-key") in
			completed | not-run) break ;;
			esac
		done
	done
}

ask_questions() {
	who=ask-$1
	while [ ! -e "$DIR/stop" ]; do
		at=$(callers_of "$(pick $(entries_of "$1"))")
		question "galley-$1-key" "$at" galley >>"$DIR/asked-$1"
	done
}

start_again() {
	cat "$DIR/entry-$1.log" >>"$DIR/logs"
	RUNNING=$(echo "$RUNNING" | sed "s/\(^\| \)entry-$1 /\1/")
	fleet_run "$1"
}

# stop_entry NUMBER SIGNAL
stop_entry() {
	# A signal before the program can take it ends it the rough way.
	grep -q ' started$' "$DIR/entry-$1.log" || return
	kill "-$2" "$(cat "$DIR/entry-$1.pid")"
	if [ "$2" = KILL ]; then
		wait "$(cat "$DIR/entry-$1.pid")" 2>/dev/null
	else
		fleet_wait_end "entry-$1" || check "entry-$1 drained" 0 $?
	fi
	sleep $((RANDOM % 3))
	start_again "$1"
}

pause_entry() {
	pid=$(cat "$DIR/entry-$1.pid")
	kill -STOP "$pid"
	(sleep $((RANDOM % 9)) && kill -CONT "$pid") &
}

change() {
	sed "s/^\( *\)slots = [0-9]*/\1slots = $2/" "$CONF" >"$DIR/changed-$1.toml"
	"$CTL" --admin "$(admin_of "$1")" apply --replace "$DIR/changed-$1.toml" >/dev/null 2>&1
}

# one_fault: brings about a random fault, or ends some.
one_fault() {
	case $((RANDOM % 12)) in
	0) stop_entry "$(pick 1 2 3 4)" KILL ;;
	1) stop_entry "$(pick 1 2 3 4)" TERM ;;
	2 | 3) pause_entry "$(pick 1 2 3 4)" ;;
	4) fault link mode="$(pick cut freeze)" ;;
	5) fault link mode=pass ;;
	6) fault platform "$(pick away=1 lose=0.5 stall_ms=2000 list_away=1)" ;;
	7) fault platform "" ;;
	8) fault "$(pick desk-recife desk-fortaleza)" \
		"mode=$(pick reset-before reset-after stall-before half wrong-id refuse silent)&count=$((RANDOM % 5 + 1))" ;;
	9) fault "$(pick questions-recife questions-fortaleza planning-recife)" \
		"mode=$(pick reset-before reset-after stall-middle half wrong-id refuse silent)&count=$((RANDOM % 5 + 1))" ;;
	10) change "$(pick 1 2)" $((RANDOM % 60 + 4)) & ;;
	11) change "$(pick 3 4)" $((RANDOM % 60 + 4)) & ;;
	esac
}

heal() {
	fault link mode=pass
	fault platform ""
	for name in desk-recife desk-fortaleza questions-recife questions-fortaleza planning-recife; do
		fault $name mode=none
	done
	for n in $ENTRIES; do
		kill -CONT "$(cat "$DIR/entry-$n.pid")"
	done
}

same_generation() {
	for n in $ENTRIES; do
		counter_is "$(admin_of "$n")" config_generation "$(counter "$ADMIN_1" config_generation)" || return 1
	done
}

# times BODY: how often both regions' services worked on it.
times() {
	sum=0
	for region in recife fortaleza; do
		sum=$((sum + $(curl -sf "http://$(fleet_address "desk-$region")/count?body=$1" |
			sed 's/.*"times":\([0-9]*\).*/\1/')))
	done
	echo $sum
}

# judge: what was said of each call against what ran.
judge() {
	wrong=0
	for body in $(cut -d' ' -f1 "$DIR"/said-* | sort -u); do
		said=$(grep -h "^$body " "$DIR"/said-*)
		ran=$(times "$body")
		bad=0
		[ "$ran" -le 1 ] || bad=1
		! echo "$said" | grep -q ' not-run$' || [ "$ran" = 0 ] || bad=1
		! echo "$said" | grep -q ' completed$' || [ "$ran" = 1 ] || bad=1
		[ $bad = 0 ] || {
			wrong=$((wrong + 1))
			echo "ran $ran times:"
			echo "$said"
		}
	done
	check "calls of which something false was said" 0 $wrong
	cat "$DIR"/said-* | sed 's/^[^ ]* //' | sort | uniq -c
	cat "$DIR"/asked-* | sort | uniq -c
}

bandeja_up
await "all are alive for each other" sees_all
for region in recife fortaleza; do
	for n in $(seq $CALLERS_A_REGION); do
		confirm_loads $region "$n" &
		clients="${clients:-} $!"
	done
	ask_questions $region &
	clients="$clients $!"
done
end=$((SECONDS + LAST))
while [ $SECONDS -lt $end ]; do
	one_fault
	sleep 0.$((RANDOM % 10))
done
heal
await "all are alive for each other after all" sees_all
await "one generation in force everywhere" same_generation
touch "$DIR/stop"
# shellcheck disable=SC2086
wait $clients
judge
cat "$DIR"/entry-*.log >>"$DIR/logs"
check "broken invariants" 0 "$(grep -c 'invariant .* broken' "$DIR/logs")"
grep 'invariant .* broken' "$DIR/logs"
check "sanitizer reports" 0 "$(grep -c 'ERROR: AddressSanitizer\|runtime error' "$DIR/logs")"
for n in $ENTRIES; do
	check "entry-$n: configuration that went back" 0 "$(counter "$(admin_of "$n")" config_reverted_total)"
	fleet_end "entry-$n"
	check "entry-$n drained" 0 $?
done
exit $FAILED

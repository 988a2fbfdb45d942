# Random faults in real processes while callers confirm loads and ask questions: instances killed,
# paused, drained and restarted, links cut and silent, the store unreachable, slow or losing
# responses, upstreams failing, configuration changed by two operators. After all faults end, the
# reported outcomes are compared with the calls that ran. Not among the tests of each commit,
# because the order of events depends on the machine.
# Usage: storm.sh BUILD_DIRECTORY [SECONDS [SEED]]
. "$(dirname "$0")/common.sh"
. "$(dirname "$0")/regions.sh"
DURATION_S=${2:-60}
RANDOM=${3:-1}
CALLERS_A_REGION=3
ATTEMPTS=3 # attempts at one call while its outcome is unknown

CONF=$DIR/conf.toml
sed 's/^rate = .*/rate = 1000.0/; s/^burst = .*/burst = 2000.0/' "$SAMPLES/bandeja-alta.toml" >"$CONF"

pick() {
	echo "$@" | tr ' ' '\n' | sed -n "$((RANDOM % $# + 1))p"
}

entries_of() {
	[ "$1" = recife ] && echo 1 2 || echo 3 4
}

# try BODY ADDRESS HEADER KEY: one attempt at a confirmation; logs and prints its outcome.
try() {
	outcome=$(call "$4" "$2" /s/confirm-load/confirm "$1" -m 15 -H "$3")
	echo "$1 $outcome" >>"$DIR/outcomes-$who"
	echo "${outcome##* }"
}

# confirm_loads REGION NUMBER: a caller that retries at a random entry while the outcome is unknown.
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
		for _ in $(seq $ATTEMPTS); do
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
	# A signal that arrives before its handler is installed kills the program without draining.
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

# one_fault: injects a random fault, or ends some.
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

# times BODY: how often the services of both regions ran it.
times() {
	sum=0
	for region in recife fortaleza; do
		sum=$((sum + $(curl -sf "http://$(fleet_address "desk-$region")/count?body=$1" |
			sed 's/.*"times":\([0-9]*\).*/\1/')))
	done
	echo $sum
}

# judge: compares the reported outcomes of each call with its runs.
judge() {
	wrong=0
	for body in $(cut -d' ' -f1 "$DIR"/outcomes-* | sort -u); do
		reported=$(grep -h "^$body " "$DIR"/outcomes-*)
		ran=$(times "$body")
		bad=0
		[ "$ran" -le 1 ] || bad=1
		! echo "$reported" | grep -q ' not-run$' || [ "$ran" = 0 ] || bad=1
		! echo "$reported" | grep -q ' completed$' || [ "$ran" = 1 ] || bad=1
		[ $bad = 0 ] || {
			wrong=$((wrong + 1))
			echo "ran $ran times:"
			echo "$reported"
		}
	done
	check "calls with a false outcome reported" 0 $wrong
	cat "$DIR"/outcomes-* | sed 's/^[^ ]* //' | sort | uniq -c
	cat "$DIR"/asked-* | sort | uniq -c
}

bandeja_up
await "every entry holds all others to be alive" sees_all
for region in recife fortaleza; do
	for n in $(seq $CALLERS_A_REGION); do
		confirm_loads $region "$n" &
		clients="${clients:-} $!"
	done
	ask_questions $region &
	clients="$clients $!"
done
end=$((SECONDS + DURATION_S))
while [ $SECONDS -lt $end ]; do
	one_fault
	sleep 0.$((RANDOM % 10))
done
heal
await "every entry holds all others to be alive after the faults" sees_all
await "one generation is active at every entry" same_generation
touch "$DIR/stop"
# shellcheck disable=SC2086
wait $clients
judge
cat "$DIR"/entry-*.log >>"$DIR/logs"
check "broken invariants" 0 "$(grep -c 'invariant .* broken' "$DIR/logs")"
grep 'invariant .* broken' "$DIR/logs"
check "sanitizer reports" 0 "$(grep -c 'ERROR: AddressSanitizer\|runtime error' "$DIR/logs")"
for n in $ENTRIES; do
	check "entry-$n: reverted configurations" 0 "$(counter "$(admin_of "$n")" config_reverted_total)"
	fleet_end "entry-$n"
	check "entry-$n drained" 0 $?
done
exit $FAILED

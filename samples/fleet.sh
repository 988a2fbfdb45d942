# Starts stand-ins and three entry instances in two regions; sourced by samples/demo.sh and tests.
# Needs $BUILD. Sets $DIR, a temporary directory, $ADMIN_1 to 3, $CALLERS_1 to 3 and $TOKEN. The script
# that sources this file must call fleet_stop at the end, which stops only processes started here.
# Before fleet_up, the script may set ENTRIES to "1 2 3 4" for a second entry in the second region,
# ENGINE_OPTIONS to options of each engine, and LINKED to names of stand-ins that are listed by the
# address of a standin-link. It may also redefine fleet_run, called as fleet_run NUMBER, to start an
# entry another way.
# shellcheck shell=sh

DIR=$(mktemp -d)
TOKEN=$(od -An -N16 -tx1 /dev/urandom | tr -d ' \n')
CTL=$BUILD/cmd/arbutuspondctl
RUNNING= # names of running processes, the latest first
WAIT_TICKS=300 # tenths of a second
PORT_FIRST=10000
PORT_RANGE=40
PORT_RANGES=500
ENTRIES="1 2 3"
LINKED=
ENGINE_OPTIONS=

# fleet_wait WHAT COMMAND...: runs COMMAND until it succeeds.
fleet_wait() {
	what=$1
	shift
	ticks=0
	until "$@" >/dev/null 2>&1; do
		ticks=$((ticks + 1))
		if [ $ticks -gt $WAIT_TICKS ]; then
			echo "timed out waiting for $what" >&2
			return 1
		fi
		sleep 0.1
	done
}

# fleet_start NAME PROGRAM ARGUMENTS...: starts a process; its id is in $DIR/NAME.pid.
fleet_start() {
	name=$1
	shift
	"$@" >"$DIR/$name.out" 2>"$DIR/$name.log" &
	echo $! >"$DIR/$name.pid"
	RUNNING="$name $RUNNING"
}

# fleet_gone PID: has the process ended? True also of a zombie.
fleet_gone() {
	[ ! -e "/proc/$1" ] || grep -q '^State:.Z' "/proc/$1/status"
}

# fleet_wait_end NAME: waits until the process has ended. Return: its exit status.
fleet_wait_end() {
	pid=$(cat "$DIR/$1.pid")
	fleet_wait "the end of $1" fleet_gone "$pid" || kill -9 "$pid"
	ended=0
	wait "$pid" || ended=$?
	RUNNING=$(echo "$RUNNING" | sed "s/\(^\| \)$1 /\1/")
	[ $ended -eq 0 ] || {
		echo "$1 ended with status $ended:" >&2
		tail -n 20 "$DIR/$1.log" >&2
	}
	return $ended
}

# fleet_end NAME: sends SIGTERM and waits until the process has ended. Return: its exit status.
fleet_end() {
	kill "$(cat "$DIR/$1.pid")" 2>/dev/null || true
	fleet_wait_end "$1"
}

# fleet_standin NAME PROGRAM ARGUMENTS...: starts a stand-in and waits until it listens.
fleet_standin() {
	fleet_start "$@" --listen 127.0.0.1:0
	fleet_wait "$1" grep -q listening "$DIR/$1.out"
}

fleet_address() {
	sed -n 's/^listening //p' "$DIR/$1.out"
}

# fleet_listed NAME: the address in the platform's list: that of its link, if it has one.
fleet_listed() {
	[ ! -e "$DIR/link-$1.out" ] || {
		sed -n 's/^link \([^ ]*\) .*/\1/p' "$DIR/link-$1.out"
		return
	}
	fleet_address "$1"
}

# fleet_engine ID MODELS: starts an engine that publishes its cache events.
fleet_engine() {
	fleet_ports 1
	echo "$PORTS" >"$DIR/$1.events"
	# shellcheck disable=SC2086
	fleet_standin "$1" "$BUILD/test/standin-engine" --id "$1" --models "$2" --events-port "$PORTS" \
		$ENGINE_OPTIONS
}

# fleet_upstream ID REGION WORK: prints an entry of the platform's list.
fleet_upstream() {
	address=$(fleet_listed "$1")
	printf '{"id":"%s","role":"upstream","host":"127.0.0.1","port":%s,"region":"%s",' \
		"$1" "${address##*:}" "$2"
	printf '"data_centre":"%s-a","state":"live","labels":{"trade":"%s","work":"%s"' \
		"$2" "$TRADE" "$3"
	[ ! -e "$DIR/$1.events" ] || printf ',"events_port":"%s"' "$(cat "$DIR/$1.events")"
	printf '}}'
}

# fleet_settings NUMBER REGION CALLERS DATA CONTROL ADMIN: writes the settings of an entry instance
# and its entry of the platform's list.
fleet_settings() {
	sed -e "s|@ID@|entry-$1|; s|@REGION@|$2|; s|@DATA_CENTRE@|$2-a|" \
		-e "s|@CALLERS@|$3|; s|@DATA@|$4|; s|@CONTROL@|$5|; s|@ADMIN@|$6|" \
		-e "s|@TOKEN@|$TOKEN|; s|@PLATFORM@|$(fleet_address platform)|" \
		"$SAMPLES/entry.toml" |
		awk -v pair="$DIR/key-$1" -v peers="$DIR/peers" '
			/@PUBLIC@/ { getline line < pair; print line; next }
			/@SECRET@/ { getline line < pair; print line; next }
			/@PEERS@/ { printf "peers = ["; while ((getline line < peers) > 0) printf "%s, ", line; print "]"; next }
			{ print }' >"$DIR/entry-$1.toml"
	printf '{"id":"entry-%s","role":"entry","host":"127.0.0.1","port":%s,"region":"%s",' \
		"$1" "$3" "$2" >"$DIR/entry-$1.json"
	printf '"data_centre":"%s-a","state":"live","data_port":%s,"control_port":%s,' \
		"$2" "$4" "$5" >>"$DIR/entry-$1.json"
	printf '"public_key":"%s"}' "$(public_key "$1")" >>"$DIR/entry-$1.json"
}

public_key() {
	sed -n "s/^public = '\(.*\)'\$/\1/p" "$DIR/key-$1"
}

fleet_keys() {
	for n in $ENTRIES; do
		"$CTL" keygen >"$DIR/key-$n"
		echo "'$(public_key $n)'" >>"$DIR/peers"
	done
}

# fleet_ports COUNT: sets PORTS to free ports that no other fleet of this user takes. A lock on their
# range is held as long as this shell or a process that it started lives.
fleet_ports() {
	locks=${TMPDIR:-/tmp}/arbutuspond-ports-$(id -u)
	mkdir -p "$locks"
	while :; do
		range=$(($(od -An -N2 -tu2 /dev/urandom) % PORT_RANGES))
		exec 9>"$locks/$range"
		flock -n 9 && break
	done
	PORTS=$("$BUILD/test/standin-ports" "$1" $((PORT_FIRST + range * PORT_RANGE)))
}

# fleet_list: writes the platform's instance list.
fleet_list() {
	{
		printf '{"instances":['
		for n in $ENTRIES; do
			cat "$DIR/entry-$n.json"
			printf ','
		done
		cat "$DIR/upstreams.json"
		printf ']}'
	} >"$DIR/instances.json"
	curl -sf -X PUT --data-binary @"$DIR/instances.json" \
		"http://$(fleet_address platform)/v1/instances" >/dev/null
}

# fleet_ready ADMIN: is the instance ready?
fleet_ready() {
	curl -sf -H "Authorization: Bearer $TOKEN" "http://$1/ready"
}

# fleet_metric ADMIN PATTERN: does a line of the instance's metrics match?
fleet_metric() {
	curl -sf -H "Authorization: Bearer $TOKEN" "http://$1/metrics" | grep -q "^arbutuspond_$2\$"
}

# fleet_alive ADMIN COUNT: does the instance hold COUNT members to be alive?
fleet_alive() {
	fleet_metric "$1" "members_alive $2"
}

# fleet_has_witness ADMIN: has the instance probed the others of its region as witnesses for permits?
fleet_has_witness() {
	fleet_metric "$1" "permits_messages_total \\([4-9]\\|[1-9][0-9][0-9]*\\)"
}

# fleet_run NUMBER: starts an entry.
fleet_run() {
	fleet_start "entry-$1" "$BUILD/cmd/arbutuspond" --settings "$DIR/entry-$1.toml"
}

# fleet_up TRADE FIRST SECOND MODELS MODELS WORK WORK WORK: starts two entries in region FIRST and one
# in SECOND; in each region two engines with the given models, and a plain service, all three with the
# given labels "work".
fleet_up() {
	TRADE=$1
	fleet_standin platform "$BUILD/test/standin-platform"
	for region in "$2" "$3"; do
		fleet_engine "planning-$region" "$4"
		fleet_engine "questions-$region" "$5"
		fleet_standin "desk-$region" "$BUILD/test/standin-plain" --id "desk-$region"
	done
	for name in $LINKED; do
		fleet_standin "link-$name" "$BUILD/test/standin-link" --to "$(fleet_address "$name")"
	done
	{
		for region in "$2" "$3"; do
			fleet_upstream "planning-$region" "$region" "$6"
			printf ','
			fleet_upstream "questions-$region" "$region" "$7"
			printf ','
			fleet_upstream "desk-$region" "$region" "$8"
			[ "$region" = "$3" ] || printf ','
		done
	} >"$DIR/upstreams.json"
	fleet_keys
	fleet_ports 16
	# shellcheck disable=SC2086
	set -- "$2" "$3" $PORTS
	fleet_settings 1 "$1" "$3" "$4" "$5" "$6"
	fleet_settings 2 "$1" "$7" "$8" "$9" "${10}"
	fleet_settings 3 "$2" "${11}" "${12}" "${13}" "${14}"
	CALLERS_1=127.0.0.1:$3 ADMIN_1=127.0.0.1:$6
	CALLERS_2=127.0.0.1:$7 ADMIN_2=127.0.0.1:${10}
	CALLERS_3=127.0.0.1:${11} ADMIN_3=127.0.0.1:${14}
	case $ENTRIES in *4*)
		fleet_settings 4 "$2" "${15}" "${16}" "${17}" "${18}"
		CALLERS_4=127.0.0.1:${15} ADMIN_4=127.0.0.1:${18}
		;;
	esac
	fleet_list
	for n in $ENTRIES; do
		"$BUILD/cmd/arbutuspond" --check-settings --settings "$DIR/entry-$n.toml" >/dev/null
		fleet_run "$n"
	done
}

# fleet_stop: stops the running processes, entries first, and removes $DIR. Return: 0 if every process
# ended with status 0.
fleet_stop() {
	failed=0
	for name in $RUNNING; do
		fleet_end "$name" || failed=1
	done
	rm -rf "$DIR"
	return $failed
}

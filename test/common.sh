# Helpers of the tests that start real daemons; they source it. Takes the build directory as $1.
# shellcheck shell=bash disable=SC2034
set -u
BUILD=$1
SAMPLES=$(dirname "$0")/../samples
. "$SAMPLES/fleet.sh"
trap 'status=$?; fleet_stop >/dev/null; exit $status' EXIT
trap 'exit 1' INT TERM
export ARBUTUSPOND_TOKEN="$TOKEN"
FAILED=0
CONF=$SAMPLES/bandeja-alta.toml

# check WHAT EXPECTED FOUND
check() {
	if [ "$2" = "$3" ]; then
		echo "ok: $1"
		return
	fi
	echo "not ok: $1: expected $2, found $3"
	FAILED=1
}

# await WHAT COMMAND...: waits until COMMAND succeeds; on a timeout the test fails and exits.
await() {
	fleet_wait "$@" || {
		tail -n 5 "$DIR"/entry-*.log
		exit 1
	}
	echo "ok: $1"
}

admin_get() {
	curl -sf -H "Authorization: Bearer $TOKEN" "http://$1/$2"
}

# counter ADMIN NAME
counter() {
	admin_get "$1" metrics | sed -n "s/^arbutuspond_$2 //p"
}

counter_is() {
	[ "$(counter "$1" "$2")" = "$3" ]
}

# member_is ADMIN ID STATE: does the instance hold member ID to be in STATE?
member_is() {
	admin_get "$1" state | tr '{' '\n' | grep "\"id\":\"$2\"" | grep -q "\"state\":\"$3\""
}

# fault NAME QUERY: sets a stand-in's fault.
fault() {
	curl -sf -X PUT "http://$(fleet_address "$1")/fault?$2" >/dev/null
}

# plain_count NAME: requests that a plain service has run; plain_most NAME: most with one body.
plain_count() {
	curl -sf "http://$(fleet_address "$1")/count" | sed 's/.*"count":\([0-9]*\).*/\1/'
}

plain_most() {
	curl -sf "http://$(fleet_address "$1")/count" | sed 's/.*"most":\([0-9]*\).*/\1/'
}

plain_counted() {
	[ "$(plain_count "$1")" = "$2" ]
}

# engine_count NAME KIND: a value of an engine's /count: asked, orders, old_orders or fence.
engine_count() {
	curl -sf "http://$(fleet_address "$1")/count" | sed "s/.*\"$2\":\([0-9]*\).*/\1/"
}

# call KEY ADDRESS PATH BODY CURL-ARGUMENTS...: prints the status, the error's code and the outcome.
call() {
	key=$1 url=http://$2$3 body=$4
	shift 4
	response=$(curl -s -i -H "Authorization: Bearer $key" -d "$body" "$@" "$url" | tr -d '\r')
	printf '%s %s%s\n' "$(echo "$response" | sed -n '1s/^[^ ]* \([0-9]*\).*/\1/p')" \
		"$(echo "$response" | sed -n 's/.*"code":"\([a-z_]*\)".*/\1 /p')" \
		"$(echo "$response" | sed -n 's/^Arbutuspond-Outcome: //p')"
}

# question KEY ADDRESS MODEL: a short inference request.
question() {
	call "$1" "$2" /v1/chat/completions \
		"{\"model\":\"$3\",\"max_tokens\":32,\"messages\":[{\"role\":\"user\",\"content\":\"$RANDOM\"}]}" \
		-H "Arbutuspond-Service: $3"
}

# permit KEY ADDRESS: a permit for confirm-load.
permit() {
	curl -s -X POST -H "Authorization: Bearer $1" "http://$2/v1/permits?service=confirm-load" |
		sed -n 's/.*"permit":"\([^"]*\)".*/\1/p'
}

# confirm KEY ADDRESS BODY: a call that may run at most once, with a new permit.
confirm() {
	call "$1" "$2" /s/confirm-load/confirm "$3" -H "Arbutuspond-Permit: $(permit "$1" "$2")"
}

# bandeja_up: starts the fleet of samples/demo.sh, with its configuration active on every entry.
bandeja_up() {
	fleet_up catering recife fortaleza reconciler,carrier-contracts galley-small \
		planning questions dispatch || exit 1
	await "the admin listener" "$CTL" --admin "$ADMIN_1" get
	"$CTL" --admin "$ADMIN_1" apply "$CONF" >/dev/null || exit 1
	for n in $ENTRIES; do
		await "entry-$n is ready" fleet_ready "$(admin_of "$n")"
	done
}

# add_engine NAME: starts one more engine for questions in Recife.
add_engine() {
	fleet_standin "$1" "$BUILD/test/standin-engine" --id "$1" --models galley-small
	printf ',\n' >>"$DIR/upstreams.json"
	fleet_upstream "$1" recife questions >>"$DIR/upstreams.json"
	fleet_list
}

# admin_of NUMBER, callers_of NUMBER: addresses of an entry.
admin_of() {
	eval "echo \$ADMIN_$1"
}

callers_of() {
	eval "echo \$CALLERS_$1"
}

# Permits with three real daemons: used twice, used at another entry, issuer killed before and
# after the call began, issuer drained; and idempotency keys, which are checked in the store. The
# service counts the calls that ran.
# Usage: permit_test.sh BUILD_DIRECTORY
set -u
BUILD=$1
SAMPLES=$(dirname "$0")/../samples
. "$SAMPLES/fleet.sh"
trap 'fleet_stop' EXIT
trap 'exit 1' INT TERM
KEY=dispatch-recife-key
failed=0

# check WHAT EXPECTED FOUND
check() {
	if [ "$2" = "$3" ]; then
		echo "ok: $1"
		return
	fi
	echo "not ok: $1: expected $2, found $3"
	failed=1
}

# issue ADDRESS: prints a new permit.
issue() {
	curl -s -X POST -H "Authorization: Bearer $KEY" \
		"http://$1/v1/permits?service=confirm-load" | sed -n 's/.*"permit":"\([^"]*\)".*/\1/p'
}

# confirm ADDRESS HEADER BODY: prints the status, the error's code and the outcome.
confirm() {
	status=$(curl -s -o "$DIR/answer" -D "$DIR/headers" -w '%{http_code}' \
		-H "Authorization: Bearer ${4:-$KEY}" -H "$2" -d "$3" "http://$1/s/confirm-load/confirm")
	code=$(sed -n 's/.*"code":"\([a-z_]*\)".*/\1/p' "$DIR/answer")
	outcome=$(tr -d '\r' <"$DIR/headers" | sed -n 's/^Arbutuspond-Outcome: //p')
	echo "$status${code:+ $code} $outcome"
}

count() {
	curl -s "http://$(fleet_address desk-recife)/count" | sed 's/.*"count":\([0-9]*\).*/\1/'
}

fault() {
	curl -s -X PUT "http://$(fleet_address desk-recife)/fault?mode=$1" >/dev/null
}

counted() {
	[ "$(count)" = "$1" ]
}

# has_witness ISSUER WITNESS: does a new permit of ISSUER name WITNESS?
has_witness() {
	issue "$1" | tr '_-' '/+' | base64 -d 2>/dev/null | grep -aq "$2"
}

# told_completed ADDRESS HEADER BODY: is the call, which ran before, reported as completed?
told_completed() {
	[ "$(confirm "$@")" = "409 permit_used completed" ]
}

restart_1() {
	fleet_start entry-1 "$BUILD/cmd/arbutuspond" --settings "$DIR/entry-1.toml"
	fleet_wait "entry-1 to be ready" fleet_ready "$ADMIN_1" || exit 1
	check "a permit of the restarted entry-1 has a witness" 0 \
		"$(has_witness "$CALLERS_1" entry-2; echo $?)"
}

fleet_up catering recife fortaleza reconciler,carrier-contracts galley-small \
	planning questions dispatch
export ARBUTUSPOND_TOKEN="$TOKEN"
fleet_wait "the admin listener" "$CTL" --admin "$ADMIN_1" get || exit 1
"$CTL" --admin "$ADMIN_1" apply "$SAMPLES/bandeja-alta.toml" >/dev/null || exit 1
for admin in "$ADMIN_1" "$ADMIN_2" "$ADMIN_3"; do
	fleet_wait "$admin to be ready" fleet_ready "$admin" || exit 1
done
check "the first permit has a witness" 0 "$(has_witness "$CALLERS_1" entry-2; echo $?)"

permit="Arbutuspond-Permit: $(issue "$CALLERS_1")"
check "first use" "200 completed" "$(confirm "$CALLERS_1" "$permit" a)"
check "second use" "409 permit_used completed" "$(confirm "$CALLERS_1" "$permit" a)"
check "its stored answer" 1 "$(grep -c '"answer":{.*served_by' "$DIR/answer")"
check "second use, at another entry" "409 permit_used completed" \
	"$(confirm "$CALLERS_2" "$permit" a)"
check "its stored answer" 1 "$(grep -c '"answer":{.*served_by' "$DIR/answer")"
check "use in another region" "421 wrong_region unknown" "$(confirm "$CALLERS_3" "$permit" a)"
check "a request in another region" "421 wrong_region not-run" "$(confirm "$CALLERS_3" "X-None: 1" a)"
check "no permit" "428 permit_needed not-run" "$(confirm "$CALLERS_1" "X-None: 1" a)"
check "an altered permit" "403 forbidden not-run" \
	"$(confirm "$CALLERS_1" "${permit%????}AAAA" a)"
check "what ran" 1 "$(count)"

permit="Arbutuspond-Permit: $(issue "$CALLERS_1")"
check "first use, at another entry" "200 completed" "$(confirm "$CALLERS_2" "$permit" b)"
check "second use, at its issuer" "409 permit_used completed" "$(confirm "$CALLERS_1" "$permit" b)"
check "what ran" 2 "$(count)"

key="Idempotency-Key: load-17"
check "an idempotency key" "200 completed" "$(confirm "$CALLERS_1" "$key" c)"
check "the same key again" "409 permit_used completed" "$(confirm "$CALLERS_1" "$key" c)"
check "the same key at another entry" "409 permit_used completed" "$(confirm "$CALLERS_2" "$key" c)"
check "its stored answer" 1 "$(grep -c '"answer":{.*served_by' "$DIR/answer")"
kill -STOP "$(cat "$DIR/entry-1.pid")"
check "the same key while its entry is paused" "409 permit_used unknown" \
	"$(confirm "$CALLERS_2" "$key" c)"
kill -CONT "$(cat "$DIR/entry-1.pid")"
fleet_wait "entry-1 to answer again" told_completed "$CALLERS_2" "$key" c || exit 1
curl -s -X PUT "http://$(fleet_address platform)/fault?away=1" >/dev/null
check "a new key while the store is unreachable" "503 unchecked unknown" \
	"$(confirm "$CALLERS_1" "Idempotency-Key: load-18" d)"
check "a used key at another entry while the store is unreachable" "503 unchecked unknown" \
	"$(confirm "$CALLERS_2" "$key" c)"
permit="Arbutuspond-Permit: $(issue "$CALLERS_1")"
check "a permit while the store is unreachable" "200 completed" \
	"$(confirm "$CALLERS_1" "$permit" d)"
curl -s -X PUT "http://$(fleet_address platform)/fault" >/dev/null
check "a key once the store is reachable" "200 completed" \
	"$(confirm "$CALLERS_1" "Idempotency-Key: load-18" e)"
check "what ran" 5 "$(count)"

permit="Arbutuspond-Permit: $(issue "$CALLERS_1")"
kill -9 "$(cat "$DIR/entry-1.pid")"
check "issuer killed before the call began" "503 not_run not-run" \
	"$(confirm "$CALLERS_2" "$permit" f)"
restart_1
check "the same permit after the issuer's restart" "503 not_run not-run" \
	"$(confirm "$CALLERS_1" "$permit" f)"
check "what ran" 5 "$(count)"

permit="Arbutuspond-Permit: $(issue "$CALLERS_1")"
key="Idempotency-Key: load-19"
fault stall-before
confirm "$CALLERS_1" "$key" k >/dev/null &
fleet_wait "the key's call to start" counted 6 || exit 1
check "a key in progress at another entry" "409 permit_used unknown" \
	"$(confirm "$CALLERS_2" "$key" k)"
confirm "$CALLERS_1" "$permit" g >/dev/null &
fleet_wait "the call to start" counted 7 || exit 1
kill -9 "$(cat "$DIR/entry-1.pid")"
fault none
check "an idempotency key whose entry was killed" "409 permit_used unknown" \
	"$(confirm "$CALLERS_2" "$key" c)"
check "issuer killed after the call began" "504 unknown unknown" "$(confirm "$CALLERS_2" "$permit" g)"
check "what ran" 7 "$(count)"

restart_1
used="Arbutuspond-Permit: $(issue "$CALLERS_1")"
unused="Arbutuspond-Permit: $(issue "$CALLERS_1")"
check "a permit before the drain" "200 completed" "$(confirm "$CALLERS_1" "$used" h)"
"$CTL" --admin "$ADMIN_1" drain >/dev/null
wait "$(cat "$DIR/entry-1.pid")"
check "exit status after the drain" 0 $?
check "a permit used before the drain" "409 permit_used completed" \
	"$(confirm "$CALLERS_2" "$used" h)"
check "its stored answer" 1 "$(grep -c '"answer":{.*served_by' "$DIR/answer")"
check "a permit unused before the drain" "503 not_run not-run" \
	"$(confirm "$CALLERS_2" "$unused" i)"
check "what ran" 8 "$(count)"
exit $failed

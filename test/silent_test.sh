# Open connections to upstreams go silent for good while new ones work. Questions must be served
# over new connections, no upstream may be ejected, and no call that may run at most once may be
# sent twice.
# Usage: silent_test.sh BUILD_DIRECTORY
. "$(dirname "$0")/common.sh"
LINKED="planning-recife questions-recife desk-recife"
GALLEY=galley-recife-key
DISPATCH=dispatch-recife-key

freeze() {
	for name in $LINKED; do
		fault "link-$name" mode=freeze
	done
}

# ask_several WHEN: sends questions at once, so that several connections are used and then idle.
ask_several() {
	for n in 1 2 3 4 5 6; do
		question $GALLEY "$CALLERS_1" galley >"$DIR/answer-$n" &
		pids="${pids:-} $!"
	done
	# shellcheck disable=SC2086
	wait $pids
	pids=
	for n in 1 2 3 4 5 6; do
		check "$1: question $n" "200 completed" "$(cat "$DIR/answer-$n")"
	done
}

has_witness() {
	permit $DISPATCH "$CALLERS_1" | tr '_-' '/+' | base64 -d 2>/dev/null | grep -aq entry-2
}

more_than() {
	[ "$(counter "$1" "$2")" -gt "$3" ]
}

bandeja_up
await "entry-1 has a witness" has_witness
ask_several "before"
check "confirmation before" "200 completed" "$(confirm $DISPATCH "$CALLERS_1" a)"
ask_several "before again"
await "connections are reused" more_than "$ADMIN_1" upstream_reuses_total 2

freeze
ask_several "silent connections"
await "a silent connection was found" more_than "$ADMIN_1" silent_connections_total 0
await "silent connections were retired" more_than "$ADMIN_1" upstream_retired_total 0
check "confirmation with silent connections" "200 completed" \
	"$(confirm $DISPATCH "$CALLERS_1" b)"
freeze
# Its connection may have passed a check just before the freeze: then the outcome is unknown and the
# call must not be sent again.
check "confirmation, silent again" 1 "$(confirm $DISPATCH "$CALLERS_1" c |
	grep -c -e '^200 completed$' -e '^504 unknown unknown$')"
check "most runs of one confirmation" 1 "$(plain_most desk-recife)"
ask_several "silent again"

# The connection goes silent once the upstream has the call.
fault desk-recife mode=stall-before
ran=$(plain_count desk-recife)
permit=$(permit $DISPATCH "$CALLERS_1")
call $DISPATCH "$CALLERS_1" /s/confirm-load/confirm d -H "Arbutuspond-Permit: $permit" \
	>"$DIR/answer-d" &
pids=$!
await "the call has reached the upstream" plain_counted desk-recife $((ran + 1))
freeze
fault desk-recife mode=none
wait $pids
check "a call whose connection went silent" "504 unknown unknown" "$(cat "$DIR/answer-d")"
check "the same permit again" "504 unknown unknown" "$(call $DISPATCH "$CALLERS_1" \
	/s/confirm-load/confirm d -H "Arbutuspond-Permit: $permit")"
check "runs, and most runs of one call" "$((ran + 1)) 1" \
	"$(plain_count desk-recife) $(plain_most desk-recife)"
check "the next confirmation" "200 completed" "$(confirm $DISPATCH "$CALLERS_1" e)"

admin_get "$ADMIN_1" events >"$DIR/events"
check "events are recorded" 0 "$(grep -q request "$DIR/events"; echo $?)"
check "upstreams that were ejected" 0 "$(grep -c 'eject' "$DIR/events")"
check "cut streams" 0 "$(counter "$ADMIN_1" cut_streams_total)"
exit $FAILED

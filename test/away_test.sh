# Forwarding to the other region: Recife's engine for questions drains, so that questions are
# forwarded to Fortaleza while home-bound manifests stay. Then the link between the regions is cut
# under forwarded streams, and restored. Each cut stream must end with an error, and none may hang.
# Usage: away_test.sh BUILD_DIRECTORY
. "$(dirname "$0")/common.sh"
. "$(dirname "$0")/regions.sh"
GALLEY=galley-recife-key
QUESTIONS=3
STREAMS=4
ENGINE_OPTIONS="--decode-us 8000" # 4000 tokens: a stream takes half a minute
STREAM_TOKENS=4000
CALLER_LIMIT_S=20 # far above the service's limit of a second between tokens

# Only the pool for questions has the small model, and no caller reaches its rate limit.
CONF=$DIR/conf.toml
sed 's/^rate = .*/rate = 1000.0/; s/^burst = .*/burst = 2000.0/; s/work = \["questions", "planning"\]/work = "questions"/' \
	"$SAMPLES/bandeja-alta.toml" >"$CONF"

# answered KEY ADDRESS: is a question served? It is refused until Fortaleza announces capacity.
answered() {
	[ "$(question "$1" "$2" galley)" = "200 completed" ]
}

# ask_all KEY ADDRESS
ask_all() {
	for n in $(seq $QUESTIONS); do
		await "question $n with $1" answered "$1" "$2"
	done
}

# region_of_question: the region in which a question of a caller in Recife ran.
region_of_question() {
	curl -s -i -H "Authorization: Bearer $GALLEY" -H "Arbutuspond-Service: galley" -d \
		'{"model":"galley","max_tokens":4,"messages":[{"role":"user","content":"where"}]}' \
		"http://$CALLERS_1/v1/chat/completions" | tr -d '\r' | sed -n 's/^Arbutuspond-Region: //p'
}

runs_in() {
	[ "$(region_of_question)" = "$1" ]
}

# has_begun N: has stream N begun? Requests it, also again after a refusal.
has_begun() {
	! grep -q '"content":' "$DIR/stream-$1" || return 0
	[ ! -e "$DIR/stream-$1.pid" ] || fleet_gone "$(cat "$DIR/stream-$1.pid")" || return 1
	curl -sN -m $CALLER_LIMIT_S -H "Authorization: Bearer $GALLEY" -H "Arbutuspond-Service: galley" -d \
		"{\"model\":\"galley\",\"stream\":true,\"max_tokens\":$STREAM_TOKENS,\"messages\":[{\"role\":\"user\",\"content\":\"row $1\"}]}" \
		"http://$CALLERS_1/v1/chat/completions" >"$DIR/stream-$1" &
	echo $! >"$DIR/stream-$1.pid"
	return 1
}

# check_cut: each stream ended with an error event, neither complete nor left open.
check_cut() {
	for n in $(seq $STREAMS); do
		wait "$(cat "$DIR/stream-$n.pid")"
		check "stream $n ended by the entry, not by the caller's limit" 0 $?
	done
	for n in $(seq $STREAMS); do
		check "end mark of cut stream $n" 0 "$(grep -c '^data: \[DONE\]' "$DIR/stream-$n")"
		check "error of cut stream $n" 1 "$(grep -c '^event: error' "$DIR/stream-$n")"
		check "outcome of cut stream $n" 1 "$(grep -c '"unknown"' "$DIR/stream-$n")"
	done
}

# refused: is a question refused as not run? Until the last announcement of capacity expires, one
# may be lost instead.
refused() {
	[ "$(question $GALLEY "$CALLERS_1" galley)" = "503 not_run not-run" ]
}

engine_idle() {
	curl -sf "http://$(fleet_address questions-fortaleza)/metrics" | grep -q '^engine_running 0$'
}

bandeja_up
await "every entry holds all others to be alive" sees_all
ask_all galley-fortaleza-key "$CALLERS_3"
check "questions run at home while its engine can" recife "$(region_of_question)"

sed 's/\("id":"questions-recife"[^}]*"state":\)"live"/\1"leaving"/' "$DIR/upstreams.json" >"$DIR/leaving.json"
cp "$DIR/upstreams.json" "$DIR/before.json"
mv "$DIR/leaving.json" "$DIR/upstreams.json"
fleet_list
await "questions are forwarded to Fortaleza" runs_in fortaleza
ask_all $GALLEY "$CALLERS_1"
check "manifests stay at home" "200 completed" "$(question planning-recife-key "$CALLERS_1" manifests)"

for n in $(seq $STREAMS); do
	: >"$DIR/stream-$n"
	await "stream $n from Fortaleza has begun" has_begun "$n"
done
fault link mode=cut
check_cut
await "Fortaleza's engine stopped the cut streams" engine_idle
await "a question that no engine can run is refused" refused

fault link mode=pass
await "questions are forwarded to Fortaleza again" runs_in fortaleza
cp "$DIR/before.json" "$DIR/upstreams.json"
fleet_list
for n in $ENTRIES; do
	check "broken invariants at entry-$n" 0 "$(grep -c 'invariant .* broken' "$DIR/entry-$n.log")"
done
exit $FAILED

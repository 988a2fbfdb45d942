# Three engines of a region have two versions of one model, and break off streams. A stream may go on
# at the engine with the version that began it, but not at the other one, and it ends whole or with an
# error event.
# Usage: stream_version_test.sh BUILD_DIRECTORY
. "$(dirname "$0")/common.sh"
GALLEY=galley-recife-key
STREAMS=20 # that break off
WHOLE=5    # questions before each, for the retry budget

# hold ENGINE VERSION: gives it a version of the model; orders of the fleet are older ones from then on.
hold() {
	curl -sf -X PUT \
		"http://$(fleet_address "$1")/admin/models/galley-small?version=$2&fence=1000000000" \
		>/dev/null
}

# knows ADMIN NAME: has the entry read or heard what the engine has? It lacks an adapter that the
# rules declare for it.
knows() {
	admin_get "$1" state | tr '{' '\n' | grep "\"id\":\"$2\"" | grep galley-small |
		grep -vq carrier-contracts
}

stream() {
	curl -sN -H "Authorization: Bearer $GALLEY" -H "Arbutuspond-Service: galley" \
		-d "{\"model\":\"galley\",\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"$RANDOM\"}]}" \
		"http://$1/v1/chat/completions"
}

# The retry budget is not what is tested. Versions are there before the first entry.
fleet_run() {
	hold planning-recife 2
	hold questions-recife 1
	sed -i 's/^retry_ratio = .*/retry_ratio = 1.0/' "$DIR/entry-$1.toml"
	fleet_start "entry-$1" "$BUILD/cmd/arbutuspond" --settings "$DIR/entry-$1.toml"
}

versions_in() {
	grep -o '"system_fingerprint":"[^"]*"' "$1" | sort -u | wc -l
}

# break_streams ENGINE...: each of the engines breaks off the next stream if it gets it. Sets whole, cut,
# joined (of two versions) and lost (without an end).
break_streams() {
	whole=0 joined=0 cut=0 lost=0 n=0
	while [ $n -lt $STREAMS ]; do
		n=$((n + 1))
		at=$(callers_of $((n % 2 + 1)))
		for _ in $(seq $WHOLE); do
			question $GALLEY "$at" galley >"$DIR/answer"
		done
		for name in "$@"; do
			fault "$name" "mode=half&count=1"
		done
		stream "$at" >"$DIR/stream"
		for name in "$@"; do
			fault "$name" mode=none
		done
		if [ "$(versions_in "$DIR/stream")" -gt 1 ]; then
			joined=$((joined + 1))
		elif grep -q '^data: \[DONE\]' "$DIR/stream"; then
			whole=$((whole + 1))
		elif grep -q '^event: error' "$DIR/stream"; then
			cut=$((cut + 1))
		else
			lost=$((lost + 1))
		fi
	done
	echo "$n streams: $whole whole, $cut cut, $joined of two versions, $lost without an end"
}

resumes() {
	echo $(($(counter "$ADMIN_1" resumes_total) + $(counter "$ADMIN_2" resumes_total)))
}

sed -e 's/^rate = .*/rate = 1000.0/; s/^burst = .*/burst = 2000.0/' \
	-e '/^\[rule.questions\]/,/^$/ s/^pools = .*/pools = { work = ["questions", "planning"] }/' \
	"$CONF" >"$DIR/conf.toml"
CONF=$DIR/conf.toml
fleet_up catering recife fortaleza reconciler,galley-small:2 galley-small \
	planning questions dispatch || exit 1
add_engine questions-b
hold questions-b 1
await "the admin listener" "$CTL" --admin "$ADMIN_1" get
"$CTL" --admin "$ADMIN_1" apply "$CONF" >/dev/null || exit 1
for n in 1 2; do
	await "entry-$n is ready" fleet_ready "$(admin_of $n)"
	for name in planning-recife questions-recife questions-b; do
		await "entry-$n knows $name" knows "$(admin_of $n)" "$name"
	done
done
break_streams questions-recife
check "streams that ended, with an engine of their version" 0 $((joined + cut + lost))
check "streams went on" 1 "$([ "$(resumes)" -gt 0 ]; echo $((! $?)))"
break_streams questions-recife questions-b planning-recife
check "streams of two versions" 0 $joined
check "streams without an end" 0 $lost
check "streams that went on, without an engine of their version" 0 $whole
exit $FAILED

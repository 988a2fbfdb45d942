# The explain command on written logs: causes of failed requests, damaged lines, unknown events.
set -u
CTL=$1/cmd/arbutuspondctl
DIR=$(mktemp -d)
trap 'rm -rf "$DIR"' EXIT
FAILED=0

# check WHAT EXPECTED-STATUS EXPECTED-TEXT ID
check() {
	found=$("$CTL" explain "$4" "$DIR/a.log" "$DIR/b.log" 2>"$DIR/err")
	status=$?
	if [ $status = "$2" ] && echo "$found" | grep -qF -- "$3"; then
		echo "ok: $1"
		return
	fi
	echo "not ok: $1: status $status, found: $found"
	FAILED=1
}

cat >"$DIR/a.log" <<'LOG'
 12.5 collector: {"wall":1000.0,"steady":5.0,"instance":"n1","event":"upstream.draining","upstream":"u1"}
{"wall":1002.5,"steady":7.5,"instance":"n1","event":"request.ended","request":"late","outcome":"done","reason":"none","status":200,"first_ms":900,"objective_ms":400,"took_ms":950,"time_ms":4000,"steps":[{"step":"sent","target":"u2","at_ms":0,"expected_ms":30,"running":2}]}
{"wall":1003.0,"steady":8.0,"instance":"n1","event":"request.ended","request":"busy","outcome":"refused","reason":"too-late","status":503,"took_ms":0,"steps":[{"step":"given-up","target":"u2","at_ms":0,"expected_ms":2100,"running":64}]}
{"wall":1004.0,"steady":9.0,"instance":"n1","event":"request.ended","request":"far","outcome":"unknown","reason":"broken","status":502,"took_ms":300,"steps":[{"step":"sent","target":"n2","at_ms":0},{"step":"failed-at","target":"n2","at_ms":300,"expected_ms":115}]}
{"wall":1005.0,"steady":10.0,"instance":"n1","event":"request.ended","request":"fine","outcome":"done","reason":"none","status":200,"first_ms":30,"objective_ms":400,"took_ms":31}
{"wall":1006.0,"instance":"n1","event":"some.later-version","request":"fine"}
{"wall":1006.0,"instance":"n1","event":"request.ended","request":"trunc
not a record at all
LOG
cat >"$DIR/b.log" <<'LOG'
{"wall":1003.9,"steady":2.0,"instance":"n2","event":"request.ended","request":"far","outcome":"cut","reason":"broken","guest":true,"status":200,"took_ms":200,"steps":[{"step":"failed-at","target":"u9","at_ms":200}]}
LOG

check "the cause of a late response names the upstream" 0 "500 ms late from u2, where 30 ms were expected" late
check "a state record from shortly before the request is shown" 0 "upstream.draining upstream=\"u1\"" late
check "a refusal under load names the upstream and its load" 0 "too busy u2 (expected 2100 ms, 64 running)" busy
check "a response cut off over two regions" 0 "cause: the response was cut off at n2" far
check "the records of both regions are printed" 0 "(from another region)" far
check "a response in time has no cause" 1 "none found" fine
check "a request without records" 4 "" nowhere
grep -q "lines without a record: 2, records of unknown events: 1" "$DIR/err" || {
	echo "not ok: unreadable lines and unknown events are counted: $(cat "$DIR/err")"
	FAILED=1
}
"$CTL" explain late <"$DIR/a.log" >/dev/null 2>&1 || {
	echo "not ok: records from standard input"
	FAILED=1
}
"$CTL" explain late "$DIR/missing" >/dev/null 2>&1
[ $? = 2 ] || {
	echo "not ok: a log that is missing"
	FAILED=1
}
exit $FAILED

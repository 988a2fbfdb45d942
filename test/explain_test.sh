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
{"wall":1010.0,"steady":15.0,"instance":"n1","event":"request.ended","request":"hushed","outcome":"left","reason":"none","status":0,"first_ms":0,"objective_ms":400,"took_ms":2500,"time_ms":2500,"runs":1,"no_other":"no-upstream","steps":[{"step":"sent","target":"u3","at_ms":0,"expected_ms":30,"running":5},{"step":"silent","target":"u3","at_ms":190},{"step":"caller-left","target":"u3","at_ms":2500}]}
{"wall":1011.0,"steady":16.0,"instance":"n1","event":"request.ended","request":"spent","outcome":"left","reason":"none","status":0,"first_ms":0,"objective_ms":400,"took_ms":2500,"time_ms":2500,"runs":1,"no_other":"budget","steps":[{"step":"sent","target":"u3","at_ms":0,"expected_ms":30,"running":5},{"step":"silent","target":"u3","at_ms":190},{"step":"caller-left","target":"u3","at_ms":2500}]}
{"wall":1012.0,"steady":17.0,"instance":"n1","event":"request.ended","request":"once","outcome":"left","reason":"none","status":0,"first_ms":0,"objective_ms":400,"took_ms":900,"time_ms":2500,"runs":1,"no_other":"none","steps":[{"step":"sent","target":"u3","at_ms":0,"expected_ms":30,"running":5},{"step":"caller-left","target":"u3","at_ms":900}]}
{"wall":1013.0,"steady":18.0,"instance":"n1","event":"request.ended","request":"both","outcome":"left","reason":"none","status":0,"first_ms":0,"objective_ms":400,"took_ms":2500,"time_ms":2500,"runs":2,"no_other":"none","steps":[{"step":"sent","target":"u3","at_ms":0},{"step":"silent","target":"u3","at_ms":190},{"step":"sent-again","target":"u4","at_ms":190,"expected_ms":40,"running":6},{"step":"caller-left","target":"u3","at_ms":2500}]}
{"wall":1014.0,"steady":19.0,"instance":"n1","event":"request.ended","request":"hasty","outcome":"left","reason":"none","status":0,"first_ms":0,"objective_ms":400,"took_ms":20,"time_ms":2500,"runs":1,"steps":[{"step":"sent","target":"u3","at_ms":0},{"step":"caller-left","target":"u3","at_ms":20}]}
{"wall":1014.5,"steady":19.5,"instance":"n1","event":"request.ended","request":"slow","outcome":"left","reason":"none","status":200,"first_ms":45,"objective_ms":400,"took_ms":9995,"time_ms":10000,"runs":1,"no_other":"none","steps":[{"step":"sent","target":"u5","at_ms":0,"expected_ms":40,"running":30},{"step":"caller-left","target":"u5","at_ms":9995}]}
{"wall":1015.0,"steady":20.0,"instance":"n1","event":"request.ended","request":"twice","outcome":"failed","reason":"none","status":500,"first_ms":60,"objective_ms":400,"took_ms":60,"time_ms":2500,"runs":2,"steps":[{"step":"sent","target":"u3","at_ms":0},{"step":"failed-at","target":"u3","at_ms":30},{"step":"sent-again","target":"u4","at_ms":30,"expected_ms":40,"running":6}]}
{"wall":1016.0,"steady":21.0,"instance":"n1","event":"request.ended","request":"again","outcome":"done","reason":"none","status":200,"first_ms":30,"objective_ms":400,"took_ms":31,"resumes":"fine","source":"told","lookup_ms":0,"stream_build":"7f2f","told_origin":"region","told_by":"n3","told_age_ms":36,"steps":[{"step":"sent","target":"u4","version":"v2","at_ms":0}]}
{"wall":1016.0,"steady":21.0,"instance":"n1","event":"stream.disagreed","request":"again","resumes":"fine","told":"7f2f","told_origin":"region","told_by":"n3","told_age_ms":36,"named":"8a01"}
{"wall":1017.0,"steady":22.0,"instance":"n1","event":"request.ended","request":"sought","outcome":"done","reason":"none","status":200,"first_ms":30,"objective_ms":400,"took_ms":31,"resumes":"fine","source":"asked","lookup_ms":12,"stream_build":"7f2f","told_origin":"remote","told_age_ms":2,"steps":[{"step":"sent","target":"u4","version":"v2","at_ms":0}]}
{"wall":1018.0,"steady":23.0,"instance":"n1","event":"request.ended","request":"alone","outcome":"done","reason":"none","status":200,"first_ms":30,"objective_ms":400,"took_ms":31,"resumes":"fine","source":"only-build","lookup_ms":40,"stream_build":"7f2f","steps":[{"step":"sent","target":"u4","version":"v2","at_ms":0}]}
{"wall":1019.0,"steady":24.0,"instance":"n1","event":"stream.unknown","request":"strange","resumes":"fine","guest":false,"builds":2,"others":3,"unheard":1,"store_age_ms":8546}
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
check "a caller who waited for a silent upstream in vain" 0 "cause: the caller left after 2500 ms of 400 without a response from u3 (expected 30 ms, 5 running); silent at 190 ms, no other target: no other upstream that the route allows was usable and not silent" hushed
check "why it was not sent again" 0 "no other target: the retry budget was spent" spent
check "a caller who waited in vain, and nothing else was tried" 0 "without a response from u3 (expected 30 ms, 5 running); no other target was tried before" once
check "two silent upstreams" 0 "without a response from u4 (expected 40 ms, 6 running), tried after u3, silent at 190 ms" both
check "a caller who left at once" 0 "cause: the caller disconnected before the end of the response" hasty
check "a stream that was too slow for its caller" 0 "cause: the caller's time was over after 9995 ms, before the end of the response from u5 (expected 40 ms, 30 running)" slow
check "two failures in a row" 0 "cause: the answer was status 500 from u4 (expected 40 ms, 6 running), after a failure at u3" twice
check "where a stream that was taken up went on, and who had told so" 1 "the stream of fine went on at u4 of version v2 (build 7f2f): this instance had been told the build; told by n3 (of the region) 36 ms before" again
check "what else was named" 1 "stream.disagreed resumes=\"fine\" told=\"7f2f\" told_by=\"n3\" told_origin=\"region\" told_age_ms=36 named=\"8a01\"" again
check "a stream that others were asked for" 1 "an instance that was asked knew the build, found in 12 ms; told by an instance (of another region) 2 ms before" sought
check "a stream of which nothing was heard" 1 "(build 7f2f): no instance knew the build, and the store showed one for its pool, found in 40 ms" alone
check "a stream of which nobody knew" 0 "cause: no instance that could be asked knew at which build the stream goes on; 1 of 3 others of the region were unheard, and the store had answered 8546 ms before" strange
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

# The builds command on written logs: which build each instance runs. Guards against an upgrade that
# is taken for ended while an instance of the build before still runs.
set -u
CTL=$1/cmd/arbutuspondctl
DIR=$(mktemp -d)
trap 'rm -rf "$DIR"' EXIT
FAILED=0

# check WHAT EXPECTED-STATUS EXPECTED-OUTPUT LOG...
check() {
	what=$1 expected_status=$2 expected=$3
	shift 3
	found=$("$CTL" builds "$@" 2>"$DIR/err")
	status=$?
	if [ $status = "$expected_status" ] && [ "$found" = "$expected" ]; then
		echo "ok: $what"
		return
	fi
	echo "not ok: $what: status $status, found: $found"
	FAILED=1
}

cat >"$DIR/a.log" <<'LOG'
 collector: {"wall":1000.0,"instance":"n1","event":"process.started","version":"0.1.0","build":"aaa"}
{"wall":1001.0,"instance":"n1","event":"store.listed","upstreams":3}
not a record
{"wall":1050.0,"instance":"n1","event":"process.stopped","drained":true}
{"wall":1060.0,"instance":"n1","event":"process.started","version":"0.1.0","build":"bbb"}
{"wall":1060.0,"instance":"n1","event":"process.sta
LOG
cat >"$DIR/b.log" <<'LOG'
{"wall":900.0,"instance":"n2","event":"process.started","version":"0.1.0","build":"bbb"}
LOG
cat >"$DIR/c.log" <<'LOG'
{"wall":800.0,"instance":"n3","event":"process.started","version":"0.1.0"}
LOG
cat >"$DIR/d.log" <<'LOG'
{"wall":950.0,"instance":"n3","event":"process.stopped","drained":true}
LOG
check "the last start counts" 0 "n1 bbb since 1060.000
n2 bbb since 900.000
build bbb: 2 instances" "$DIR/a.log" "$DIR/b.log"
check "an instance of an earlier build is shown" 1 "n1 bbb since 1060.000
n3 unnamed since 800.000
build bbb: 1 instances
build unnamed: 1 instances" "$DIR/a.log" "$DIR/c.log"
check "a stopped one doesn't count, in any order of the logs" 0 "n3 unnamed stopped 950.000
n1 bbb since 1060.000
build bbb: 1 instances" "$DIR/d.log" "$DIR/c.log" "$DIR/a.log"
check "a file that isn't there" 2 "" "$DIR/none.log"
exit $FAILED

# A caller's key is withdrawn while one instance is down and another one is paused. Guards against a
# withdrawn key that is accepted again: by the instance that comes back, from its first response on,
# whether it takes the configuration from the store or from its peers; by the one that is woken later than
# an accepted configuration has to be in force. Usage: keys_test.sh BUILD_DIRECTORY
. "$(dirname "$0")/common.sh"
OLD=galley-recife-key
NEW=galley-recife-new-key
IN_FORCE_S=17 # an accepted configuration is in force everywhere within this time

# No caller reaches its rate limit.
CONF=$DIR/bandeja-alta.toml
sed 's/^rate = .*/rate = 1000.0/; s/^burst = .*/burst = 2000.0/' "$SAMPLES/bandeja-alta.toml" >"$CONF"

# status KEY NUMBER: of a question at an entry; empty if there is no response.
status() {
	question "$1" "$(callers_of "$2")" galley | cut -d ' ' -f 1
}

is_status() {
	[ "$(status "$2" "$3")" = "$1" ]
}

# change_key: replaces the key of galley-recife.
change_key() {
	old=$(ARBUTUSPOND_KEY=$OLD "$CTL" key-hash)
	new=$(ARBUTUSPOND_KEY=$NEW "$CTL" key-hash)
	grep -q "$old" "$CONF" || exit 1
	sed "s/$old/$new/" "$CONF" >"$DIR/conf.toml"
	"$CTL" --admin "$ADMIN_2" apply --replace "$DIR/conf.toml" >/dev/null || exit 1
}

kill_entry() {
	kill -9 "$(cat "$DIR/entry-$1.pid")"
	fleet_wait_end "entry-$1" 2>/dev/null
}

# await_new NUMBER: waits until the entry accepts the new key, and asks with the old one all the time.
await_new() {
	accepted=0
	refused=0
	asked=0
	until [ "$(status $NEW "$1")" = 200 ]; do
		asked=$((asked + 1))
		[ $asked -lt 600 ] || break
		case $(status $OLD "$1") in
		200) accepted=$((accepted + 1)) ;;
		[45]*) refused=$((refused + 1)) ;;
		esac
		sleep 0.02
	done
	echo "entry-$1: asked with the old key $asked times, $refused refused"
	check "entry-$1 accepts the new key" 200 "$(status $NEW "$1")"
	check "times that entry-$1 accepted the withdrawn key" 0 $accepted
	check "the withdrawn key at entry-$1" 401 "$(status $OLD "$1")"
}

bandeja_up
for n in 1 2 3; do
	await "the key at entry-$n" is_status 200 $OLD $n
done

kill_entry 1
kill -STOP "$(cat "$DIR/entry-3.pid")"
change_key
await "the new key at entry-2" is_status 200 $NEW 2
check "the withdrawn key at entry-2" 401 "$(status $OLD 2)"

fault platform away=1
fleet_run 1
await_new 1 # from its peer
fault platform away=0
kill_entry 1
fleet_run 1
await_new 1 # from the store, or its peer

# The one that comes back finds a peer that knows the old configuration alone.
fault platform away=1
kill_entry 1
kill -CONT "$(cat "$DIR/entry-3.pid")"
woken=$(date +%s)
fleet_run 1
fault platform away=0
until [ "$(status $OLD 3)" = 401 ] && [ "$(status $OLD 1)" = 401 ]; do
	[ $(($(date +%s) - woken)) -le $IN_FORCE_S ] || break
	sleep 0.1
done
echo "the withdrawn key is refused everywhere $(($(date +%s) - woken)) s after the pause"
for n in 1 2 3; do
	check "the withdrawn key at entry-$n" 401 "$(status $OLD $n)"
	check "the new key at entry-$n" 200 "$(status $NEW $n)"
	check "entry-$n never reverted" 0 "$(counter "$(admin_of $n)" config_reverted_total)"
done
exit $FAILED

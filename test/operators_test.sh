# Two operators change the configuration at different instances at the same time, also while the
# responses of the store are lost. Meanwhile the instance that holds the lease for orders is stopped
# until the lease has expired, and then continues: its orders must not be carried out.
# Usage: operators_test.sh BUILD_DIRECTORY
. "$(dirname "$0")/common.sh"

holds() {
	counter_is "$1" orders_holder 1
}

# apply NAME ADMIN ARGUMENTS...: applies $DIR/NAME.toml; writes the exit status to $DIR/NAME.rc and
# the output to $DIR/NAME.output.
apply() {
	name=$1
	shift
	rc=0
	"$CTL" --admin "$1" apply "${@:2}" "$DIR/$name.toml" >"$DIR/$name.output" 2>&1 || rc=$?
	echo $rc >"$DIR/$name.rc"
}

# edit NAME FROM TO: writes the sample configuration with one text replaced to $DIR/NAME.toml.
edit() {
	sed "s/$2/$3/" "$CONF" >"$DIR/$1.toml"
	cmp -s "$CONF" "$DIR/$1.toml" && check "edit of $1" changed same
}

# both BASE: applies $DIR/one.toml and $DIR/two.toml at the same time at the two running instances.
both() {
	apply one "$OTHER_ADMIN" --base "$1" &
	first=$!
	apply two "$ADMIN_3" --base "$1" &
	wait $first $!
}

statuses() {
	echo "$(cat "$DIR/one.rc") $(cat "$DIR/two.rc")"
}

# active TEXT: true if the active document of both running instances contains TEXT.
active() {
	for admin in "$OTHER_ADMIN" "$ADMIN_3"; do
		"$CTL" --admin "$admin" --json get | grep -q "$1" || return 1
	done
}

# settled GENERATION: true if it is the active generation at both running instances.
settled() {
	counter_is "$OTHER_ADMIN" config_generation "$1" && counter_is "$ADMIN_3" config_generation "$1"
}

has_version() {
	curl -sf "http://$(fleet_address questions-recife)/admin/models" |
		grep -q "\"name\":\"galley-small\",\"version\":\"$1\""
}

fenced_by() {
	[ "$(engine_count questions-recife fence)" -ge "$1" ]
}

bandeja_up
while ! holds "$ADMIN_1" && ! holds "$ADMIN_2"; do
	sleep 0.1
done
HOLDER=1 OTHER=2
! holds "$ADMIN_2" || HOLDER=2 OTHER=1
HOLDER_ADMIN=$(admin_of $HOLDER)
OTHER_ADMIN=$(admin_of $OTHER)
old_fence=$("$CTL" --admin "$HOLDER_ADMIN" --json status | sed 's/.*"fence":\([0-9]*\).*/\1/')
kill -STOP "$(cat "$DIR/entry-$HOLDER.pid")"

edit one 'slots = 32' 'slots = 33'
edit two 'deadline_ms = 4000' 'deadline_ms = 4100'
both 1
check "two disjoint changes at the same time" "0 0" "$(statuses)"
await "both are active" settled 3
check "the first one" 0 "$(active '"slots":33'; echo $?)"
check "the second one" 0 "$(active '"deadline_ms":4100'; echo $?)"

edit one 'slots = 16' 'slots = 17'
edit two 'slots = 16' 'slots = 18'
both 3
check "two changes of one field at the same time" "0 3" "$(statuses | tr ' ' '\n' | sort | xargs)"
loser=two winner=17
[ "$(cat "$DIR/one.rc")" = 0 ] || loser=one winner=18
check "the conflict's field" 0 "$(grep -q '^  pool/questions/slots$' "$DIR/$loser.output"; echo $?)"
await "the winner's change is active" settled 4
check "its value" 0 "$(active "\"slots\":$winner"; echo $?)"

# The store carries out each write, but its response is lost.
fault platform lose=1
edit one 'first_byte_ms = 1500' 'first_byte_ms = 1600'
edit two 'price_call = 20.0' 'price_call = 21.0'
both 4
check "two changes with lost responses" "0 0" "$(statuses)"
fault platform lose=0
await "both are active, each once" settled 6
check "the first one" 0 "$(active '"first_byte_ms":1600'; echo $?)"
check "the second one" 0 "$(active '"price_call":21'; echo $?)"

# The next holder loads another version. The resumed instance knows only the old configuration.
await "another holder after the lease expired" holds "$OTHER_ADMIN"
sed '/^\[model.galley-small\]/,/^version/s/^version = "1"/version = "2"/' "$CONF" >"$DIR/one.toml"
apply one "$OTHER_ADMIN" --base 1
check "a new version is declared" 0 "$(cat "$DIR/one.rc")"
await "it is loaded" has_version 2
new_fence=$(engine_count questions-recife fence)
check "with a higher fencing token" 0 "$(test "$new_fence" -gt "$old_fence"; echo $?)"
kill -CONT "$(cat "$DIR/entry-$HOLDER.pid")"
await "the resumed instance activates the last generation" counter_is "$HOLDER_ADMIN" config_generation 7
await "the resumed instance holds no lease" counter_is "$HOLDER_ADMIN" orders_holder 0
check "the version stays" 0 "$(has_version 2; echo $?)"
for region in recife fortaleza; do
	for engine in planning questions; do
		check "orders with an old fencing token to $engine-$region" 0 \
			"$(engine_count "$engine-$region" old_orders)"
	done
done
for n in $ENTRIES; do
	check "entry-$n never reverted to an older generation" 0 \
		"$(counter "$(admin_of "$n")" config_reverted_total)"
done
exit $FAILED

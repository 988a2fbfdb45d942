# Four entries in two regions; every connection between the regions goes through a stand-in that can
# cut it. Sourced after common.sh. Needs Fortaleza to be the region of entries 3 and 4.
# shellcheck shell=bash disable=SC2034
ENTRIES="1 2 3 4"

# port NUMBER NAME: a port from an entry's settings.
port() {
	sed -n "s/^$2 = \"\{0,1\}\([0-9.]*:\)\{0,1\}\([0-9]*\).*/\2/p" "$DIR/entry-$1.toml"
}

# Starts the link for connections between the regions, and from Fortaleza to the platform.
start_link() {
	targets="--to $(fleet_address platform)"
	for n in $ENTRIES; do
		targets="$targets --to 127.0.0.1:$(port "$n" data) --to 127.0.0.1:$(port "$n" control)"
	done
	# shellcheck disable=SC2086
	fleet_standin link "$BUILD/test/standin-link" $targets
	awk '/^link/ { print $3, $2 }' "$DIR/link.out" >"$DIR/all"
	sed -n '6,9p' "$DIR/all" >"$DIR/from-recife"
	sed -n '1,5p' "$DIR/all" >"$DIR/from-fortaleza"
}

fleet_run() {
	[ -e "$DIR/link.pid" ] || start_link
	from=recife
	[ "$1" -lt 3 ] || from=fortaleza
	fleet_start "entry-$1" env LD_PRELOAD="$BUILD/test/libstandin-detour.so" \
		ASAN_OPTIONS=verify_asan_link_order=0 STANDIN_DETOURS="$DIR/from-$from" \
		"$BUILD/cmd/arbutuspond" --settings "$DIR/entry-$1.toml"
}

# sees_all: does every entry hold all others to be alive?
sees_all() {
	for n in $ENTRIES; do
		for other in $ENTRIES; do
			[ "$n" = "$other" ] || member_is "$(admin_of "$n")" "entry-$other" alive || return 1
		done
	done
}

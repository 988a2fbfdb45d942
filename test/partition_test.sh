# Two regions of two entries each are partitioned, and one of them from the platform too; later the
# partition heals. Each region must serve its own callers, no request may cross between regions,
# and no configuration may revert.
# Usage: partition_test.sh BUILD_DIRECTORY
. "$(dirname "$0")/common.sh"
. "$(dirname "$0")/regions.sh"
RECIFE=dispatch-recife-key
FORTALEZA=dispatch-fortaleza-key

# change ADMIN SLOTS: prints the new generation.
change() {
	sed "s/^\( *\)slots = [0-9]*/\1slots = $2/" "$SAMPLES/bandeja-alta.toml" >"$DIR/conf.toml"
	"$CTL" --admin "$1" apply --replace "$DIR/conf.toml" | sed -n 's/^generation //p'
}

all_generations() {
	for n in $ENTRIES; do
		counter_is "$(admin_of "$n")" config_generation "$1" || return 1
	done
}

# serves WHEN: each region serves its own callers and refuses home-bound requests of the other.
serves() {
	for n in $ENTRIES; do
		home=recife remote=fortaleza
		[ "$n" -lt 3 ] || home=fortaleza remote=recife
		at=$(callers_of "$n")
		check "$1: galley question at entry-$n" "200 completed" \
			"$(question "galley-$home-key" "$at" galley)"
		check "$1: manifest at entry-$n" "200 completed" \
			"$(question "planning-$home-key" "$at" manifests)"
		check "$1: the remote region's manifest at entry-$n" "421 wrong_region not-run" \
			"$(question "planning-$remote-key" "$at" manifests)"
		check "$1: confirmation at entry-$n" "200 completed" \
			"$(confirm "dispatch-$home-key" "$at" "$1-$n")"
		check "$1: the remote region's confirmation at entry-$n" "421 wrong_region not-run" \
			"$(call "dispatch-$remote-key" "$at" /s/confirm-load/confirm "$1-$n-remote")"
	done
}

bandeja_up
await "every entry holds all others to be alive" sees_all
check "the link is in use" 1 "$(curl -s "http://$(fleet_address link)/" | grep -c '"accepted":[1-9]')"
serves before

fault link mode=cut
await "entry-3 has no connection to the platform" counter_is "$ADMIN_3" store_answers 0
await "entry-4 has no connection to the platform" counter_is "$ADMIN_4" store_answers 0
check "a change is accepted in Recife" 2 "$(change "$ADMIN_2" 17)"
await "the change is active at entry-1" counter_is "$ADMIN_1" config_generation 2
serves cut
check "entry-3 keeps its generation" 1 "$(counter "$ADMIN_3" config_generation)"
check "a change at entry-4 is refused" "" "$(change "$ADMIN_4" 18 2>/dev/null)"
check "the remote region isn't declared dead" "0 0" \
	"$(counter "$ADMIN_1" members_dead) $(counter "$ADMIN_3" members_dead)"
check "entry-4 is ready without the platform" 0 "$(fleet_ready "$ADMIN_4" >/dev/null; echo $?)"

fault link mode=pass
await "generation 2 is active at every entry" all_generations 2
await "every entry holds all others to be alive again" sees_all
serves healed
check "the next change, accepted in Fortaleza" 3 "$(change "$ADMIN_4" 19)"
await "generation 3 is active at every entry" all_generations 3

for n in $ENTRIES; do
	for name in config_reverted_total config_forked_total sent_away_total guests_total \
		peer_refused_keys_total; do
		check "entry-$n: $name" 0 "$(counter "$(admin_of "$n")" $name)"
	done
done
for region in recife fortaleza; do
	check "confirmations that ran in $region" 6 "$(plain_count "desk-$region")"
	check "most runs of one confirmation in $region" 1 "$(plain_most "desk-$region")"
done
exit $FAILED

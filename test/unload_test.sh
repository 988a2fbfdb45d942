# A model is unloaded from one of three replicas under constant questions. None of them may reach
# the engine without the model: the unload is announced to the region first.
# Usage: unload_test.sh BUILD_DIRECTORY
. "$(dirname "$0")/common.sh"
GALLEY=galley-recife-key
QUESTIONS_AFTER=40 # further questions at each entry after the unload
REPLICAS="questions-recife questions-b questions-c"

# knows ADMIN NAME: does the entry send work for the model to the replica?
knows() {
	admin_get "$1" state | tr '{' '\n' | grep "\"id\":\"$2\"" | grep -q 'galley-small'
}

has_model() {
	curl -sf "http://$(fleet_address "$1")/admin/models" | grep -q '"galley-small"'
}

without_model() {
	for name in $REPLICAS; do
		has_model "$name" || echo "$name"
	done
}

one_is_unloaded() {
	[ "$(without_model | wc -l)" = 1 ]
}

takes_work() {
	[ "$(engine_count "$1" asked)" -gt 0 ]
}

# ask_on ADDRESS FILE: sends questions one after another as long as $DIR/asking exists.
ask_on() {
	while [ -e "$DIR/asking" ]; do
		question $GALLEY "$1" galley
	done >"$2"
}

# more_asked FILE: have QUESTIONS_AFTER more questions been answered since FILE.before was written?
more_asked() {
	[ "$(wc -l <"$1")" -ge $(($(cat "$1.before") + QUESTIONS_AFTER)) ]
}

CONF=$DIR/conf.toml
sed 's/^rate = .*/rate = 1000.0/; s/^burst = .*/burst = 2000.0/; s/^replicas = .*/replicas = 3/' \
	"$SAMPLES/bandeja-alta.toml" >"$CONF"
bandeja_up
add_engine questions-b
add_engine questions-c
for n in 1 2; do
	for name in $REPLICAS; do
		await "entry-$n knows $name" knows "$(admin_of $n)" "$name"
	done
done

asking=
touch "$DIR/asking"
for n in 1 2; do
	ask_on "$(callers_of $n)" "$DIR/answers-$n" &
	asking="$asking $!"
done
for name in $REPLICAS; do
	await "$name takes work" takes_work "$name"
done
sed 's/^replicas = .*/replicas = 2/' "$CONF" >"$DIR/fewer.toml"
check "a configuration with fewer replicas is accepted" 0 \
	"$("$CTL" --admin "$ADMIN_1" apply --base 1 "$DIR/fewer.toml" >/dev/null; echo $?)"
await "one replica is unloaded" one_is_unloaded
gone=$(without_model)
for n in 1 2; do
	wc -l <"$DIR/answers-$n" >"$DIR/answers-$n.before"
done
for n in 1 2; do
	await "more questions at entry-$n" more_asked "$DIR/answers-$n"
	check "entry-$n sends no work to $gone" 1 "$(knows "$(admin_of $n)" "$gone"; echo $?)"
done
rm "$DIR/asking"
# shellcheck disable=SC2086
wait $asking
for n in $ENTRIES; do
	check "requests of entry-$n to an engine without the model" 0 \
		"$(counter "$(admin_of "$n")" missing_models_total)"
done
for n in 1 2; do
	check "questions at entry-$n not completed" 0 \
		"$(grep -vc '^200 completed$' "$DIR/answers-$n")"
done
echo "$(cat "$DIR"/answers-? | wc -l) questions"
exit $FAILED

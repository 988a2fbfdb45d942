# The documentation names only files, tests and tool options that exist, and names every kind of
# event and every metric.
# Usage: pages_test.sh BUILD_DIRECTORY
set -u
cd "$(dirname "$0")/.." || exit 1
FAILED=0
lack() {
	echo "$1"
	FAILED=1
}
for page in README.md $(find docs -name '*.md'); do
	for link in $(grep -o '](\([^)#]*\)' "$page" | sed 's/^](//' | grep -v '^http'); do
		[ -e "$(dirname "$page")/$link" ] || lack "$page: no such file: $link"
	done
	for name in $(grep -oh '`[a-z_]*_test`' "$page" | tr -d '`' | sort -u); do
		[ -e "test/$name.c" ] || [ -e "test/$name.sh" ] || lack "$page: no such test: $name"
	done
	for name in $(grep -oh '`test_[a-z_]*`' "$page" | tr -d '`' | sort -u); do
		grep -q "unit_test($name)" test/*.c || lack "$page: no such test case: $name"
	done
done
for kind in $(grep -rhoE '"[a-z]+\.[a-z-]+"' cmd/arbutuspond lib --include='*.c' | tr -d '"' |
	grep -v '\.h$' | sort -u); do
	grep -q "\`$kind\`" docs/operators/time-line.md docs/OPERATIONS.md ||
		lack "not on a page of events: $kind"
done
for name in $(grep -oE 'put(_histogram)?\(out, "[a-z_]+"' cmd/arbutuspond/gateway-serve.c | grep -o '[a-z_]*"$' | tr -d '"' | sort -u); do
	grep -q "arbutuspond_$name" docs/OPERATIONS.md || lack "not on the page of metrics: $name"
done
# Each field of an announcement has its row, with what a build that lacks it means.
fields() {
	rows=$(sed -n "/^## Announcements to $1/,/^## W/p" docs/design/builds.md |
		sed '/^## Announcements to [^'"${1%% *}"']/,$d' | grep -c '^| [0-9]')
	packed=$(grep -A1 "AP_WIRE_$2," lib/fleet/announce.c | grep -o '[0-9]*);' | grep -o '[0-9]*')
	[ "$rows" = "$packed" ] ||
		lack "docs/design/builds.md: $rows fields to $1, lib/fleet/announce.c packs $packed"
}
fields "the own region" FLEET
fields "remote regions" WAITS
while read -r commit; do
	[ -e "test/data/builds/$commit.txt" ] || lack "no recorded messages of $commit"
done <test/builds/landings
grep -q "^production = \"$(head -n 1 test/builds/landings)" deploy/system.toml ||
	lack "deploy/system.toml: production isn't the first commit of test/builds/landings"
"$1/cmd/arbutuspondctl" --help >/tmp/help.$$
for page in docs/man/arbutuspondctl.1 $(find docs/operators -name '*.md'); do
	for option in $(sed 's/\\-/-/g' "$page" | grep -o 'arbutuspondctl.*' | grep -o -- '--[a-z-]*[a-z]'); do
		grep -q -- "$option" /tmp/help.$$ || lack "$page: no such option: $option"
	done
done
rm -f /tmp/help.$$
exit $FAILED

# Settings from the deployment template are accepted; wrong ones are rejected, naming the key.
set -u
cd "$(dirname "$0")/.." || exit 1
DAEMON=$1/cmd/arbutuspond
DIR=$(mktemp -d)
trap 'rm -rf "$DIR"' EXIT
FAILED=0

# Fills in the template as the platform does: a section is repeated for each of its entries.
sed -e 's/{{node}}/front-1/; s/{{region}}/north/; s/{{zone}}/north-1/; s/{{ip}}/127.0.0.1/' \
	-e 's/{{#listen.control}}//; s/{{listen.[a-z]*}}/127.0.0.1:8001/; /{{\/listen.control}}/d' \
	-e 's/{{#seeds}}"{{.}}"{{,}}{{\/seeds}}/"127.0.0.1:1", "127.0.0.1:2"/' \
	-e 's/{{portRange.0}}/7660/; s/{{infra.addr}}/127.0.0.1:8142/; s/{{limits.cpuShare}}/0.25/' \
	-e 's/{{[#/][a-z]*\.[A-Za-z]*}}//; s/{{limits.memoryLimitMb}}/160/' \
	-e 's/{{bounds.[A-Za-z]*}}/3/' \
	-e '/{{#zones}}/d; /{{\/zones}}/d; s/"{{@}}" = "{{.}}"/"north-1" = "north"/' \
	deploy/settings.toml >"$DIR/good.toml"
grep -n '{{' "$DIR/good.toml" && FAILED=1
"$DAEMON" --settings "$DIR/good.toml" --check-settings || FAILED=1

# refused WHAT SED-SCRIPT TEXT
refused() {
	sed "$2" "$DIR/good.toml" >"$DIR/bad.toml"
	if "$DAEMON" --settings "$DIR/bad.toml" --check-settings >"$DIR/out" 2>&1; then
		echo "not ok: $1: accepted, expected to be rejected"
		FAILED=1
	elif ! grep -q "$3" "$DIR/out"; then
		echo "not ok: $1: expected $3, found $(cat "$DIR/out")"
		FAILED=1
	else
		echo "ok: $1"
	fi
}
refused "a missing key" '/^store/d' 'gateway.store: is missing'
refused "an address without a port" 's/^store = .*/store = "127.0.0.1"/' 'gateway.store'
refused "a duration of zero" 's/^drain_ms = .*/drain_ms = 0/' 'gateway.drain_ms'
refused "an unknown key" 's/^cores/coers/' 'gateway.coers: unknown key'
refused "a seed that is not an address" 's/^seeds = .*/seeds = ["x"]/' 'gateway.seeds'
refused "a port out of range" 's/^peer_port = .*/peer_port = 70000/' 'gateway.peer_port'
refused "too little memory" 's/^memory_mb = .*/memory_mb = 63/' 'instance.memory_mb'
exit $FAILED

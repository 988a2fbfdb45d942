# Installs into an empty directory, then builds and runs the example against the installed files.
# Usage: embed_test.sh BUILD_DIRECTORY
set -eu
build=$1
source=$(cd "$(dirname "$0")/.." && pwd)
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
cmake --install "$build" --prefix "$dir/root" >/dev/null
for file in bin/arbutuspond bin/arbutuspondctl include/arbutuspond/conf/conf.h \
	share/man/man1/arbutuspond.1 share/man/man1/arbutuspondctl.1; do
	[ -s "$dir/root/$file" ] || {
		echo "not installed: $file"
		exit 1
	}
done
PKG_CONFIG_PATH=$(dirname "$(find "$dir/root" -name arbutuspond.pc)")
export PKG_CONFIG_PATH
cp "$source/examples/embed/embed.c" "$source/examples/embed/Makefile" "$dir"
flags=
if grep -q '^AP_SANITIZE:BOOL=ON' "$build/CMakeCache.txt"; then
	flags=-fsanitize=address,undefined
fi
CFLAGS="$flags" LDFLAGS="$flags" make -s -C "$dir" embed
"$dir/embed"

# Upstreams that respond without end, against real instances. The address sanitizer would keep freed
# memory, which the test would count.
export ASAN_OPTIONS=${ASAN_OPTIONS:+$ASAN_OPTIONS:}quarantine_size_mb=1
exec "$1/test/endless" "$1/cmd/arbutuspond"

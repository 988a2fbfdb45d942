# Upstreams that respond without end, against real instances.
exec "$1/test/endless" "$1/cmd/arbutuspond"

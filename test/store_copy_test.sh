# The store goes back to an older copy of itself, with real instances.
exec "$1/test/copy" "$1/cmd/arbutuspond"

# Second attempts at real instances whose upstreams are slow by turns.
exec "$1/test/second" "$1/cmd/arbutuspond"

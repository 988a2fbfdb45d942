# Callers that leave in each way, odd items of the store and a planned stop, against real instances.
exec "$1/test/callers" "$1/cmd/arbutuspond"

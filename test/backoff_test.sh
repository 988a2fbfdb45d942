# Upstreams that ask for a pause with Retry-After, against real instances.
exec "$1/test/backoff" "$1/cmd/arbutuspond"

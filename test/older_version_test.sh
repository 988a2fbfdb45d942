# Instances with different versions of the configuration forward requests to each other.
exec "$1/test/older" "$1/cmd/arbutuspond"

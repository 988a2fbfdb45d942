# Customers' keys, the headers that name customers, and what is written of both, at real instances.
exec "$1/test/customers" "$1/cmd/arbutuspond"

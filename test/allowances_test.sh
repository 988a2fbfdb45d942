# A customer over its allowance at real instances of two regions.
exec "$1/test/allowances" "$1/cmd/arbutuspond"

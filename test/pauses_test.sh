# Processes of upstreams are stopped for a second and killed, instances are restarted, and the
# configuration changes: streams stay whole, nothing runs twice, repeats keep to their budget.
exec "$1/test/pauses" --program "$1/cmd/arbutuspond" --seed 1 --seconds 12 --kills --restarts \
	--rules order,mixed,held,twice,refused,unasked,budget,ended

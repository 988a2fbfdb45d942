# Guards against streams that go on at another upstream while the slow one before works on them for
# over 400 ms more. All upstreams are in one region, so half of the requests are forwarded.
exec "$1/test/pauses" --program "$1/cmd/arbutuspond" --seed 7 --seconds 12 --cycle 2500 --slow \
	--lone-region --rules order,mixed,lost,held,twice,refused,unasked,budget,ended

# Guards against repeats that stopped upstreams read late, with more time than the caller has.
exec "$1/test/pauses" --program "$1/cmd/arbutuspond" --seed 3 --seconds 14 --rate 60 \
	--cycle 3000 --rules deadline

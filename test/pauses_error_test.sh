# Guards against an error of another upstream in the middle of a stream that goes on there.
exec "$1/test/pauses" --program "$1/cmd/arbutuspond" --seed 4 --seconds 10 --rate 60 \
	--cycle 2500 --errors 1 --rules order

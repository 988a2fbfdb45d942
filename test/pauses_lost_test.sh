# Guards against callers that are cut off with time left while their sound upstream is stopped.
exec "$1/test/pauses" --program "$1/cmd/arbutuspond" --seed 2 --seconds 12 --rate 100 \
	--cycle 2600 --rules lost

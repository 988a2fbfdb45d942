# Guards against streams without framing that look complete when their upstream is killed.
exec "$1/test/pauses" --program "$1/cmd/arbutuspond" --seed 5 --seconds 10 --cycle 1500 \
	--close-framing --kills --rules order

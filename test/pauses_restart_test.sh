# Guards against streams without framing that look complete when their upstream is
# killed and started again at once.
exec "$1/test/pauses" --program "$1/cmd/arbutuspond" --seed 5 --seconds 10 --cycle 600 --rate 90 \
	--close-framing --kills=restart --rules order,mixed

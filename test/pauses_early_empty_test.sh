# Guards against streams that look complete when their upstream ends them in order before their
# first event.
exec "$1/test/pauses" --program "$1/cmd/arbutuspond" --seed 7 --seconds 8 --rate 90 \
	--early-ends empty --kills=restart --cycle 1500 --rules order,mixed

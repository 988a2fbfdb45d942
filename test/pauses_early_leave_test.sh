# Guards against streams that look complete when their upstream, removed at short notice, ends them
# in order as its time is over.
exec "$1/test/pauses" --program "$1/cmd/arbutuspond" --seed 7 --seconds 10 --cycle 600 --rate 90 \
	--early-ends leaving --kills=notice --rules order,mixed

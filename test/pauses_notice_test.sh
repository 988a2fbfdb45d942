# Guards against streams without framing that look complete when their upstream is
# removed at short notice.
exec "$1/test/pauses" --program "$1/cmd/arbutuspond" --seed 5 --seconds 10 --cycle 600 --rate 90 \
	--close-framing --kills=notice --rules order,mixed

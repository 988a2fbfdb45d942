# Guards against streams and bodies that look complete when their upstream ends them in order at the
# deadline that it was told.
exec "$1/test/pauses" --program "$1/cmd/arbutuspond" --seed 7 --seconds 8 --rate 90 \
	--early-ends deadline --impatient --route-time 700 --rules order,mixed

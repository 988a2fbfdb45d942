# Guards against an earlier refusal that an upstream writes once more on a kept connection, and that is
# taken for the response to a request which runs there.
exec "$1/test/pauses" --program "$1/cmd/arbutuspond" --seed 6 --seconds 10 --rate 60 \
	--cycle 5000 --copies 0.2 --rules order,twice,refused

# Upstreams serve two versions of the weights, and are stopped for a second and killed; all of them are
# in one region, so half of the requests are forwarded: the events of a stream are of the version that
# its head, or an event before, names.
exec "$1/test/pauses" --program "$1/cmd/arbutuspond" --seed 5 --seconds 12 --kills=restart \
	--lone-region --cycle 1500 --weights two --rules order

# Each upstream changes its version of the weights every five seconds, also in a stream, beside pauses,
# kills and restarts of instances: what goes on is of the version of the last event that the caller has.
exec "$1/test/pauses" --program "$1/cmd/arbutuspond" --seed 6 --seconds 12 --kills --restarts \
	--cycle 1500 --weights change --rules order

# As skewed_series_test, in three regions with data centres of their own and with herds of faults, after a calm in
# which instances may conclude that a pool has had one build: streams that went on at another build at that size.
exec "$1/test/skewed_series" "$1/cmd/arbutuspond" --seed 2 --seconds 12 --calm 35 --late --instances 24 --regions 3 \
	--data-centres 2 --homes 2 --rate 2 --herds

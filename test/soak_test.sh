# The soak with fixed seeds, short: real instances under faults, no promise broken.
set -u
for seed in 1 2; do
	"$1/test/soak" --program "$1/cmd/arbutuspond" --seed $seed --seconds 6 --gates 4 || exit 1
done

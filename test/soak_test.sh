# Runs the soak briefly with fixed seeds: real instances under faults must break no guarantee.
set -u
for seed in 1 2; do
	"$1/test/soak" --program "$1/cmd/arbutuspond" --seed $seed --seconds 6 --gates 4 || exit 1
done

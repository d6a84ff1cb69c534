#!/usr/bin/env bash
# Plays days of a deployment with the same seeds on two checkouts and prints the
# worth of each play, the difference, and the mean difference of each day.
#
# usage: BENCH=path/to/fleetbench compare-days.sh BEFORE AFTER SITE "DAY..." "SEED..."
# JOBS plays run at a time, 6 unless set.
set -euo pipefail
readonly before=$1 after=$2 site=$(realpath "$3") days=$4 seeds=$5
bench=$(realpath "${BENCH:?path of the bench}")
out=$(mktemp -d)
export bench site out

play() { # CHECKOUT NAME DAY SEED
  cd "$1"
  "$bench" run "$site" "$3" --seed "$4" --no-cpu --report "$out/$2.$3.$4.json" \
    --why "compare-days: $2" >"$out/$2.$3.$4.txt" 2>&1 || echo "failed: $2 $3 seed $4, see $out/$2.$3.$4.txt" >&2
}
export -f play

for checkout in "$before" "$after"; do
  (cd "$checkout" && "$bench" build >/dev/null)
done
for seed in $seeds; do
  for day in $days; do
    printf '%s before %s %s\n%s after %s %s\n' "$before" "$day" "$seed" "$after" "$day" "$seed"
  done
done | xargs -P "${JOBS:-6}" -L1 bash -c 'play "$@"' play

worth() { jq -r .G "$out/$1.json" 2>/dev/null || echo nan; }
printf '%-14s %6s %8s %8s %8s\n' day seed before after change
for day in $days; do
  for seed in $seeds; do
    printf '%s %s %s %s\n' "$day" "$seed" "$(worth "before.$day.$seed")" "$(worth "after.$day.$seed")"
  done
done | awk '
  { printf "%-14s %6s %8.3f %8.3f %+8.3f\n", $1, $2, $3, $4, $4 - $3; sum[$1] += $4 - $3; n[$1]++ }
  END { for (d in sum) printf "%-14s   mean %26.3f\n", d, sum[d] / n[d] }'

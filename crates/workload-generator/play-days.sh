#!/usr/bin/env bash
# Plays generated days of one site with the bench, and prints those that broke a rule or were not played to their end.
# Each day leaves its entry in journal/. Run it at the root of the repository. Ends with 1 where a day failed.
set -euo pipefail
if [ $# -lt 6 ]; then
  echo "usage: $0 BENCH SITE SEED FIRST LAST FOLDER [SIDE_BY_SIDE [JOBS]]" >&2
  echo "plays days FIRST to LAST of the catalogue of SEED; day files and reports go to FOLDER" >&2
  exit 2
fi
bench=$1 site=$2 seed=$3 first=$4 last=$5 folder=$6 side_by_side=${7:-4} jobs=${8:-1}
mkdir -p "$folder"
cargo build -q -p workload-generator
generator=${CARGO_TARGET_DIR:-target}/debug/day-generator
site_name=$(basename "$site" .toml)

# The bench ends with 0 also where a rule was broken, and says so in the row of the day.
verdict() {
  local output=$1 status=$2
  if grep -q 'BROKEN' "$output"; then
    grep -o 'BROKEN: .*' "$output" | head -1
  elif [ "$status" -ne 0 ] || ! grep -q '^worth ' "$output"; then
    echo "NOT PLAYED TO ITS END, exit $status"
  else
    echo "ok"
  fi
}

play() {
  local number=$1 day=$folder/$site_name-$seed-$1
  "$generator" "$site" --seed "$seed" --day "$number" >"$day.toml"
  local name
  name=$(sed -n 's/^name = "\(.*\)"$/\1/p' "$day.toml" | head -1)
  local status=0
  "$bench" run "$site" "$day.toml" --jobs "$jobs" --why "generated day $site_name seed $seed day $number: $name" \
    >"$day.out" 2>&1 || status=$?
  echo "$number $name: $(verdict "$day.out" "$status")" >>"$folder/$site_name-$seed.played"
}

for number in $(seq "$first" "$last"); do
  while [ "$(jobs -rp | wc -l)" -ge "$side_by_side" ]; do wait -n; done
  play "$number" &
done
wait
echo "played $((last - first + 1)) days of $site_name, seed $seed"
if grep -v ': ok$' "$folder/$site_name-$seed.played"; then
  exit 1
fi
echo "no day failed"

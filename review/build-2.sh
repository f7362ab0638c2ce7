#!/usr/bin/env bash
# Builds what the scripts of review 2 start beside the router: the stand-ins, in one program for each case.
# The build of the deploy file comes first. Needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
out=build-review-2
mkdir -p "$out"
flags=(-std=c++20 -O1 -Wall -Wextra -DASIO_STANDALONE -DASIO_NO_DEPRECATED)
c++ "${flags[@]}" -c review/common-2/world.cpp -o "$out/world.o"
jobs=()
# Not named case.cpp: review/build.sh builds all that is named so with the stand-ins of the earlier review.
for number in 6 7 8 9 10; do
  c++ "${flags[@]}" "review/$number/play.cpp" "$out/world.o" -pthread -o "$out/case-$number" &
  jobs+=($!)
done
for job in "${jobs[@]}"; do wait "$job"; done

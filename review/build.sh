#!/usr/bin/env bash
# Builds the programs of the cases, with all their stand-ins, into review/build. Needs g++ and nothing else.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build
flags=(-std=c++20 -O1 -Wall -Wextra -pthread)
g++ "${flags[@]}" -c common/harness.cpp -o build/harness.o
for source in [0-9]/case.cpp; do
  number=${source%%/*}
  g++ "${flags[@]}" "$source" build/harness.o -o "build/case-$number"
done

#!/usr/bin/env bash
# Runs case 10; see claim.txt. Build first: the build of deploy/balancer.toml, then review/build-2.sh.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: no disruption.
set -uo pipefail
cd "$(dirname "$0")/../.." || exit 2
case=build-review-2/case-10
if [ ! -x "$case" ] || [ ! -x build/tulipyoke ]; then
  echo "not built: run the build of deploy/balancer.toml and review/build-2.sh"
  exit 2
fi
TMPDIR=$(mktemp -d) || exit 2
export TMPDIR
trap 'rm -rf "$TMPDIR"' EXIT
# The program ends itself after 115 s and with this script, and its routers end with it.
"$case" "$PWD" review/10/record.txt &
child=$!
trap 'kill "$child" 2>/dev/null; wait "$child"; exit 2' TERM INT HUP
wait "$child"
status=$?
[ "$status" -le 1 ] && exit "$status"
exit 2

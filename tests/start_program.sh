#!/usr/bin/env bash
# Starts the program as the deploy file does, with its own configuration, and shuts it down gracefully.
set -euo pipefail
program=$1
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT

fail() {
  echo "start_program: $1"
  cat "$folder/log"
  exit 1
}

# Without a configuration, the program logs one line about it and exits with a non-zero status.
if env -u LB_CONFIG "$program" 2>"$folder/log"; then fail "the program starts without a configuration"; fi
[ "$(wc -l <"$folder/log")" -eq 1 ] || fail "expected exactly one log line about the missing configuration"

cat >"$folder/config.json" <<'JSON'
{"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"8c1f30d27a5be964",
 "limits":{"cores":1.0,"memory_mb":192,"sockets":256},
 "known":{"revision":1,"complete":true,"members":[]},
 "settings":{"services":[{"name":"read","aim":300000,"deadline":1000000}]}}
JSON
LB_CONFIG="$folder/config.json" "$program" 2>"$folder/log" &
pid=$!
for _ in $(seq 1 300); do
  grep -q "is serving on" "$folder/log" && break
  sleep 0.1
done
grep -q "is serving on" "$folder/log" || { kill -9 "$pid"; fail "the program does not start serving"; }
# SIGHUP must reload the configuration and not terminate the program.
kill -HUP "$pid"
reloaded="reloaded: the registry is at 127.0.0.1:1"
for _ in $(seq 1 300); do
  grep -q "$reloaded" "$folder/log" && break
  sleep 0.1
done
grep -q "$reloaded" "$folder/log" || { kill -9 "$pid"; fail "SIGHUP does not reload the configuration"; }
kill -TERM "$pid"
wait "$pid" || fail "the program does not exit with status 0 after SIGTERM"
grep -q "requests: taken=0" "$folder/log" || fail "the counters are not logged at exit"
echo "the program starts, reloads and stops as expected"

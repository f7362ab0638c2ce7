#!/usr/bin/env bash
# Starts the program as the deploy file does, with a configuration of its own, and stops it in order.
set -euo pipefail
program=$1
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT

fail() {
  echo "start_program: $1"
  cat "$folder/log"
  exit 1
}

# Without a configuration it says so in one line and ends with a non-zero status.
if env -u LB_CONFIG "$program" 2>"$folder/log"; then fail "it starts without a configuration"; fi
[ "$(wc -l <"$folder/log")" -eq 1 ] || fail "not one line about the missing configuration"

cat >"$folder/config.json" <<'JSON'
{"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"8c1f30d27a5be964",
 "limits":{"cores":1.0,"memory_mb":192,"sockets":256},
 "known":{"revision":1,"complete":true,"members":[]},
 "settings":{"services":[{"name":"read","aim":300000,"deadline":1000000}]}}
JSON
LB_CONFIG="$folder/config.json" "$program" 2>"$folder/log" &
pid=$!
for _ in $(seq 1 300); do
  grep -q "serves on" "$folder/log" && break
  sleep 0.1
done
grep -q "serves on" "$folder/log" || { kill -9 "$pid"; fail "it does not start"; }
# Guards against a SIGHUP that ends the program.
kill -HUP "$pid"
moved="read anew: discovery is at 127.0.0.1:1"
for _ in $(seq 1 300); do
  grep -q "$moved" "$folder/log" && break
  sleep 0.1
done
grep -q "$moved" "$folder/log" || { kill -9 "$pid"; fail "SIGHUP moves nothing"; }
kill -TERM "$pid"
wait "$pid" || fail "it does not end in order"
grep -q "requests: taken=0" "$folder/log" || fail "no counters at its end"
echo "the program starts and stops"

#!/usr/bin/env bash
# Installs the packages, builds, and runs one deployment on loopback: the
# program that is deployed on every entry host, and stand-ins for the
# platform's store, the targets and the callers. Half-way a target of the keyed
# service is killed. Exits 0 only if nothing that must always hold was broken.
# Usage: tools/quickstart.sh [vlahovic|prairie]
set -euo pipefail
cd "$(dirname "$0")/.."
deployment="${1:-vlahovic}"
case "$deployment" in
  vlahovic) zones=(dubrava trnje sesvete novi-zagreb) ;;
  prairie) zones=(regina saskatoon calgary) ;;
  *)
    echo "no such deployment: $deployment; use vlahovic or prairie" >&2
    exit 2
    ;;
esac
build="${BUILD_DIR:-build}"
tools/install-packages.sh
BUILD_DIR="$build" tools/build.sh
work="$(mktemp -d)"
store=127.0.0.1:17642
first_port=17700
pids=()

# stop_hosts: asks the entry hosts started here to leave, by process id, and
# waits for them.
stop_hosts() {
  local pid
  for pid in "${pids[@]}"; do
    kill -TERM "$pid" 2>/dev/null || true
  done
  for pid in "${pids[@]}"; do
    wait "$pid" 2>/dev/null || true
  done
}
trap stop_hosts EXIT

port=$first_port
callers=()
for zone in "${zones[@]}"; do
  for number in 1 2 3; do
    name="edge-$zone-$number"
    cat >"$work/$name.json" <<JSON
{
  // Written by the quickstart.
  "name": "$name",
  "zone": "$zone",
  "callers": "127.0.0.1:$port",
  "readiness": "127.0.0.1:$((port + 1))",
  "hosts": "127.0.0.1:$((port + 2))",
  "store": "$store"
}
JSON
    "$build/foxtail-edge" --check-settings "$work/$name.json" >/dev/null
    "$build/foxtail-edge" "$work/$name.json" >"$work/$name.log" 2>&1 &
    pids+=($!)
    callers+=("127.0.0.1:$port")
    port=$((port + 3))
  done
done

hosts="$(IFS=,; echo "${callers[*]}")"
result=0
"$build/foxtail-fleet" "$deployment" --store "$store" --hosts "$hosts" \
  --rate 150 --seconds 10 --kill || result=$?
echo "logs: $work"
exit "$result"

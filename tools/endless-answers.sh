#!/usr/bin/env bash
# Runs nine entry hosts on loopback while half of the answers of one service
# have no end for 10 s. Prints each host's peak memory before and after, its
# processor time in the 10 s before, in these 10 s and in the 10 s after them,
# and the answers that it gave up (event 359).
# Usage: tools/endless-answers.sh [body|chunks|interim]
# BUILD_DIR and EDGE_PROGRAM choose what runs, RATE the requests a second and
# service.
set -euo pipefail
cd "$(dirname "$0")/.."
kind="${1:-body}"
build="${BUILD_DIR:-build}"
edge="${EDGE_PROGRAM:-$build/foxtail-edge}"
work="$(mktemp -d)"
store=127.0.0.1:18642
port=18700
seconds=30
names=()
callers=()
pids=()
fleet_pid=

stop_all() {
  local pid
  for pid in "${pids[@]}" $fleet_pid; do
    kill -TERM "$pid" 2>/dev/null || true
  done
  for pid in "${pids[@]}" $fleet_pid; do
    wait "$pid" 2>/dev/null || true
  done
}
trap stop_all EXIT

# peaks: the peak memory of each host, in KB.
peaks() {
  local pid
  for pid in "${pids[@]}"; do
    awk '/^VmHWM/ {print $2}' "/proc/$pid/status"
  done
}

# ticks: the processor time of each host.
ticks() {
  local pid
  for pid in "${pids[@]}"; do
    awk '{print $14 + $15}' "/proc/$pid/stat"
  done
}

# wait_for LINE: waits until foxtail-fleet has printed it.
wait_for() {
  until grep -qsx "$1" "$work/fleet.out"; do
    kill -0 "$fleet_pid"
    sleep 0.05
  done
}

for zone in regina saskatoon calgary; do
  for number in 1 2 3; do
    name="edge-$zone-$number"
    cat >"$work/$name.json" <<JSON
{
  "name": "$name",
  "zone": "$zone",
  "callers": "127.0.0.1:$port",
  "readiness": "127.0.0.1:$((port + 1))",
  "hosts": "127.0.0.1:$((port + 2))",
  "store": "$store",
  "memory_mb": 260
}
JSON
    "$edge" "$work/$name.json" >"$work/$name.log" 2>&1 &
    pids+=($!)
    names+=("$name")
    callers+=("127.0.0.1:$port")
    port=$((port + 3))
  done
done

"$build/foxtail-fleet" prairie --store "$store" \
  --hosts "$(IFS=,; echo "${callers[*]}")" --rate "${RATE:-20}" \
  --seconds "$seconds" --endless "$kind" >"$work/fleet.out" 2>"$work/fleet.log" &
fleet_pid=$!
wait_for "callers begin"
mapfile -t ticks_start < <(ticks)
wait_for "endless answers begin"
mapfile -t peak_before < <(peaks)
mapfile -t ticks_begin < <(ticks)
wait_for "endless answers end"
mapfile -t peak_end < <(peaks)
mapfile -t ticks_end < <(ticks)
sleep 10
mapfile -t peak_after < <(peaks)
mapfile -t ticks_after < <(ticks)
result=0
wait "$fleet_pid" || result=$?
fleet_pid=

echo "answers without end: $kind"
printf '%-18s %28s %28s %9s\n' host "peak KB before/end/after" \
  "cpu s before/during/after" "given up"
for i in "${!names[@]}"; do
  awk -v name="${names[i]}" -v hz="$(getconf CLK_TCK)" \
    -v peaks="${peak_before[i]} / ${peak_end[i]} / ${peak_after[i]}" \
    -v a="${ticks_start[i]}" -v b="${ticks_begin[i]}" -v c="${ticks_end[i]}" \
    -v d="${ticks_after[i]}" \
    -v given_up="$(grep -c '"event":359' "$work/${names[i]}.log" || true)" \
    'BEGIN {
      cpu = sprintf("%.2f / %.2f / %.2f", (b - a) / hz, (c - b) / hz,
                    (d - c) / hz)
      printf "%-18s %28s %28s %9d\n", name, peaks, cpu, given_up }'
done
cat "$work/fleet.out"
echo "logs: $work"
exit "$result"

#!/usr/bin/env bash
# Starts one deployment on loopback without any requests and prints the
# processor time, memory and platform calls of its entry hosts, then, with
# strace, one host's system calls and bytes sent.
# Usage: tools/idle-cost.sh [DEPLOYMENT] [SECONDS] [HOSTS_PER_ZONE]
set -euo pipefail
cd "$(dirname "$0")/.."
declarations="examples/${1:-vlahovic}"
seconds="${2:-10}"
export BUILD_DIR="${BUILD_DIR:-build}"
WORK_DIR="$(mktemp -d)"
# shellcheck source=tools/deployment.sh
source tools/deployment.sh
# shellcheck disable=SC2034  # used by deployment.sh
hosts_per_zone="${3:-3}"
trap stop_all EXIT

# processor_ticks: clock ticks spent so far by all entry hosts.
processor_ticks() {
  local name
  while read -r name _; do
    cat "/proc/${pid_of[$name]}/stat"
  done <"$WORK_DIR/hosts.txt" | awk '{s += $14 + $15} END {print s}'
}

# platform_calls: calls sent so far by all entry hosts.
platform_calls() {
  local address
  for address in "${host_addresses[@]}"; do
    curl -s -H "Authorization: Bearer $operator_token" \
      "http://$address/admin/status" |
      grep -o '"platform_calls":[0-9]*' | cut -d: -f2
  done | awk '{s += $1} END {print s + 0}'
}

start_platform
start_targets "$declarations" --work-ms 2 --work-spread 0.5
ctl apply "$declarations" >/dev/null
start_hosts "$declarations"
for address in "${host_addresses[@]}"; do
  wait_ready "$address"
done
sleep 4
calls=$(platform_calls)
ticks=$(processor_ticks)
sleep "$seconds"
ticks=$(($(processor_ticks) - ticks))
calls=$(($(platform_calls) - calls))
hosts=${#host_addresses[@]}
awk -v ticks="$ticks" -v hz="$(getconf CLK_TCK)" -v s="$seconds" \
  -v hosts="$hosts" -v calls="$calls" 'BEGIN {
    printf "%d hosts: %.2f %% of a core each, ", hosts, 100 * ticks / hz / s / hosts
    printf "%.2f platform calls a second in all\n", calls / s }'
first=$(awk 'NR == 1 {print $1}' "$WORK_DIR/hosts.txt")
grep VmRSS "/proc/${pid_of[$first]}/status"
trace="$WORK_DIR/$first.strace"
timeout -s INT 4 strace -f -o "$trace" -s 0 -p "${pid_of[$first]}" -e \
  trace=poll,epoll_wait,futex,sendmsg,sendto,recvmsg,recvfrom 2>/dev/null || true
echo "$first by strace, each for 4 s: call, times, bytes"
sed -nE 's/^[0-9]+ +(<\.\.\. )?([a-z_]+).* = ([0-9]+)$/\2 \3/p' "$trace" |
  awk '{n[$1]++; b[$1] += $2} END {for (c in n) print c, n[c], b[c]}' | sort
uptime

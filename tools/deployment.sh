#!/usr/bin/env bash
# Functions to run one deployment's entry hosts and stand-ins on loopback.
# Sourced by other scripts. Uses BUILD_DIR and WORK_DIR; remembers the process
# ids that it started, and stops only those.
set -euo pipefail

platform_address=127.0.0.1:23000
first_host_port=24000
hosts_per_zone=3
operator_token=dev-operator-token
started_pids=()
host_addresses=()
declare -A pid_of=()

# wait_line FILE: waits up to 10 s until the program printed its address.
wait_line() {
  for _ in $(seq 200); do
    if grep -q '^listening' "$1" 2>/dev/null; then
      return 0
    fi
    sleep 0.05
  done
  echo "a program did not start; see $1" >&2
  return 1
}

# launch NAME PROGRAM ARGS...: starts a program in the background.
launch() {
  local name=$1
  shift
  "$@" >"$WORK_DIR/$name.out" 2>"$WORK_DIR/$name.log" &
  pid_of[$name]=$!
  started_pids+=($!)
}

# json_field FILE NAME: the value of a simple text field.
json_field() {
  sed -n "s/.*\"$2\": *\"\([^\"]*\)\".*/\1/p" "$1" | head -n 1
}

# start_platform
start_platform() {
  launch platform "$BUILD_DIR/foxtail-platform" --listen "$platform_address"
  wait_line "$WORK_DIR/platform.out"
}

# start_targets DECLARATIONS [ARGS...]: one target for each declared one.
start_targets() {
  local declarations=$1
  shift
  local file service slots connections name address
  for file in "$declarations"/services/*.json; do
    service=$(json_field "$file" name)
    slots=$(sed -n 's/.*"slots": *\([0-9]*\).*/\1/p' "$file")
    connections=$(sed -n 's/.*"connections": *\([0-9]*\).*/\1/p' "$file")
    local checks=()
    if grep -q '"targets_check_grants": *true' "$file"; then
      checks=(--checks-grants)
    fi
    while read -r name address; do
      launch "$name" "$BUILD_DIR/foxtail-target" --name "$name" \
        --listen "$address" --slots "${slots:-3}" \
        --connections "${connections:-50}" "${checks[@]}" "$@"
      echo "$name $address $service" >>"$WORK_DIR/targets.txt"
    done < <(sed -n 's/.*"name": *"\([^"]*\)", *"address": *"\([^"]*\)".*/\1 \2/p' "$file")
  done
  while read -r name _ _; do
    wait_line "$WORK_DIR/$name.out"
  done <"$WORK_DIR/targets.txt"
}

# host_settings NAME ZONE DEPLOYMENT PORT: writes a settings file.
host_settings() {
  cat >"$WORK_DIR/$1.json" <<JSON
// Written for a trial on loopback.
{
  "name": "$1",
  "zone": "$2",
  "deployment": "$3",
  "listen": "127.0.0.1:$4",
  "peer_listen": "127.0.0.1:$(($4 + 500))",
  "platform": "$platform_address",
  "host_secret": "a-secret-for-trials-only",
  "operator_token_digests": ["$(printf %s "$operator_token" | sha256sum | cut -d' ' -f1)"]
}
JSON
}

# start_host NAME: starts an entry host whose settings were written.
start_host() {
  launch "$1" "$BUILD_DIR/foxtailspreadd" "$WORK_DIR/$1.json"
}

# start_hosts DECLARATIONS: the entry hosts of every zone.
start_hosts() {
  local deployment zone zones port=$first_host_port
  deployment=$(json_field "$1/deployment.json" deployment)
  zones=$(sed -n 's/.*"zones": *\[\(.*\)\].*/\1/p' "$1/deployment.json" | tr -d '",')
  for zone in $zones; do
    for number in $(seq "$hosts_per_zone"); do
      host_settings "$zone-$number" "$zone" "$deployment" "$port"
      start_host "$zone-$number"
      host_addresses+=("127.0.0.1:$port")
      echo "$zone-$number 127.0.0.1:$port" >>"$WORK_DIR/hosts.txt"
      port=$((port + 1))
    done
  done
  while read -r name _; do
    wait_line "$WORK_DIR/$name.out"
  done <"$WORK_DIR/hosts.txt"
}

# wait_ready ADDRESS: waits up to 15 s until an entry host wants callers.
wait_ready() {
  for _ in $(seq 150); do
    if curl -sf -o /dev/null "http://$1/ready"; then
      return 0
    fi
    sleep 0.1
  done
  echo "entry host $1 did not become ready" >&2
  return 1
}

# ctl ARGS...: the operator's command against this deployment.
ctl() {
  "$BUILD_DIR/foxtailctl" --platform "$platform_address" \
    --host "${host_addresses[0]:-127.0.0.1:$first_host_port}" \
    --operator-token "$operator_token" --as quickstart "$@"
}

# stop_all: stops what was started here, by process id.
stop_all() {
  local pid
  for pid in "${started_pids[@]}"; do
    kill -TERM "$pid" 2>/dev/null || true
  done
  sleep 1
  for pid in "${started_pids[@]}"; do
    kill -KILL "$pid" 2>/dev/null || true
    wait "$pid" 2>/dev/null || true
  done
}

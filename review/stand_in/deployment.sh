# Functions to run a small deployment on loopback: nine entry hosts in four
# zones, started with the command of the deploy file, and review-world around
# them. Sourced by run.sh of a case, which sets CASE_DIR. Every process that is
# started here is ended by its id.
cd "$CASE_DIR/../.."
trouble="${TROUBLE:-1}"
edge_program=target/foxtail-edge
world_program=target/review/review-world
work="$(mktemp -d)"
declare -A edge_pid=()
edges=()
world_pid=

finish() {
  local pid
  for pid in "${edge_pid[@]}" ${world_pid:+"$world_pid"}; do
    kill -CONT "$pid" 2>/dev/null || true
    kill -KILL "$pid" 2>/dev/null || true
    wait "$pid" 2>/dev/null || true
  done
  rm -rf "$work"
}
trap finish EXIT
trap 'exit 2' INT TERM

if [[ ! -x $edge_program || ! -x $world_program ]]; then
  echo "build first: the build of the deploy file, then review/build.sh" >&2
  exit 2
fi

# tell WORDS...: a command to review-world.
tell() {
  echo "$*" >&"$to_world" || exit 2
}

# start_world: the store, the servers, the ingress and the clients.
start_world() {
  mapfile -t ports < <("$world_program" ports 28)
  [[ ${#ports[@]} -eq 28 ]] || exit 2
  store=127.0.0.1:${ports[27]}
  mkfifo "$work/commands"
  "$world_program" "$store" "review/stand_in/${deployment:-deployment}.json" \
    "${record:-$CASE_DIR/record.txt}" <"$work/commands" &
  world_pid=$!
  exec {to_world}>"$work/commands"
}

# start_edge NAME
start_edge() {
  FOXTAILSPREAD_CONFIG="$work/$1.json" "$edge_program" >>"$work/$1.log" 2>&1 &
  edge_pid[$1]=$!
}

# start_edges: nine hosts, with what the template of the deploy file holds.
start_edges() {
  local zone number name at=0
  for zone in dubrava dubrava dubrava trnje trnje sesvete sesvete \
    novi-zagreb novi-zagreb; do
    number=$((at / 3 + 1))
    name="edge-$number-$zone"
    cat >"$work/$name.json" <<JSON
{
  "name": "$name",
  "zone": "$zone",
  "callers": "127.0.0.1:${ports[at]}",
  "readiness": "127.0.0.1:${ports[at + 1]}",
  "hosts": "127.0.0.1:${ports[at + 2]}",
  "store": "$store",
  "max_hold": "10000ms",
  "drain": "2000ms",
  "target_heartbeat": "870ms",
  "stop_grace": "6s",
  "memory_mb": 260,
  "link_mbps": 1000.0,
  "retries": {"ratio": 0.2, "slack": 58, "window": "10s"}
}
JSON
    edges+=("$name")
    tell edge "$name" "$zone" "127.0.0.1:${ports[at]}" \
      "127.0.0.1:${ports[at + 1]}"
    start_edge "$name"
    at=$((at + 3))
  done
}

# kill_edges: all at once, as a loss of power ends them.
kill_edges() {
  kill -KILL "${edge_pid[@]}"
  local pid
  for pid in "${edge_pid[@]}"; do
    wait "$pid" 2>/dev/null || true
  done
}

# judge RULE: ends with 1 if the rule was broken, 0 if it held, else 2.
judge() {
  local result=0
  tell end "$1"
  wait "$world_pid" || result=$?
  world_pid=
  exit "$result"
}

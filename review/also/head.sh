#!/usr/bin/env bash
# The servers of one service turn part of their requests away for 8.5 s.
# Clients send HEAD requests to it and behind each, on the same connection, a
# GET request to another service. Exits with 1 if bytes that are no answer
# follow an answer to HEAD.
set -euo pipefail
CASE_DIR="$(cd "$(dirname "$0")" && pwd)"
source "$CASE_DIR/../stand_in/deployment.sh"

start_world
start_edges
sleep 8
tell phase before
tell load arhiva 30
tell load povijest 20
sleep 5
tell phase during
if [[ $trouble != 0 ]]; then
  tell grey arhiva 0.55
fi
for _ in $(seq 40); do
  tell head arhiva povijest
  sleep 0.2
done
tell grey arhiva 0
tell phase end
tell load all 0
sleep 8
judge MIXED

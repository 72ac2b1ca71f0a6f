#!/usr/bin/env bash
# Owners of keys turn part of the requests away, and some of them send 3 in 100
# of their answers a second time, late. Exits with 1 if a request that must not
# be repeated was answered 503 and has run.
set -euo pipefail
CASE_DIR="$(cd "$(dirname "$0")" && pwd)"
source "$CASE_DIR/../stand_in/deployment.sh"

deployment=deployment-crew-to-povijest
start_world
start_edges
if [[ ${BARE_REJECTIONS:-0} != 0 ]]; then
  tell reject-without-id  # A variant; see claim.txt.
fi
sleep 8
tell load povijest 20
tell load raspored 70
tell phase before
sleep 5
for _ in 1 2 3 4 5 6 7 8 9; do
  tell phase during
  if [[ $trouble != 0 ]]; then
    tell grey povijest 0.4
    tell extra povijest 0.6 0.03
  fi
  sleep 5
  tell extra povijest 0 0
  sleep 3.5
  tell grey povijest 0
  tell phase between
  sleep 1.5
done
tell load all 0
sleep 3
judge REFUSED

#!/usr/bin/env bash
# Builds the one program that is deployed, under target/.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B target -G Ninja -DCMAKE_BUILD_TYPE=Release \
  -DFOXTAIL_EDGE_ONLY=ON >/dev/null
cmake --build target --target foxtail-edge

#!/usr/bin/env bash
# Configures and builds everything; BUILD_DIR chooses the folder.
set -euo pipefail
cd "$(dirname "$0")/.."
build="${BUILD_DIR:-build}"
cmake -S . -B "$build" -G Ninja >/dev/null
cmake --build "$build"

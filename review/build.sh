#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review, on top of the build of
# the deploy file, which it makes first if it is missing.
set -euo pipefail
cd "$(dirname "$0")/.."
if [[ ! -f target/libfoxtail_platform_adapter.a ]]; then
  tools/build-edge.sh
fi
cmake -S review/stand_in -B target/review -G Ninja \
  -DCMAKE_BUILD_TYPE=Release >/dev/null
cmake --build target/review

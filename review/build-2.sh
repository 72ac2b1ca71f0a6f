#!/usr/bin/env bash
# Builds the stand-ins of the second review into target/review-2/, with the
# project's own ones that they use. Run it after the build of the deploy file,
# whose libraries are linked; it is made here if it is missing.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -x target/foxtail-edge ] || tools/build-edge.sh
out=target/review-2
mkdir -p "$out"
read -ra packages < <(pkg-config --cflags --libs glib-2.0 liblog4cxx libxxhash)

# compile: builds the object $2 from the source $1.
compile() {
  g++ -std=c++20 -O1 -Wall -Wextra -Wno-use-after-free -Wno-restrict \
    -Iinclude -Isrc -I. "${packages[@]}" -c "$1" -o "$2"
}

shared=()
jobs=()
for source in review/stand_in_2/*.cc platform/stand_in/platform_*.cc \
  platform/stand_in/target_rules.cc; do
  object="$out/$(basename "$source" .cc).o"
  compile "$source" "$object" &
  jobs+=($!)
  shared+=("$object")
done
for main in review/stand_in_2/*/main.cc; do
  compile "$main" "$out/$(basename "$(dirname "$main")").main.o" &
  jobs+=($!)
done
for job in "${jobs[@]}"; do
  wait "$job"
done
for main in "$out"/*.main.o; do
  g++ "$main" "${shared[@]}" target/libfoxtail_platform_adapter.a \
    target/libfoxtail_stream.a target/libfoxtailspread.a "${packages[@]}" \
    -lhttp_parser -o "${main%.main.o}"
done

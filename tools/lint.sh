#!/usr/bin/env bash
# Checks the formatting of every source file, then runs clang-tidy over every
# translation unit. Generated code under src/generated is left out.
set -euo pipefail
cd "$(dirname "$0")/.."
build="${BUILD_DIR:-build}"
mapfile -t files < <(git ls-files --cached --others --exclude-standard \
  '*.h' '*.cc' | grep -v '^src/generated/')
clang-format --dry-run --Werror "${files[@]}"
cmake -S . -B "$build" -G Ninja >/dev/null
mapfile -t units < <(printf '%s\n' "${files[@]}" | grep '\.cc$')
printf '%s\n' "${units[@]}" |
  xargs -P "$(nproc)" -n 1 clang-tidy --quiet -p "$build" 2>/dev/null
echo "lint: ${#files[@]} files clean"

#!/usr/bin/env bash
# Builds the tests of connections and codecs with AddressSanitizer and
# UndefinedBehaviorSanitizer and runs them, but for the faults that are listed
# in KNOWN-RED.txt, which tools/test.sh prints.
set -euo pipefail
cd "$(dirname "$0")/.."
build="${SANITIZED_BUILD_DIR:-build-sanitized}"
tests=(connection_pool_test caller_server_test http_head_test http_test
       outside_bytes_test owed_answers_test platform_codec_test)
flags="-fsanitize=address,undefined -fno-sanitize-recover=all"
cmake -S . -B "$build" -G Ninja -DCMAKE_BUILD_TYPE=Debug \
  -DCMAKE_CXX_FLAGS="$flags -O1 -fno-omit-frame-pointer" >/dev/null
cmake --build "$build" --target "${tests[@]}"
# Leaks of libraries are known by their functions, which takes whole stacks.
export ASAN_OPTIONS=fast_unwind_on_malloc=0
export LSAN_OPTIONS="suppressions=$PWD/tools/library-leaks.txt"
known=$(cut -d' ' -f1 KNOWN-RED.txt | paste -sd:)
for test in "${tests[@]}"; do
  "$build/$test" --gtest_brief=1 --gtest_filter="-$known"
done

#!/usr/bin/env bash
# Fails if a name of the platform's wire stands outside platform/: only the
# adapter may know them. The project's own interface has a header of its own
# with a like name, which passes.
set -euo pipefail
cd "$(dirname "$0")/.."
names='Attempt-Id|Expected-Instance|Not-Executed|Response-Signature|Shard-Key'
names+='|(^|[^-])Deadline-Ms|/-/|traffic_split|hold_time|warmup_time'
names+='|path_prefix|"as_of"|"revision":'
if git grep -nE "$names" -- '*.cc' '*.h' ':!platform/*' ':!src/generated/*' \
  ':!src/core/object_*' ':!src/programs/foxtailspreadd/*' \
  ':!src/programs/foxtail-platform/*' ':!src/ctl/*' ':!tests/stand_ins_test.cc' \
  ':!tests/ctl_*' ':!tests/object_*'; then
  echo "wire names outside platform/: decode them there" >&2
  exit 1
fi
echo "wire names: only in platform/"

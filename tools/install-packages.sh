#!/usr/bin/env bash
# Installs the Debian packages of tools/packages.txt that are missing.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t wanted < <(cat tools/packages.txt "$@")
missing=()
for package in "${wanted[@]}"; do
  if ! dpkg -s "$package" >/dev/null 2>&1; then
    missing+=("$package")
  fi
done
if ((${#missing[@]})); then
  export DEBIAN_FRONTEND=noninteractive
  apt-get update -qq
  apt-get install -y -qq --no-install-recommends "${missing[@]}"
fi

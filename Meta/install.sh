#!/usr/bin/env bash
# Installs the Debian packages that the build, the tests and the linter need.
set -euo pipefail
meta_dir="$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)"
mapfile -t packages < "${meta_dir}/packages.txt"
missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "${package}" 2>/dev/null | grep -q 'ok installed' || missing+=("${package}")
done
if [ "${#missing[@]}" -gt 0 ]; then
  apt-get update -qq
  DEBIAN_FRONTEND=noninteractive apt-get install -y --no-install-recommends "${missing[@]}"
fi

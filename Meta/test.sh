#!/usr/bin/env bash
# Installs the packages, builds everything, then runs the formatter, the linter
# and every test. Tests listed in KNOWN-RED.txt are passed over and printed.
set -euo pipefail
root_dir="$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)"
build_dir="${BUILD_DIR:-${root_dir}/build}"
"${root_dir}/Meta/install.sh"
"${root_dir}/Meta/build.sh"
"${root_dir}/Meta/lint.sh"
exclude='^$'
if [ -s "${root_dir}/KNOWN-RED.txt" ]; then
  echo "Known red, not run:"
  cat "${root_dir}/KNOWN-RED.txt"
  names="$(grep -v '^[# ]' "${root_dir}/KNOWN-RED.txt" | cut -d' ' -f1 | paste -sd'|')"
  exclude="^(${names:-$})\$"
fi
ctest --test-dir "${build_dir}" --output-on-failure --timeout 300 \
  -j "${TEST_JOBS:-4}" --exclude-regex "${exclude}"

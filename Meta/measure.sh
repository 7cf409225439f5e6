#!/usr/bin/env bash
# Measures what routing costs: added time to the first token against direct
# calls, one router that relays 20,000 tokens/s, control traffic at 4 to 32
# routers. Prints a table and writes out/measure.json. Baseline and router run
# side by side on the same stand-ins.
#   ONLY    measurements to make: latency, relay, control
set -euo pipefail
root_dir="$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)"
build_dir="${BUILD_DIR:-${root_dir}/build}"
"${root_dir}/Meta/install.sh"
"${root_dir}/Meta/build.sh"
mkdir -p "${root_dir}/out"
exec "${build_dir}/bin/wasabi_measure" \
  --binaries="${build_dir}/bin" --sources="${root_dir}" \
  --only="${ONLY:-}" --json="${root_dir}/out/measure.json"

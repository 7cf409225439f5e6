#!/usr/bin/env bash
# Installs the packages, builds in Release mode, starts a whole fleet of real
# processes on this machine (platform, nine engines, three services, three entry
# hosts), runs an experiment against it and stops everything. The last line of
# the output is one JSON object. Exits with 0 only if nothing was lost, wrong or
# doubled and every process ended as it should.
#   DEPLOYMENT    salazar (default) or mwangaza
#   ENTRIES       entry hosts, 3 by default
#   EXPERIMENT    experiment file
#   LOAD_FLAGS    flags for wasabi_load, separated by commas
set -euo pipefail
root_dir="$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)"
build_dir="${BUILD_DIR:-${root_dir}/build}"
deployment="${DEPLOYMENT:-salazar}"
declare -A experiments=([salazar]=salazar-carnival [mwangaza]=mwangaza-enrolment)
experiment="${EXPERIMENT:-${root_dir}/examples/experiments/${experiments[${deployment}]}.ini}"
"${root_dir}/Meta/install.sh"
"${root_dir}/Meta/build.sh"
exec "${build_dir}/bin/wasabi_fleet" \
  --binaries="${build_dir}/bin" --sources="${root_dir}" \
  --deployment="${deployment}" --entries="${ENTRIES:-3}" \
  --experiment="${experiment}" --load_flags="${LOAD_FLAGS:-}"

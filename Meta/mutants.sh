#!/usr/bin/env bash
# Applies each patch of Tests/Once/mutants (or those given as arguments) to a
# copy of the committed tree, builds it, and prints which tests and which seeds
# of the soak fail. A mutant whose name ends in "against-the-record" must break
# nothing that callers or endpoints see. Run by hand; takes some minutes.
set -euo pipefail
root_dir="$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)"
work_dir="${MUTANT_DIR:-$(mktemp -d)}"
seeds=(${MUTANT_SEEDS:-3 4})
export CCACHE_BASEDIR="${work_dir}" CCACHE_NOHASHDIR=1
git -C "${root_dir}" archive HEAD | tar -x -C "${work_dir}"
cmake -S "${work_dir}" -B "${work_dir}/build" -G Ninja > "${work_dir}/cmake.log" 2>&1

# Prints "caught" if the command fails.
report() {
  local name="$1"
  shift
  if timeout 300 "$@" > "${work_dir}/${name}.out" 2>&1; then
    echo "  ${name}: not caught"
  else
    echo "  ${name}: caught, $(grep -hcE 'FAILED|^violated' "${work_dir}/${name}.out" || true) checks"
  fi
}

patches=("$@")
[ "$#" -gt 0 ] || patches=("${root_dir}"/Tests/Once/mutants/*.patch)
for patch in "${patches[@]}"; do
  echo "$(basename "${patch}" .patch)"
  patch -s -d "${work_dir}" -p1 < "${patch}"
  cmake --build "${work_dir}/build" -j "${BUILD_JOBS:-$(nproc)}" \
    --target wasabi_router linked_router test_http test_forwarding requests_run_once_test platform_soak \
    stale_entry_asked_again_after_421_test \
    > "${work_dir}/build.log" 2>&1 || { tail -n 20 "${work_dir}/build.log"; exit 1; }
  report replay "${work_dir}/build/bin/test_forwarding" "*promise that a request*,*state of a request*"
  report ledger "${work_dir}/build/bin/test_http"
  report endpoint-table "${work_dir}/build/bin/test_forwarding" "*answers is not available*,*belongs to the endpoint*"
  report stale-entry "${work_dir}/build/bin/stale_entry_asked_again_after_421_test"
  for group in ends refusals silence copies; do
    report "${group}" "${work_dir}/build/bin/requests_run_once_test" "[${group}]" &
  done
  for seed in "${seeds[@]}"; do
    report "soak-${seed}" "${work_dir}/build/bin/platform_soak" --seed="${seed}" \
      --work="${work_dir}/soak" --router="${work_dir}/build/bin/wasabi_router" &
  done
  wait
  patch -s -R -d "${work_dir}" -p1 < "${patch}"
done

#!/usr/bin/env bash
# Checks the format of every source file and runs clang-tidy over them, or over
# the files given as arguments. Needs a configured build folder.
set -euo pipefail
root_dir="$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)"
build_dir="${BUILD_DIR:-${root_dir}/build}"
cd "${root_dir}"
if [ "$#" -gt 0 ]; then
  files=("$@")
else
  mapfile -t files < <(git ls-files --cached --others --exclude-standard -- '*.h' '*.cc')
fi
clang-format --dry-run --Werror "${files[@]}"

export BUILD_FOLDER="${build_dir}" ROOT_FOLDER="${root_dir}"

# Lints one group; where its files don't go together, each by itself.
lint_group() {
  local stem="$1" flags
  mapfile -t flags < "${stem}.flags"
  if clang-tidy --config-file="${ROOT_FOLDER}/.clang-tidy" --quiet "${stem}.cc" \
      -- "${flags[@]}" > "${stem}.out" 2> "${stem}.err"; then
    return 0
  fi
  if ! grep -q 'clang-diagnostic-error' "${stem}.out"; then
    cat "${stem}.out" "${stem}.err" \
      | python3 "${ROOT_FOLDER}/Meta/lint_groups.py" --locate "${stem}"
    return 1
  fi
  echo "lint: $(wc -l < "${stem}.files") files one by one: $(grep -m1 'clang-diagnostic-error' "${stem}.out")"
  xargs -n 1 clang-tidy -p "${BUILD_FOLDER}" --quiet \
    < "${stem}.files" 2> "${stem}.err" || { cat "${stem}.err"; return 1; }
}
export -f lint_group

rm -rf "${build_dir}/lint"
printf '%s\n' "${files[@]}" | { grep '\.cc$' || true; } \
  | python3 "${root_dir}/Meta/lint_groups.py" "${build_dir}" "${build_dir}/lint" \
  | xargs -r -P "${LINT_JOBS:-$(nproc)}" -I {} bash -c 'lint_group {}'
echo "lint: ${#files[@]} files clean"

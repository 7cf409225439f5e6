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
printf '%s\n' "${files[@]}" | grep '\.cc$' \
  | xargs -P "${LINT_JOBS:-$(nproc)}" -n 1 clang-tidy -p "${build_dir}" --quiet 2> >(grep -vE "warnings? (generated|treated)|Suppressed|Use -header-filter|Use -system-headers" >&2)
echo "lint: ${#files[@]} files clean"

#!/usr/bin/env bash
# Meta/lint.sh finds in a group of files what it finds in each file alone, and
# names the place. Usage: lint_test.sh SOURCE_DIR WORK_DIR
set -euo pipefail
source_dir="$1"
work_dir="$2"
folder="${work_dir}/Libraries/LibSample"
rm -rf "${work_dir}"
mkdir -p "${folder}"

# Writes a file that returns `number`, after `line` in its private namespace.
write_file() {
  local name="$1" line="$2" number="$3"
  printf 'namespace wasabi::sample {\nnamespace {\n%s\n}  // namespace\nint %s() {\n  return %s;\n}\n}  // namespace wasabi::sample\n' \
    "${line}" "${name}" "${number}" > "${folder}/${name}.cc"
  clang-format -i "${folder}/${name}.cc"
}

# Fails unless lint finds `expected` in the file `name`; empty for nothing.
expect() {
  local title="$1" name="$2" expected="$3" output
  if output="$(BUILD_DIR="${work_dir}" "${source_dir}/Meta/lint.sh" "${folder}"/*.cc 2>&1)"; then
    [ -z "${expected}" ] || { echo "${title}: nothing found"; exit 1; }
  elif [ -z "${expected}" ] || ! grep -q "${name}\.cc:[0-9].*${expected}" <<< "${output}"; then
    printf '%s: expected "%s" in %s.cc\n%s\n' "${title}" "${expected}" "${name}" "${output}"
    exit 1
  fi
  echo "${title}: as expected"
}

compile() {
  printf '{"directory": "%s", "file": "%s", "command": "c++ -std=c++20 -Wall -Wextra -Werror -c %s"}' \
    "${work_dir}" "$1" "$1"
}

write_file First 'constexpr int kFirst = 1;' kFirst
write_file Second 'constexpr int kSecond = 2;' kSecond
printf '[%s,\n%s]\n' "$(compile "${folder}/First.cc")" "$(compile "${folder}/Second.cc")" \
  > "${work_dir}/compile_commands.json"
expect "a clean group" "" ""
write_file Second 'constexpr int kSecond = 2;' 3
expect "an unused constant" Second "kSecond.*unused-const-variable"
write_file Second 'int Unused() { return 2; }' 3
expect "an unused function" Second "Unused.*unused-function"
write_file Second 'constexpr int second = 2;' second
expect "a name" Second "second.*readability-identifier-naming"
write_file Second 'constexpr int kFirst = 2;' kFirst
expect "two files with the same private name" "" ""

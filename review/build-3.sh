#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/11 to review/15 start. They
# are Python programs of this folder, so that nothing is compiled but their
# bytecode, in a temporary folder. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
test -x target/bin/wasabi_router
cache="$(mktemp -d)"
trap 'rm -rf "${cache}"' EXIT
PYTHONPYCACHEPREFIX="${cache}" python3 -m py_compile review/harness-3/*.py review/1[1-5]/*.py

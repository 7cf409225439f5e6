#!/usr/bin/env bash
# Prepares the stand-ins of review/6 to review/10. They are Python programs (3.8 or
# later, standard library only), so there is nothing to link; this checks that they
# can be started here. The routers come from the build of the deploy file.
set -euo pipefail
review_dir="$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)"
export PYTHONDONTWRITEBYTECODE=1
for source in "${review_dir}"/harness-2/*.py "${review_dir}"/*/case.py; do
  python3 - "${source}" <<'PYTHON'
import sys
assert sys.version_info >= (3, 8), "Python 3.8 or later is needed"
compile(open(sys.argv[1]).read(), sys.argv[1], "exec")
PYTHON
done
echo "the stand-ins of review/harness-2 are ready"

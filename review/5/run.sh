#!/usr/bin/env bash
# Exit status: 1 the rule was broken, 0 it held, 2 the case couldn't run.
# TROUBLE=0 leaves the disruption out.
command -v python3 > /dev/null || exit 2
exec python3 "$(dirname "${BASH_SOURCE[0]}")/case.py"

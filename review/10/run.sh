#!/usr/bin/env bash
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run.
cd "$(dirname "${BASH_SOURCE[0]}")" || exit 2
command -v python3 > /dev/null || exit 2
exec timeout -k 5 115 python3 case.py

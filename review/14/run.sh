#!/usr/bin/env bash
# Plays the case; see claim.txt. Exit status: 1 the rule was broken, 0 it held,
# 2 the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "${BASH_SOURCE[0]}")" || exit 2
export PYTHONDONTWRITEBYTECODE=1
exec timeout -k 2 118 python3 play.py

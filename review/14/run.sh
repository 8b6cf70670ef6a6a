#!/usr/bin/env bash
# Jobs wait while the owner is frozen. See claim.txt.
# TROUBLE=0 plays the same without the disruption. Exit code: 1 if the rule was broken, 0 if it held, 2 if the
# case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
trouble=true
if [ "${TROUBLE:-1}" = 0 ]; then trouble=false; fi
timeout -k 2 118 target/standin3 -case stale-count -trouble=$trouble -record review/14/record.txt
code=$?
if [ "$code" -gt 1 ]; then code=2; fi
exit "$code"

#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/bin/LeaveAfterKill ] && [ -x target/apps/magnoliamilld/magnoliamilld ] || exit 2
exec timeout -k 5 115 review/bin/LeaveAfterKill review/3

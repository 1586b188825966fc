#!/usr/bin/env bash
# Exit codes: 1 the rule was broken, 0 it held, 2 the case couldn't run. TROUBLE=0 leaves
# the disruption out. Run the build of the deploy file and review/build-3.sh first.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
root=$here/../..
daemon=$root/target/apps/magnoliamilld/magnoliamilld
standin=$root/target/review-3/standin
if [ ! -x "$daemon" ] || [ ! -x "$standin" ]; then
  echo "build the deploy file and review/build-3.sh first" >&2
  exit 2
fi
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
"$standin" unreadable "$daemon" "$folder/fleet" "$here/record.txt"
code=$?
[ "$code" -eq 0 ] || [ "$code" -eq 1 ] || code=2
exit "$code"

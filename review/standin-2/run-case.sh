# Runs the program of a case; sourced by its run.sh, which sets case. Exits with
# 1 if the rule was broken, 0 if it held and 2 if the case could not run.
cd "$(dirname "${BASH_SOURCE[0]}")/../.."
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
program=target/apps/magnoliamilld/magnoliamilld
standin=target/review-2/case-$case
if [ ! -x "$program" ] || [ ! -x "$standin" ]; then
  echo "build the deploy file and run review/build-2.sh first" >&2
  exit 2
fi
timeout -k 2 118 "$standin" "$PWD/$program" "$folder" \
  "review/$case/record.txt" "${TROUBLE:-1}"
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"

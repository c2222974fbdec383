#!/usr/bin/env bash
# Runs one of the cases 6 to 10: runcase-2.sh NUMBER. Exits with 1 if the rule was broken, 0 if it held, and 2 if
# the case could not run.
set -u
folder=$(cd "$(dirname "$0")/$1" && pwd)
cd "$folder/../.." || exit 2
program=target/review-2/case-$1
if [ ! -x "$program" ] || [ ! -x target/chestnutsilld ]; then
    echo "build the project as the deploy file says, then run review/build-2.sh" >&2
    exit 2
fi
TMPDIR=$(mktemp -d) || exit 2
export TMPDIR
trap 'rm -rf "$TMPDIR"' EXIT
timeout --kill-after=2 118 "$program" "$folder/record.txt"
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"

#!/usr/bin/env bash
# Runs a case of the third review: run.sh N. Exits with 1 if its rule was broken, 0 if it held, and 2 if the case
# could not run. Needs the build of the deploy file and review/build-2.sh.
set -u
number=$1
root=$(cd "$(dirname "$0")/../.." && pwd)
cd "$root" || exit 2
[ -x target/chestnutsilld ] && [ -x "target/review-2/case-$number" ] || exit 2
temporary=$(mktemp -d) || exit 2
trap 'rm -rf "$temporary"' EXIT
timeout -k 2 110 "target/review-2/case-$number" "review/$number" "$temporary"
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"

#!/usr/bin/env bash
# Builds the stand-ins and clients of the cases 6 to 10 into target/review-2/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for case in review/[0-9]*/case.cpp; do
    name=$(basename "$(dirname "$case")")
    [ "$name" -ge 6 ] || continue
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "target/review-2/case-$name" "$case"
done
